#include "apply_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace chervilfield::control {

using base::Result;
using configuration::Revision;
using configuration::RevisionNumber;

std::vector<std::string> checkHistory(const std::vector<ApplyCall> &calls,
                                      const std::vector<Revision> &log)
{
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < log.size(); ++i) {
        if (log[i].number != i + 1)
            violations.push_back("gap before revision " + std::to_string(log[i].number));
        if (std::ranges::find(calls, log[i].writeId, &ApplyCall::writeId) == calls.end())
            violations.push_back("no call wrote " + log[i].writeId);
    }
    for (const ApplyCall &call : calls) {
        const auto entry = std::ranges::find(log, call.writeId, &Revision::writeId);
        const bool inLog = entry != log.end();
        if (call.outcome == Result::Ok) {
            if (!inLog || entry->number != call.revision)
                violations.push_back(call.writeId
                                     + " succeeded but is not in the log at its revision");
            if (call.revision != call.base + 1)
                violations.push_back(call.writeId
                                     + " succeeded with a revision that does not follow its base");
        } else if (call.outcome != Result::WriteUndecided && inLog) {
            violations.push_back(call.writeId + " failed but is in the log");
        }
        for (const ApplyCall &later : calls) {
            const auto next = std::ranges::find(log, later.writeId, &Revision::writeId);
            if (inLog && next != log.end() && call.outcome == Result::Ok && call.end < later.start
                && entry->number > next->number) {
                violations.push_back(later.writeId + " started later but precedes " + call.writeId);
            }
        }
    }
    return violations;
}

class ApplyHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ApplyHistoryTest);
    CPPUNIT_TEST(violationsAreFound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the history checker accepts valid histories and reports violations. Guards against
    // a checker that accepts every history and so hides faults of the log.
    void violationsAreFound()
    {
        struct Row
        {
            const char *name;
            std::vector<ApplyCall> calls;
            std::vector<Revision> log;
            std::size_t violations;
        };
        const auto at = [](int ms) {
            return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms));
        };
        const ApplyCall a{ "a", 0, at(0), at(1), Result::Ok, 1 };
        const ApplyCall b{ "b", 1, at(2), at(3), Result::Ok, 2 };
        const ApplyCall refused{ "b", 1, at(2), at(3), Result::RevisionConflict, 0 };
        const ApplyCall undecided{ "b", 1, at(2), at(3), Result::WriteUndecided, 0 };
        const ApplyCall rival{ "b", 0, at(2), at(3), Result::Ok, 1 };
        const ApplyCall late{ "a", 1, at(4), at(5), Result::Ok, 2 };
        const Row rows[] = {
            { "sequential", { a, b }, { { 1, "a", {} }, { 2, "b", {} } }, 0 },
            { "undecided, took effect", { a, undecided }, { { 1, "a", {} }, { 2, "b", {} } }, 0 },
            { "undecided, no effect", { a, undecided }, { { 1, "a", {} } }, 0 },
            { "failed, no effect", { a, refused }, { { 1, "a", {} } }, 0 },
            { "failed but in the log", { a, refused }, { { 1, "a", {} }, { 2, "b", {} } }, 1 },
            { "success lost", { a, b }, { { 1, "a", {} } }, 1 },
            { "two winners of a revision", { a, rival }, { { 1, "a", {} } }, 1 },
            { "gap", { a, b }, { { 2, "b", {} }, { 3, "a", {} } }, 4 },
            { "unknown writer", { a }, { { 1, "a", {} }, { 2, "x", {} } }, 1 },
            { "order reversed",
              { a, { "b", 0, at(2), at(3), Result::WriteUndecided, 0 }, late },
              { { 1, "b", {} }, { 2, "a", {} } },
              2 },
        };
        for (const Row &row : rows)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.violations > 0,
                                         !checkHistory(row.calls, row.log).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplyHistoryTest);

} // namespace chervilfield::control
