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
    CPPUNIT_TEST(onlyMaterialChangesAreSent);
    CPPUNIT_TEST(sumsExcludeTheReader);
    CPPUNIT_TEST(newLifeReplacesReports);
    CPPUNIT_TEST(silentReportersExpire);
    CPPUNIT_TEST(floodIsBounded);
    CPPUNIT_TEST(viewFollowsLoadWithinRefresh);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against traffic for small changes, and against changes that are never sent.
    void onlyMaterialChangesAreSent()
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
            { "never material, now due", makeLoad(10, 1), makeLoad(10, 1), 5s, 1 },
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

    // Guards against a daemon that counts its own work twice.
    void sumsExcludeTheReader()
    {
        ReportedLoads board;
        for (const char *name : { "a", "b", "c" }) {
            const LoadEntry entry{ 7, makeLoad(10000, 5) };
            recordReport(board, name, 1, { &entry, 1 }, TimePoint{});
        }
        const auto sums = takeSums(board, "a", TimePoint{}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sums.size());
        CPPUNIT_ASSERT(sums.front().load == makeLoad(20000, 10));
        CPPUNIT_ASSERT(takeSums(board, "stranger", TimePoint{}, {}).empty());
    }

    // Guards against the load of an ended process that is counted beside that of its successor.
    void newLifeReplacesReports()
    {
        ReportedLoads board;
        const LoadEntry old{ 7, makeLoad(10000, 5) };
        const LoadEntry young{ 8, makeLoad(30000, 5) };
        recordReport(board, "a", 1, { &old, 1 }, TimePoint{});
        recordReport(board, "a", 2, { &young, 1 }, TimePoint{});
        recordReport(board, "a", 1, { &old, 1 }, TimePoint{});
        recordReport(board, "reader", 1, {}, TimePoint{});
        const auto sums = takeSums(board, "reader", TimePoint{}, {});
        CPPUNIT_ASSERT(sums == std::vector<LoadEntry>{ young });
    }

    // Guards against load of a dead daemon that keeps others away from a target for ever.
    void silentReportersExpire()
    {
        ReportedLoads board;
        const LoadEntry entry{ 7, makeLoad(10000, 5) };
        recordReport(board, "a", 1, { &entry, 1 }, TimePoint{});
        expireReports(board, TimePoint{} + 11s, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, board.reporters.size());
        expireReports(board, TimePoint{} + 12s, {});
        CPPUNIT_ASSERT(board.reporters.empty());

        ReceivedSums view;
        mergeSums(view, { &entry, 1 }, TimePoint{});
        CPPUNIT_ASSERT(othersLoad(view, 7, TimePoint{} + 3s, {})->age == 3s);
        CPPUNIT_ASSERT(!othersLoad(view, 7, TimePoint{} + 12s, {}));
    }

    // Guards against memory that grows with forged datagrams.
    void floodIsBounded()
    {
        ReportedLoads board;
        ReceivedSums view;
        for (std::uint32_t i = 0; i < 5000; ++i) {
            const LoadEntry entry{ i, makeLoad(10000, 5) };
            recordReport(board, std::to_string(i), 1, { &entry, 1 }, TimePoint{});
            recordReport(board, "0", 1, { &entry, 1 }, TimePoint{});
            mergeSums(view, { &entry, 1 }, TimePoint{});
        }
        CPPUNIT_ASSERT(board.reporters.size() <= 720);
        CPPUNIT_ASSERT(board.reporters.at("0").targets.size() <= 3440);
        CPPUNIT_ASSERT(view.targets.size() <= 3440);
        expireSums(view, TimePoint{} + 12s, {});
        CPPUNIT_ASSERT(view.targets.empty());
    }

    // Guards against a reader whose view stays wrong after the load has become steady, also when
    // some datagrams are lost.
    void viewFollowsLoadWithinRefresh()
    {
        const bool holds = rc::check("the view equals the load after two refreshes", [] {
            SentLoads sent;
            ReportedLoads board;
            ReceivedSums view;
            LoadEntry entry{ 7, {} };
            const int changing = *rc::gen::inRange(1, 60);
            const auto lossy = *rc::gen::container<std::vector<bool>>(
                    static_cast<std::size_t>(changing), rc::gen::arbitrary<bool>());
            TimePoint now{};
            for (int i = 0; i < changing + 60; ++i, now += 250ms) {
                const bool isSteady = i >= changing;
                if (!isSteady)
                    entry.load = makeLoad(*rc::gen::inRange<std::uint32_t>(1, 50000),
                                          *rc::gen::inRange<std::uint32_t>(1, 40));
                const auto changes = takeChanges(sent, { &entry, 1 }, now, {});
                recordReport(board, "reader", 1, {}, now);
                if (isSteady || !lossy[static_cast<std::size_t>(i)])
                    recordReport(board, "a", 1, changes, now);
                expireReports(board, now, {});
                const auto sums = takeSums(board, "reader", now, {});
                if (isSteady || !lossy[static_cast<std::size_t>(i)])
                    mergeSums(view, sums, now);
            }
            const auto others = othersLoad(view, 7, now, {});
            RC_ASSERT(others.has_value());
            RC_ASSERT(others->load == entry.load);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadDigestTest);

} // namespace chervilfield::membership
