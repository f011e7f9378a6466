#include "routing/recent_placements.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace chervilfield::routing {

class RecentPlacementsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecentPlacementsTest);
    CPPUNIT_TEST(hintsAreSentOncePerInterval);
    CPPUNIT_TEST(newLifeReplacesTheOldOne);
    CPPUNIT_TEST(lifetimeFollowsReportedHits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that a placement is sent once per share interval, whichever daemon sent it. Guards
    // against daemons that keep sending each other placements that all of them know.
    void hintsAreSentOncePerInterval()
    {
        using std::chrono::milliseconds;
        const Time start{ std::chrono::seconds(100) };
        const std::vector<std::uint64_t> chain{ 1, 2 };
        RecentPlacements one;
        RecentPlacements other;
        recordPlacement(one, chain, 7, 1, start);
        const auto hints = takeHints(one, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), hints.size());
        mergeHints(other, hints, start);
        CPPUNIT_ASSERT_EQUAL(TargetId(7), placementsOf(other, 2)[0].target);
        recordPlacement(one, chain, 7, 1, start + milliseconds(500));
        recordPlacement(other, chain, 7, 1, start + milliseconds(500));
        CPPUNIT_ASSERT(takeHints(one, 10).empty());
        CPPUNIT_ASSERT(takeHints(other, 10).empty());
        recordPlacement(other, chain, 7, 1, start + milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), takeHints(other, 10).size());
    }

    // Tests that a placement on a new life replaces the one on the previous life. Guards against
    // hints that refer to an ended engine life, whose cache is lost.
    void newLifeReplacesTheOldOne()
    {
        const Time start{ std::chrono::seconds(100) };
        const std::vector<std::uint64_t> chain{ 1 };
        RecentPlacements recent;
        recordPlacement(recent, chain, 7, 1, start);
        recordPlacement(recent, chain, 7, 2, start);
        const auto placements = placementsOf(recent, 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), placements[0].life);
        CPPUNIT_ASSERT(placements[1].time == Time{});
    }

    // Tests the direction in which a reported hit changes the lifetime. Guards against hints that
    // keep their weight although engines evict sooner, and against hints that lose it too early.
    void lifetimeFollowsReportedHits()
    {
        struct Row
        {
            const char *name;
            double predicted;
            double reported;
            int direction;
        };
        const Row rows[] = { { "miss", 100, 0, -1 },
                             { "hit", 100, 100, 0 },
                             { "more", 0, 100, 1 } };
        for (const Row &row : rows) {
            RecentPlacements recent;
            const Cost before = recent.lifetime;
            correctLifetime(recent, row.predicted, row.reported, 100);
            const int direction = (recent.lifetime > before) - (recent.lifetime < before);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.direction, direction);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecentPlacementsTest);

} // namespace chervilfield::routing
