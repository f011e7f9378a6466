#include "leases/lease.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace chervilfield::leases {

class LeaseEraTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseEraTest);
    CPPUNIT_TEST(fencesIncrease);
    CPPUNIT_TEST(newEraRestartsObservation);
    CPPUNIT_TEST(rowsOfEarlierErasAreRecognized);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a fencing token that was used before, if the row that is taken over is a
    // restored one or was written by a process that did not know of the era.
    void fencesIncrease()
    {
        struct Row
        {
            std::string name;
            std::uint64_t lastFence;               ///< Of the last lease that was taken.
            std::uint64_t era;                     ///< Of the next one.
            std::uint64_t version;                 ///< Of the row that is taken over.
            std::optional<std::uint64_t> rowFence; ///< In the row that is taken over.
        };
        const std::uint64_t first = firstFence(1);
        const Row rows[] = {
            { "era 0", 4, 0, 9, 4 },
            { "restored", 900, 1, 9, 3 },
            { "lost row", 900, 1, 0, std::nullopt },
            { "overwritten in the era", minFence(1, 9), 1, 12, 3 },
            { "next era", minFence(1, 1'000'000), 2, 3, minFence(1, 1) },
            { "many changes in the era", first + 5'000, 1, 12, first + 5'000 },
        };
        for (const Row &row : rows) {
            std::optional<LeaseRow> current;
            if (row.rowFence)
                current = LeaseRow{ .holder = "x", .fence = *row.rowFence };
            const LeaseRow taken = takenRow(
                    current, { .holder = "a", .minFence = minFence(row.era, row.version) });
            CPPUNIT_ASSERT_MESSAGE(row.name, taken.fence > row.lastFence);
            std::error_code error;
            CPPUNIT_ASSERT_MESSAGE(row.name, decodeLease(encodeLease(taken), error) == taken);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), minFence(0, 7));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), firstFence(0));
    }

    // Guards against a lease that is taken over too early, because the row of the new era has a
    // lower version than the last one that was seen.
    void newEraRestartsObservation()
    {
        const SteadyTime later = SteadyTime() + std::chrono::milliseconds(100);
        const Observation first = observe(std::nullopt, 9, SteadyTime(), 1);
        CPPUNIT_ASSERT(observe(first, 9, later, 1).firstSeen == SteadyTime());
        CPPUNIT_ASSERT(observe(first, 4, later, 2).firstSeen == later);
        CPPUNIT_ASSERT(observe(first, 9, later, 2).firstSeen == later);
        CPPUNIT_ASSERT(observe(first, 20, later, 0).firstSeen == SteadyTime());
    }

    // Guards against a lease that is taken at once although its holder was lost with its row.
    void rowsOfEarlierErasAreRecognized()
    {
        struct Row
        {
            std::optional<std::uint64_t> fence; ///< No value without a row.
            std::uint64_t era;
            bool isFromEarlierEra;
        };
        const Row rows[] = {
            { std::nullopt, 0, false },
            { 0, 0, false },
            { 7, 0, false },
            { std::nullopt, 1, true },
            { 7, 1, true },
            { firstFence(1) + 1, 1, false },
            { firstFence(1) + 1, 2, true },
            { firstFence(3) + 1, 2, false },
        };
        for (const Row &row : rows) {
            std::optional<LeaseRow> current;
            if (row.fence)
                current = LeaseRow{ .fence = *row.fence };
            CPPUNIT_ASSERT_EQUAL(row.isFromEarlierEra, isFromEarlierEra(current, row.era));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseEraTest);

} // namespace chervilfield::leases
