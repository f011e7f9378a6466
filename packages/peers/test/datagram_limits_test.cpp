#include "peers/datagram.h"

#include "largest_datagrams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilfield::peers {

class DatagramLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DatagramLimitsTest);
    CPPUNIT_TEST(largestQuarantineDatagramsFit);
    CPPUNIT_TEST(quarantineDatagramsBeyondLimitsAreRejected);
    CPPUNIT_TEST(performanceFiguresBeyondLimitsAreRejected);
    CPPUNIT_TEST(largestUsageDatagramsFit);
    CPPUNIT_TEST(usageDatagramsBeyondLimitsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that datagrams about quarantines with the largest permitted content survive the codec,
    // and that no truncated one is accepted. Guards against limits that the size of a datagram does
    // not allow.
    void largestQuarantineDatagramsFit()
    {
        for (const auto &[name, datagram] : largestQuarantineDatagrams()) {
            const auto bytes = encode(datagram);
            CPPUNIT_ASSERT_MESSAGE(name, bytes.has_value());
            CPPUNIT_ASSERT_MESSAGE(name, decode(*bytes) == datagram);
            for (std::size_t size = 0; size < bytes->size(); ++size)
                CPPUNIT_ASSERT_MESSAGE(name, !decode(std::string_view(*bytes).substr(0, size)));
        }
    }

    // Tests that datagrams about quarantines are rejected if a value exceeds its limit. Guards
    // against a peer that makes this process keep more or longer than any valid peer does.
    void quarantineDatagramsBeyondLimitsAreRejected()
    {
        const auto quarantined = [](std::size_t count, std::chrono::milliseconds remaining) {
            return QuarantinedParts{ std::vector<SharedQuarantine>(
                    count, { { .part = 1, .remaining = remaining }, false }) };
        };
        const auto report = [](std::string target, std::size_t requests, std::size_t parts) {
            return quarantine::CrashReport{
                .run = { std::move(target), 1 },
                .suspects = std::vector<quarantine::SuspectRequest>(
                        requests, { 1, std::vector<quarantine::PartKey>(parts, 1) })
            };
        };
        struct Row
        {
            const char *name;
            Datagram datagram;
            bool isValid;
        };
        const std::chrono::milliseconds minute = std::chrono::minutes(1);
        const std::chrono::milliseconds tick(1);
        const Row rows[] = {
            { "most requests", report("e", kMaxSuspectRequests, 1), true },
            { "too many requests", report("e", kMaxSuspectRequests + 1, 1), false },
            { "most parts", report("e", 2, kMaxSuspectParts / 2), true },
            { "too many parts", report("e", 2, kMaxSuspectParts / 2 + 1), false },
            { "no engine", report("", 1, 1), false },
            { "long engine id", report(std::string(97, 'e'), 1, 1), false },
            { "most innocent parts",
              InnocentParts{ std::vector<quarantine::PartKey>(kMaxInnocentParts, 1) }, true },
            { "too many innocent parts",
              InnocentParts{ std::vector<quarantine::PartKey>(kMaxInnocentParts + 1, 1) }, false },
            { "request for quarantines", quarantined(0, minute), true },
            { "most quarantines", quarantined(kMaxQuarantinedParts, minute), true },
            { "too many quarantines", quarantined(kMaxQuarantinedParts + 1, minute), false },
            { "longest quarantine", quarantined(1, kMaxQuarantineTime), true },
            { "too long quarantine", quarantined(1, kMaxQuarantineTime + tick), false },
            { "ended quarantine", quarantined(1, -tick), false },
        };
        for (const Row &row : rows) {
            const auto bytes = encode(row.datagram);
            CPPUNIT_ASSERT_MESSAGE(row.name, bytes.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isValid, decode(*bytes).has_value());
        }
    }

    // Tests that performance figures are rejected if a value exceeds its limit or is not a number,
    // that the longest list fits into a datagram, and that no truncated one is accepted. Guards
    // against a faulty peer that determines the placement of this instance, and against limits that
    // the size of a datagram does not allow.
    void performanceFiguresBeyondLimitsAreRejected()
    {
        constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
        constexpr double kInfinity = std::numeric_limits<double>::infinity();
        constexpr auto kMaxKey = std::numeric_limits<std::uint64_t>::max() / 2;
        const auto make = [](std::size_t count, double relativeTime, double usefulConcurrency,
                             double weight) {
            return PerformanceFigures{ std::vector<performance::SharedFigures>(
                    count, { .target = kMaxKey,
                             .startedAt = kMaxKey,
                             .relativeTime = relativeTime,
                             .usefulConcurrency = usefulConcurrency,
                             .weight = weight }) };
        };
        struct Row
        {
            const char *name;
            PerformanceFigures figures;
            bool isValid;
        };
        constexpr std::size_t kMost = kMaxPerformanceFigures;
        const Row rows[] = {
            { "none", make(0, 1, 0, 1), true },
            { "most", make(kMost, 1.6, 12, 10), true },
            { "too many", make(kMost + 1, 1.6, 12, 10), false },
            { "slowest", make(1, kMaxRelativeTime, 12, 10), true },
            { "too slow", make(1, kMaxRelativeTime * 1.01, 12, 10), false },
            { "fastest", make(1, 1 / kMaxRelativeTime, 12, 10), true },
            { "no time", make(1, 0, 12, 10), false },
            { "negative time", make(1, -1, 12, 10), false },
            { "time not a number", make(1, kNan, 12, 10), false },
            { "infinite time", make(1, kInfinity, 12, 10), false },
            { "unlimited concurrency", make(1, 1, performance::kUnlimitedConcurrency, 1), true },
            { "too much concurrency", make(1, 1, 1e9, 1), false },
            { "negative concurrency", make(1, 1, -1, 1), false },
            { "concurrency not a number", make(1, 1, kNan, 1), false },
            { "largest weight", make(1, 1, 0, kMaxPerformanceWeight), true },
            { "too large weight", make(1, 1, 0, kMaxPerformanceWeight * 1.01), false },
            { "negative weight", make(1, 1, 0, -1), false },
            { "infinite weight", make(1, 1, 0, kInfinity), false },
            { "weight not a number", make(1, 1, 0, kNan), false },
        };
        for (const Row &row : rows) {
            const auto bytes = encode(row.figures);
            CPPUNIT_ASSERT_MESSAGE(row.name, bytes.has_value());
            const auto decoded = decode(*bytes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isValid, decoded.has_value());
            if (row.isValid)
                CPPUNIT_ASSERT_MESSAGE(row.name, decoded == Datagram(row.figures));
            for (std::size_t size = 0; size < bytes->size(); ++size)
                CPPUNIT_ASSERT_MESSAGE(row.name, !decode(std::string_view(*bytes).substr(0, size)));
        }
    }

    // Tests that datagrams about usage with the largest permitted content survive the codec, and
    // that no truncated one is accepted. Guards against limits that the size of a datagram does not
    // allow.
    void largestUsageDatagramsFit()
    {
        for (const auto &[name, datagram] : largestUsageDatagrams()) {
            const auto bytes = encode(datagram);
            CPPUNIT_ASSERT_MESSAGE(name, bytes.has_value());
            CPPUNIT_ASSERT_MESSAGE(name, decode(*bytes) == datagram);
            for (std::size_t size = 0; size < bytes->size(); ++size)
                CPPUNIT_ASSERT_MESSAGE(name, !decode(std::string_view(*bytes).substr(0, size)));
        }
    }

    // Tests that datagrams about usage are rejected if a value is implausible. Guards against a
    // peer that makes an instance refuse or admit everything, or keep more than any valid peer
    // does.
    void usageDatagramsBeyondLimitsAreRejected()
    {
        const auto report = [](std::string sender, std::size_t count, double cost) {
            return UsageReport{ std::move(sender), 1,
                                std::vector<usage::UsageEntry>(count, { 1, cost }) };
        };
        const auto balances = [](std::size_t count, double balance, double rate, double included) {
            return UsageBalances{
                std::vector<usage::UsageBalance>(count, { 1, balance, rate, included }), 1
            };
        };
        struct Row
        {
            const char *name;
            Datagram datagram;
            bool isValid;
        };
        const double nan = std::numeric_limits<double>::quiet_NaN();
        const double infinity = std::numeric_limits<double>::infinity();
        const Row rows[] = {
            { "empty report", report("e", 0, 1), true },
            { "most entries", report("e", kMaxUsageEntries, 1), true },
            { "too many entries", report("e", kMaxUsageEntries + 1, 1), false },
            { "no sender", report("", 1, 1), false },
            { "long sender", report(std::string(97, 'e'), 1, 1), false },
            { "negative cost", report("e", 1, -1), false },
            { "cost not a number", report("e", 1, nan), false },
            { "infinite cost", report("e", 1, infinity), false },
            { "largest cost", report("e", 1, kMaxUsage), true },
            { "absurd cost", report("e", 1, 2 * kMaxUsage), false },
            { "most balances", balances(kMaxUsageBalances, 1, 1, 1), true },
            { "too many balances", balances(kMaxUsageBalances + 1, 1, 1, 1), false },
            { "debt", balances(1, -kMaxUsage, 1, 1), true },
            { "absurd balance", balances(1, -2 * kMaxUsage, 1, 1), false },
            { "balance not a number", balances(1, nan, 1, 1), false },
            { "negative rate", balances(1, 1, -1, 1), false },
            { "rate not a number", balances(1, 1, nan, 1), false },
            { "infinite rate", balances(1, 1, infinity, 1), false },
            { "nothing included", balances(1, 1, 1, -1), true },
            { "included cost not a number", balances(1, 1, 1, nan), false },
        };
        for (const Row &row : rows) {
            const auto bytes = encode(row.datagram);
            CPPUNIT_ASSERT_MESSAGE(row.name, bytes.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isValid, decode(*bytes).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramLimitsTest);

} // namespace chervilfield::peers
