#include "leases/load_slots.h"

#include <algorithm>

namespace chervilfield::leases {

std::string loadSlotKey(std::size_t index)
{
    return "leases/load-slots/" + std::to_string(index);
}

std::optional<std::size_t> findFreeSlot(const std::array<SlotState, kMaxConcurrentLoads> &slots,
                                        const ClockBounds &clocks, SteadyTime now)
{
    for (std::size_t i = 0; i < slots.size(); ++i) {
        const SlotState &slot = slots[i];
        if (!slot.isRead)
            continue;
        // Engines compare the fencing tokens of engine leases, not those of slots.
        if (!slot.row || canTake(*slot.row, slot.observation, FencingMode::Ignored, clocks, now))
            return i;
    }
    return std::nullopt;
}

OrderGuard combineGuards(const OrderGuard &lease, const OrderGuard &slot)
{
    return { .fence = lease.fence, .expires = std::min(lease.expires, slot.expires) };
}

} // namespace chervilfield::leases
