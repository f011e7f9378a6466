#include "routing/recent_placements.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace chervilfield::routing {

class RecentPlacementsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecentPlacementsTest);
    CPPUNIT_TEST(hintsAreToldOncePerInterval);
    CPPUNIT_TEST(newLifeReplacesTheOldOne);
    CPPUNIT_TEST(lifetimeFollowsReportedHits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against daemons that repeat to each other what all of them know.
    void hintsAreToldOncePerInterval()
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

    // Guards against hints that name an ended engine life next to the present one.
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

    // Guards against hints that stay trusted although engines evict sooner, and the reverse.
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
