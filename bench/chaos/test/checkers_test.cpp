#include "chaos/checkers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace chervilfield::chaos {

namespace {

/// A history and the numbers of violations and exercised records that a checker must report.
struct Row
{
    std::string name;
    std::vector<std::string> lines;
    std::size_t violations;
    std::size_t exercised;
};

using Checker = std::function<CheckResult(const History &)>;

void assertRows(const Checker &check, const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        History history;
        for (const std::string &line : row.lines) {
            for (const std::string &error : addLines(history, line))
                CPPUNIT_FAIL(row.name + ": " + error);
        }
        const CheckResult result = check(history);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.violations, result.violations.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.exercised, result.exercised);
    }
}

std::string stream(const std::string &received, const std::string &terminated,
                   const std::string &work, const std::string &faults = "[]")
{
    return R"({"kind":"stream","start":1,"end":2,"request":"r","expected":"abc","received":")"
           + received + R"(","terminated":)" + terminated + R"(,"work":")" + work + R"(","faults":)"
           + faults + "}";
}

std::string attempt(const std::string &order, const std::string &work)
{
    return R"({"kind":"order-attempt","start":1,"end":2,"order":")" + order + R"(","work":")" + work
           + "\"}";
}

std::string execution(const std::string &order)
{
    return R"({"kind":"execution","time":1,"service":"s","order":")" + order + "\"}";
}

std::string inForce(int time, const std::string &instance, int revision)
{
    return R"({"kind":"config-in-force","time":)" + std::to_string(time) + R"(,"instance":")"
           + instance + R"(","revision":)" + std::to_string(revision) + "}";
}

std::string cacheUse(const std::string &customer, const std::string &weights,
                     const std::string &salt, const std::string &life, int cachedTokens)
{
    static int time = 0;
    return R"({"kind":"cache-use","time":)" + std::to_string(++time)
           + R"(,"engine":"e","request":"r","life":")" + life + R"(","customer":")" + customer
           + R"(","weights":")" + weights + R"(","salt":")" + salt + R"(","cachedTokens":)"
           + std::to_string(cachedTokens) + "}";
}

std::string connection(int start, int end, const std::string &outcome, int addressExpires = 0)
{
    return R"({"kind":"connection","instance":"i","request":"r","start":)" + std::to_string(start)
           + R"(,"end":)" + std::to_string(end) + R"(,"outcome":")" + outcome
           + R"(","addressExpires":)" + std::to_string(addressExpires) + "}";
}

std::string state(int time, const std::string &leaving)
{
    return R"({"kind":"target-state","target":"t","time":)" + std::to_string(time)
           + R"(,"leaving":)" + leaving + "}";
}

std::string work(int time)
{
    return R"({"kind":"target-work","target":"t","request":"r","time":)" + std::to_string(time)
           + "}";
}

} // namespace

class CheckersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CheckersTest);
    CPPUNIT_TEST(streams);
    CPPUNIT_TEST(executions);
    CPPUNIT_TEST(orderReplies);
    CPPUNIT_TEST(configMonotone);
    CPPUNIT_TEST(configInForce);
    CPPUNIT_TEST(leftTargets);
    CPPUNIT_TEST(cacheUses);
    CPPUNIT_TEST(gracefulStops);
    CPPUNIT_TEST(reportsMalformedLines);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each test of a checker guards against a checker that misses a violation or reports a correct
    // history as one.

    // Tests that a stream must be complete and in order or be refused, that its text must be a
    // prefix of the answer, and that a request refused with not-run must not have been computed.
    void streams()
    {
        const std::string run = R"({"kind":"engine-run","time":1,"engine":"e","request":"r"})";
        assertRows(checkStreams,
                   { { "whole", { stream("abc", "true", ""), run }, 0, 1 },
                     { "refused", { stream("", "false", "not-run") }, 0, 1 },
                     { "broken off and reported", { stream("ab", "false", "unknown"), run }, 0, 1 },
                     { "terminated early", { stream("ab", "true", "") }, 1, 1 },
                     { "repeated text", { stream("aab", "false", "unknown") }, 1, 1 },
                     { "text of another answer", { stream("x", "false", "unknown") }, 1, 1 },
                     { "too long", { stream("abcd", "true", "") }, 2, 1 },
                     { "out of order", { stream("abc", "true", "", R"(["offset 3"])") }, 1, 1 },
                     { "no answer", { stream("ab", "false", "") }, 1, 1 },
                     { "not-run after a run", { stream("", "false", "not-run"), run }, 1, 1 },
                     { "not-run after text", { stream("a", "false", "not-run") }, 1, 1 } });
    }

    // Tests that an order that was executed twice is a violation.
    void executions()
    {
        assertRows(checkExecutions, { { "once each", { execution("a"), execution("b") }, 0, 2 },
                                      { "twice", { execution("a"), execution("a") }, 1, 1 } });
    }

    // Tests that the replies "ran" and "not-run" must agree with the executions, while "unknown"
    // and "lost" agree with any.
    void orderReplies()
    {
        assertRows(checkOrderReplies,
                   { { "true",
                       { attempt("a", "ran"), execution("a"), attempt("b", "not-run") },
                       0,
                       2 },
                     { "unknown proves nothing",
                       { attempt("a", "unknown"), attempt("b", "lost"), execution("a") },
                       0,
                       0 },
                     { "not-run but executed", { attempt("a", "not-run"), execution("a") }, 1, 1 },
                     { "ran but not executed", { attempt("a", "ran"), execution("b") }, 1, 1 } });
    }

    // Tests that the revision of one instance must not decrease over time, whatever the order of
    // the records in the file.
    void configMonotone()
    {
        assertRows(
                checkConfigMonotone,
                { { "grows", { inForce(1, "i", 1), inForce(2, "i", 1), inForce(3, "i", 2) }, 0, 3 },
                  { "instances differ", { inForce(1, "i", 2), inForce(2, "j", 1) }, 0, 2 },
                  { "reverts", { inForce(1, "i", 2), inForce(2, "i", 1) }, 1, 2 },
                  { "reverts, file out of order",
                    { inForce(2, "i", 1), inForce(1, "i", 2) },
                    1,
                    2 } });
    }

    // Tests that an instance must report an accepted revision after the time limit, which restarts
    // when the instance becomes able to run.
    void configInForce()
    {
        const std::string accepted = R"({"kind":"config-accepted","time":1000,"revision":7})";
        const std::string up = R"({"kind":"instance-up","time":3000,"instance":"i"})";
        const auto check = [](const History &history) { return checkConfigInForce(history, {}); };
        assertRows(check,
                   { { "before the limit", { accepted, inForce(5999, "i", 6) }, 0, 0 },
                     { "in force", { accepted, inForce(6001, "i", 7) }, 0, 1 },
                     { "later revision", { accepted, inForce(6001, "i", 9) }, 0, 1 },
                     { "missing", { accepted, inForce(6001, "i", 6) }, 1, 1 },
                     { "just started", { accepted, up, inForce(7999, "i", 6) }, 0, 0 },
                     { "started long ago", { accepted, up, inForce(8001, "i", 6) }, 1, 1 } });
    }

    // Tests that a leaving target must not receive requests after the time limit, which a repeated
    // announcement does not extend and a return cancels.
    void leftTargets()
    {
        const auto check = [](const History &history) { return checkLeftTargets(history, {}); };
        assertRows(check,
                   { { "in time", { state(1000, "true"), work(4000) }, 0, 1 },
                     { "too late", { state(1000, "true"), work(4001) }, 1, 1 },
                     { "announced again",
                       { state(1000, "true"), state(3000, "true"), work(5000) },
                       1,
                       2 },
                     { "back", { state(1000, "true"), state(3000, "false"), work(9000) }, 0, 1 } });
    }

    // Tests that a salt must not be shared by customers or versions of weights, and that cached
    // tokens of an ended engine life are a violation.
    void cacheUses()
    {
        assertRows(checkCacheUse,
                   { { "own entries",
                       { cacheUse("c", "w", "s", "1", 0), cacheUse("c", "w", "s", "1", 8) },
                       0,
                       1 },
                     { "other customer",
                       { cacheUse("c", "w", "s", "1", 0), cacheUse("d", "w", "s", "1", 0) },
                       1,
                       0 },
                     { "older weights",
                       { cacheUse("c", "w", "s", "1", 0), cacheUse("c", "x", "s", "1", 0) },
                       1,
                       0 },
                     { "ended life",
                       { cacheUse("c", "w", "s", "1", 0), cacheUse("c", "w", "s", "2", 8) },
                       1,
                       1 } });
    }

    // Tests that after a graceful stop no connection may be cut, and none may fail before the
    // address has expired.
    void gracefulStops()
    {
        const std::string stop = R"({"kind":"graceful-stop","time":100,"instance":"i"})";
        assertRows(
                checkGracefulStops,
                { { "finished", { stop, connection(50, 300, "whole") }, 0, 1 },
                  { "cut", { stop, connection(50, 300, "cut") }, 1, 1 },
                  { "cut before the stop", { stop, connection(50, 90, "cut") }, 0, 0 },
                  { "reached with a cached address",
                    { stop, connection(150, 200, "whole", 160) },
                    0,
                    1 },
                  { "not reached", { stop, connection(150, 151, "unreachable", 160) }, 1, 1 },
                  { "address expired", { stop, connection(170, 171, "unreachable", 160) }, 0, 0 },
                  { "cut with a cached address",
                    { stop, connection(150, 200, "cut", 160) },
                    1,
                    1 } });
    }

    // Tests that malformed lines, unknown kinds and missing, mistyped or extra fields are errors.
    // Guards against a run that passes because its history could not be parsed.
    void reportsMalformedLines()
    {
        for (const std::string line :
             { "{", "[]", "{}", R"({"kind":"other"})", R"({"kind":"execution","time":1})",
               R"({"kind":"execution","time":"1","service":"s","order":"o"})",
               R"({"kind":"execution","time":1,"service":"s","order":"o","more":1})" }) {
            History history;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::size_t(1), addLines(history, line).size());
            CPPUNIT_ASSERT(history.executions.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckersTest);

} // namespace chervilfield::chaos
