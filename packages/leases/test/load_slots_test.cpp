#include "leases/load_slots.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::leases {

using std::chrono::milliseconds;

class LoadSlotsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadSlotsTest);
    CPPUNIT_TEST(onlyAFreeSlotIsFound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that only a slot without a current holder is found, and that a load expires with the
    // earlier guard. Guards against a third concurrent load.
    void onlyAFreeSlotIsFound()
    {
        const SteadyTime now(milliseconds(100'000));
        const LeaseRow row{ "a", 1, kLoadSlotTimes, "e" };
        const SlotState unread;
        const SlotState absent{ true, std::nullopt, { 0, now } };
        const SlotState held{ true, row, { 4, now - milliseconds(4000) } };
        const SlotState expired{ true, row, { 4, now - milliseconds(15'000) } };
        const SlotState released{ true, LeaseRow{ "", 1, kLoadSlotTimes, "" }, { 4, now } };
        struct Row
        {
            std::array<SlotState, kMaxConcurrentLoads> slots;
            std::optional<std::size_t> expected;
        };
        const Row rows[] = {
            { { unread, unread }, std::nullopt },
            { { held, held }, std::nullopt },
            { { unread, absent }, 1 },
            { { held, expired }, 1 },
            { { released, held }, 0 },
        };
        for (const Row &item : rows)
            CPPUNIT_ASSERT(findFreeSlot(item.slots, {}, now) == item.expected);
        const OrderGuard lease{ 9, WallTime(milliseconds(5)) };
        const OrderGuard slot{ 2, WallTime(milliseconds(4)) };
        CPPUNIT_ASSERT(combineGuards(lease, slot).expires == slot.expires);
        CPPUNIT_ASSERT_EQUAL(lease.fence, combineGuards(lease, slot).fence);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadSlotsTest);

} // namespace chervilfield::leases
