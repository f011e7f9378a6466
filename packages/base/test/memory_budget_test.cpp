#include "base/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace chervilfield::base {

class MemoryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(onlyTheLargestReservationIsRefused);
    CPPUNIT_TEST(capacityIsNeverExceeded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests which reservations are granted while memory is short. Guards against small operations
    // that fail because of large ones, and against operations that wait for each other.
    void onlyTheLargestReservationIsRefused()
    {
        MemoryBudget budget(100, 10);
        MemoryReservation large(budget);
        MemoryReservation small(budget);
        auto middle = std::make_unique<MemoryReservation>(budget);
        CPPUNIT_ASSERT(large.resize(80) == MemoryGrant::Granted);
        CPPUNIT_ASSERT(middle->resize(40) == MemoryGrant::Granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), budget.usedBytes());
        CPPUNIT_ASSERT(small.resize(10) == MemoryGrant::Granted);
        CPPUNIT_ASSERT(small.resize(11) == MemoryGrant::Wait);
        CPPUNIT_ASSERT(middle->resize(41) == MemoryGrant::Wait);
        CPPUNIT_ASSERT(large.resize(81) == MemoryGrant::Refused);
        CPPUNIT_ASSERT(large.resize(80) == MemoryGrant::Granted);
        middle.reset();
        CPPUNIT_ASSERT(small.resize(40) == MemoryGrant::Granted);
        CPPUNIT_ASSERT(small.resize(0) == MemoryGrant::Granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(70), budget.usedBytes());
    }

    // Tests that many growing reservations stay within the capacity and that one of them can always
    // go on or is refused. Guards against memory that grows with the number of operations.
    void capacityIsNeverExceeded()
    {
        constexpr std::size_t kCapacity = 1000;
        MemoryBudget budget(kCapacity, 0);
        std::vector<std::unique_ptr<MemoryReservation>> reservations;
        std::vector<std::size_t> sizes(50, 0);
        for (std::size_t i = 0; i < sizes.size(); ++i)
            reservations.push_back(std::make_unique<MemoryReservation>(budget));
        std::size_t refused = 0;
        for (int round = 0; round < 200; ++round) {
            bool hasProgress = false;
            for (std::size_t i = 0; i < sizes.size(); ++i) {
                const MemoryGrant grant = reservations[i]->resize(sizes[i] + 7);
                hasProgress = hasProgress || grant != MemoryGrant::Wait;
                if (grant == MemoryGrant::Granted) {
                    sizes[i] += 7;
                } else if (grant == MemoryGrant::Refused) {
                    ++refused;
                    reservations[i] = std::make_unique<MemoryReservation>(budget);
                    sizes[i] = 0;
                }
                CPPUNIT_ASSERT(budget.usedBytes() <= kCapacity);
            }
            CPPUNIT_ASSERT(hasProgress);
        }
        CPPUNIT_ASSERT(refused > 0);
        reservations.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.usedBytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

} // namespace chervilfield::base
