#include "quarantine/part_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace chervilfield::quarantine {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct Crash
{
    std::string engine;
    std::vector<SuspectRequest> suspects;
};
struct Begin
{
    std::vector<PartKey> parts;
};
struct Innocent
{
    std::vector<PartKey> parts;
};
struct Adopt
{
    QuarantinedPart part;
};

struct Step
{
    milliseconds at;
    std::variant<Crash, Begin, Innocent, Adopt> what;
};

struct Row
{
    std::string name;
    std::vector<Step> steps;
    std::vector<PartKey> quarantined; ///< After the last step.
};

Time timeOf(milliseconds at)
{
    return Time(std::chrono::hours(1)) + at;
}

void apply(PartQuarantine &quarantine, const Step &step)
{
    const Time now = timeOf(step.at);
    if (const auto *crash = std::get_if<Crash>(&step.what))
        quarantine.recordCrash({ { crash->engine, 1 }, crash->suspects }, now);
    else if (const auto *begin = std::get_if<Begin>(&step.what))
        quarantine.recordBegin(begin->parts, now);
    else if (const auto *innocent = std::get_if<Innocent>(&step.what))
        quarantine.recordInnocent(innocent->parts, now);
    else
        quarantine.adopt(std::get<Adopt>(step.what).part, now);
}

std::string toText(const std::vector<PartKey> &parts)
{
    std::string text;
    for (const PartKey part : parts)
        text += std::to_string(part) + " ";
    return text;
}

void check(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        PartQuarantine quarantine;
        for (const Step &step : row.steps)
            apply(quarantine, step);
        std::vector<PartKey> parts;
        for (const QuarantinedPart &entry : quarantine.active(timeOf(row.steps.back().at)))
            parts.push_back(entry.part);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, toText(row.quarantined), toText(parts));
    }
}

// Crash of `engine` under one request with these parts.
Step crash(milliseconds at, const std::string &engine, std::uint64_t request,
           std::vector<PartKey> parts)
{
    return { at, Crash{ engine, { { request, std::move(parts) } } } };
}

// Crashes of three engines under two requests with the parts 1 (first) and 9.
std::vector<Step> deadlySteps()
{
    return { crash(seconds(1), "e1", 101, { 1, 9 }), crash(seconds(2), "e2", 101, { 1, 9 }),
             crash(seconds(3), "e3", 102, { 1, 9 }) };
}

std::vector<Step> deadlyStepsAnd(const std::vector<Step> &more)
{
    std::vector<Step> steps = deadlySteps();
    steps.insert(steps.end(), more.begin(), more.end());
    return steps;
}

} // namespace

class PartQuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartQuarantineTest);
    CPPUNIT_TEST(deadlyPartIsQuarantined);
    CPPUNIT_TEST(soundPartsAreNotQuarantined);
    CPPUNIT_TEST(quarantineEndsAndIsRenewed);
    CPPUNIT_TEST(clearedPartsAreReturnedOncePerCrash);
    CPPUNIT_TEST(changesAreReportedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against crashes of engines that go on because no part is held responsible.
    void deadlyPartIsQuarantined()
    {
        check({
                { "later part of equals", deadlySteps(), { 9 } },
                { "first part that does not begin elsewhere",
                  { crash(seconds(1), "e1", 101, { 1, 7 }), crash(seconds(2), "e2", 102, { 1, 8 }),
                    crash(seconds(3), "e3", 103, { 1, 9 }) },
                  { 1 } },
                { "first part, after a later part was held responsible",
                  deadlyStepsAnd({ crash(seconds(4), "e4", 103, { 1, 8 }) }),
                  { 1 } },
                { "hot first part begins",
                  { crash(seconds(1), "e1", 101, { 1, 9 }),
                    { milliseconds(1100), Begin{ { 1, 5 } } },
                    crash(seconds(2), "e2", 102, { 1, 9 }),
                    { milliseconds(2100), Begin{ { 1, 6 } } },
                    crash(seconds(3), "e3", 103, { 1, 9, 4 }),
                    crash(seconds(4), "e4", 104, { 1, 9, 3 }) },
                  { 9 } },
                { "among many waiting requests",
                  { { seconds(1), Crash{ "e1", { { 101, { 1, 9 } }, { 102, { 2, 3 } } } } },
                    { seconds(2), Crash{ "e2", { { 103, { 1, 9 } }, { 104, { 2, 4 } } } } },
                    { milliseconds(2500), Begin{ { 2, 6 } } },
                    { seconds(3), Crash{ "e3", { { 105, { 1, 9 } }, { 106, { 2, 3 } } } } } },
                  { 9 } },
                { "two deadly parts",
                  { crash(seconds(1), "e1", 101, { 1, 8 }),
                    crash(seconds(2), "e2", 102, { 1, 9 }),
                    { milliseconds(2100), Begin{ { 1 } } },
                    crash(seconds(3), "e3", 103, { 1, 8 }),
                    crash(seconds(4), "e4", 104, { 1, 9 }),
                    { milliseconds(4100), Begin{ { 1 } } },
                    crash(seconds(5), "e5", 105, { 1, 8 }),
                    crash(seconds(6), "e6", 106, { 1, 9 }),
                    { milliseconds(6100), Begin{ { 1 } } } },
                  { 8, 9 } },
                { "quarantine of another instance",
                  { { seconds(1), Adopt{ { 9, minutes(5) } } } },
                  { 9 } },
        });
    }

    // Guards against refusals of requests whose engines crashed for other reasons.
    void soundPartsAreNotQuarantined()
    {
        std::vector<Step> cleared = deadlySteps();
        cleared.insert(cleared.begin() + 2, { milliseconds(2500), Innocent{ { 1, 9 } } });
        check({
                { "two crashes",
                  { crash(seconds(1), "e1", 101, { 1, 9 }),
                    crash(seconds(2), "e2", 102, { 1, 9 }) },
                  {} },
                { "one request",
                  { crash(seconds(1), "e1", 101, { 1, 9 }), crash(seconds(2), "e2", 101, { 1, 9 }),
                    crash(seconds(3), "e3", 101, { 1, 9 }) },
                  {} },
                { "one run, reported by several instances",
                  { crash(seconds(1), "e1", 101, { 1, 9 }), crash(seconds(2), "e1", 102, { 1, 9 }),
                    crash(seconds(3), "e1", 103, { 1, 9 }) },
                  {} },
                { "engines that crash at once",
                  { crash(milliseconds(1000), "e1", 101, { 1, 9 }),
                    crash(milliseconds(1010), "e2", 102, { 1, 9 }),
                    crash(milliseconds(1020), "e3", 103, { 1, 9 }) },
                  {} },
                { "rare part that begins once", cleared, {} },
                { "begins after the verdict",
                  deadlyStepsAnd({ { milliseconds(3100), Begin{ { 1 } } },
                                   { milliseconds(3200), Begin{ { 1, 9 } } } }),
                  {} },
                { "crashes long ago",
                  { crash(seconds(1), "e1", 101, { 1, 9 }), crash(seconds(2), "e2", 102, { 1, 9 }),
                    crash(seconds(40), "e3", 103, { 1, 9 }) },
                  {} },
                { "crashes that a quarantined part explains accuse no other part",
                  deadlyStepsAnd(
                          { { seconds(4), Crash{ "e4", { { 104, { 9 } }, { 105, { 5 } } } } },
                            { seconds(5), Crash{ "e5", { { 106, { 9 } }, { 107, { 5 } } } } },
                            { seconds(6), Crash{ "e6", { { 108, { 9 } }, { 109, { 5 } } } } } }),
                  { 9 } },
                { "adoption after the part was cleared",
                  { { seconds(1), Innocent{ { 9 } } }, { seconds(2), Adopt{ { 9, minutes(5) } } } },
                  {} },
                { "report that arrives after the part was cleared of the crash",
                  { crash(seconds(1), "e1", 101, { 1, 9 }),
                    crash(seconds(2), "e2", 102, { 1, 9 }),
                    crash(seconds(3), "e3", 103, { 4 }),
                    { milliseconds(3100), Innocent{ { 1, 9 } } },
                    crash(milliseconds(3200), "e3", 104, { 1, 9 }) },
                  {} },
        });
    }

    // Guards against a quarantine that never ends, and against crashes that repeat after its end.
    void quarantineEndsAndIsRenewed()
    {
        const milliseconds afterEnd = minutes(10) + seconds(4);
        const milliseconds longAfterEnd = minutes(20) + seconds(4);
        const Step unrelated = crash(afterEnd, "e8", 108, { 2 });
        check({
                { "lasts longer than its evidence",
                  deadlyStepsAnd({ crash(minutes(9), "e8", 108, { 2 }) }),
                  { 9 } },
                { "ends", deadlyStepsAnd({ unrelated }), {} },
                { "one more crash renews it",
                  deadlyStepsAnd({ unrelated, crash(afterEnd + seconds(1), "e9", 109, { 1, 9 }) }),
                  { 9 } },
                { "one crash much later does not",
                  deadlyStepsAnd({ unrelated, crash(longAfterEnd, "e9", 109, { 1, 9 }) }),
                  {} },
                { "begins after the end",
                  deadlyStepsAnd({ unrelated,
                                   { afterEnd + milliseconds(100), Begin{ { 9 } } },
                                   crash(afterEnd + seconds(1), "e9", 109, { 1, 9 }) }),
                  {} },
        });
    }

    // Guards against floods of announcements, and against instances that never learn of a begin.
    void clearedPartsAreReturnedOncePerCrash()
    {
        PartQuarantine quarantine;
        const std::vector<PartKey> parts{ 1, 5 };
        const auto begin = [&](milliseconds at) {
            return toText(quarantine.recordBegin(parts, timeOf(at)));
        };
        CPPUNIT_ASSERT_EQUAL(std::string(), begin(milliseconds(0)));
        apply(quarantine, crash(seconds(1), "e1", 101, { 1, 9 }));
        CPPUNIT_ASSERT_EQUAL(std::string("1 "), begin(seconds(2)));
        CPPUNIT_ASSERT_EQUAL(std::string(), begin(seconds(3)));
        apply(quarantine, crash(seconds(4), "e2", 102, { 1, 9 }));
        CPPUNIT_ASSERT_EQUAL(std::string("1 "), begin(seconds(5)));
    }

    // Guards against changes that are not logged or announced.
    void changesAreReportedOnce()
    {
        PartQuarantine quarantine;
        for (const Step &step : deadlySteps())
            apply(quarantine, step);
        const auto changes = quarantine.takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
        CPPUNIT_ASSERT_EQUAL(PartKey(9), changes.front().part.part);
        CPPUNIT_ASSERT(changes.front().isQuarantined && !changes.front().isAdopted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), changes.front().crashes);
        CPPUNIT_ASSERT(quarantine.takeChanges().empty());
        const std::vector<PartKey> part{ 9 };
        const auto remaining = quarantine.remaining(part, timeOf(seconds(3) + minutes(1)));
        CPPUNIT_ASSERT(remaining == milliseconds(minutes(9)));
        quarantine.recordBegin(part, timeOf(seconds(4)));
        CPPUNIT_ASSERT(!quarantine.remaining(part, timeOf(seconds(4))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartQuarantineTest);

} // namespace chervilfield::quarantine
