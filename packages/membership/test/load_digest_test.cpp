#include "membership/load_digest.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::membership {

using namespace std::chrono_literals;

namespace {

TargetLoad makeLoad(std::uint32_t prefillTokens, std::uint32_t requests)
{
    TargetLoad load;
    load.classes[0] = { prefillTokens, requests };
    return load;
}

} // namespace

class LoadDigestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadDigestTest);
    CPPUNIT_TEST(onlySignificantChangesAreSent);
    CPPUNIT_TEST(sumsExcludeTheRecipient);
    CPPUNIT_TEST(newLifeReplacesReports);
    CPPUNIT_TEST(silentReportersExpire);
    CPPUNIT_TEST(forgedReportsAreBounded);
    CPPUNIT_TEST(sumsFollowLoadWithinTwoRefreshes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests which changes of a load are sent. Guards against traffic caused by small changes, and
    // against changes that are never sent.
    void onlySignificantChangesAreSent()
    {
        struct Row
        {
            const char *name;
            TargetLoad before;
            TargetLoad after;
            Duration later;
            std::size_t sent;
        };
        const Row rows[] = {
            { "same", makeLoad(9000, 9), makeLoad(9000, 9), 1s, 0 },
            { "few requests more", makeLoad(9000, 9), makeLoad(9000, 12), 1s, 0 },
            { "many requests more", makeLoad(9000, 9), makeLoad(9000, 13), 1s, 1 },
            { "two blocks more", makeLoad(9000, 9), makeLoad(18000, 9), 1s, 1 },
            { "too soon after the last", makeLoad(9000, 9), makeLoad(18000, 9), 49ms, 0 },
            { "small share", makeLoad(90000, 9), makeLoad(98500, 9), 1s, 0 },
            { "ended", makeLoad(9000, 9), {}, 1s, 1 },
            { "never significant, now due", makeLoad(10, 1), makeLoad(10, 1), 5s, 1 },
            { "repeated", makeLoad(9000, 9), makeLoad(9000, 9), 5s, 1 },
        };
        for (const Row &row : rows) {
            SentLoads sent;
            const LoadEntry before{ 7, row.before };
            const LoadEntry after{ 7, row.after };
            takeChanges(sent, { &before, 1 }, TimePoint{}, {});
            const auto changes = takeChanges(sent, { &after, 1 }, TimePoint{} + row.later, {});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.sent, changes.size());
        }
    }

    // Tests that a daemon is sent the sums of the other daemons only. Guards against a daemon that
    // counts its own work twice.
    void sumsExcludeTheRecipient()
    {
        ReportedLoads reported;
        for (const char *name : { "a", "b", "c" }) {
            const LoadEntry entry{ 7, makeLoad(10000, 5) };
            recordReport(reported, name, 1, { &entry, 1 }, TimePoint{});
        }
        const auto sums = takeSums(reported, "a", TimePoint{}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sums.size());
        CPPUNIT_ASSERT(sums.front().load == makeLoad(20000, 10));
        CPPUNIT_ASSERT(takeSums(reported, "unknown", TimePoint{}, {}).empty());
    }

    // Tests that the reports of a new life replace those of the old one, also if a late report
    // arrives. Guards against counting the load of an ended process in addition to that of its
    // successor.
    void newLifeReplacesReports()
    {
        ReportedLoads reported;
        const LoadEntry old{ 7, makeLoad(10000, 5) };
        const LoadEntry successor{ 8, makeLoad(30000, 5) };
        recordReport(reported, "a", 1, { &old, 1 }, TimePoint{});
        recordReport(reported, "a", 2, { &successor, 1 }, TimePoint{});
        recordReport(reported, "a", 1, { &old, 1 }, TimePoint{});
        recordReport(reported, "reader", 1, {}, TimePoint{});
        const auto sums = takeSums(reported, "reader", TimePoint{}, {});
        CPPUNIT_ASSERT(sums == std::vector<LoadEntry>{ successor });
    }

    // Tests that reports and sums expire after `maxAge`. Guards against the load of a dead daemon
    // that keeps other daemons away from a target forever.
    void silentReportersExpire()
    {
        ReportedLoads reported;
        const LoadEntry entry{ 7, makeLoad(10000, 5) };
        recordReport(reported, "a", 1, { &entry, 1 }, TimePoint{});
        expireReports(reported, TimePoint{} + 11s, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, reported.reporters.size());
        expireReports(reported, TimePoint{} + 12s, {});
        CPPUNIT_ASSERT(reported.reporters.empty());

        ReceivedSums receivedSums;
        mergeSums(receivedSums, { &entry, 1 }, TimePoint{});
        CPPUNIT_ASSERT(othersLoad(receivedSums, 7, TimePoint{} + 3s, {})->age == 3s);
        CPPUNIT_ASSERT(!othersLoad(receivedSums, 7, TimePoint{} + 12s, {}));
    }

    // Tests that the number of stored reporters, reports and sums is bounded. Guards against memory
    // that grows with forged datagrams.
    void forgedReportsAreBounded()
    {
        ReportedLoads reported;
        ReceivedSums receivedSums;
        for (std::uint32_t i = 0; i < 5000; ++i) {
            const LoadEntry entry{ i, makeLoad(10000, 5) };
            recordReport(reported, std::to_string(i), 1, { &entry, 1 }, TimePoint{});
            recordReport(reported, "0", 1, { &entry, 1 }, TimePoint{});
            mergeSums(receivedSums, { &entry, 1 }, TimePoint{});
        }
        CPPUNIT_ASSERT(reported.reporters.size() <= 720);
        CPPUNIT_ASSERT(reported.reporters.at("0").targets.size() <= 3440);
        CPPUNIT_ASSERT(receivedSums.targets.size() <= 3440);
        expireSums(receivedSums, TimePoint{} + 12s, {});
        CPPUNIT_ASSERT(receivedSums.targets.empty());
    }

    // Tests that the received sums equal the load two refreshes after it became steady. Guards
    // against a daemon whose sums stay wrong because datagrams were lost while the load changed.
    void sumsFollowLoadWithinTwoRefreshes()
    {
        const bool holds = rc::check("the sums equal the load after two refreshes", [] {
            SentLoads sent;
            ReportedLoads reported;
            ReceivedSums receivedSums;
            LoadEntry entry{ 7, {} };
            const int changing = *rc::gen::inRange(1, 60);
            const auto isLost = *rc::gen::container<std::vector<bool>>(
                    static_cast<std::size_t>(changing), rc::gen::arbitrary<bool>());
            TimePoint now{};
            for (int i = 0; i < changing + 60; ++i, now += 250ms) {
                const bool isSteady = i >= changing;
                if (!isSteady)
                    entry.load = makeLoad(*rc::gen::inRange<std::uint32_t>(1, 50000),
                                          *rc::gen::inRange<std::uint32_t>(1, 40));
                const auto changes = takeChanges(sent, { &entry, 1 }, now, {});
                recordReport(reported, "reader", 1, {}, now);
                if (isSteady || !isLost[static_cast<std::size_t>(i)])
                    recordReport(reported, "a", 1, changes, now);
                expireReports(reported, now, {});
                const auto sums = takeSums(reported, "reader", now, {});
                if (isSteady || !isLost[static_cast<std::size_t>(i)])
                    mergeSums(receivedSums, sums, now);
            }
            const auto others = othersLoad(receivedSums, 7, now, {});
            RC_ASSERT(others.has_value());
            RC_ASSERT(others->load == entry.load);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadDigestTest);

} // namespace chervilfield::membership
