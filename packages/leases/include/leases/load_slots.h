#pragma once

#include "leases/lease.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace chervilfield::leases {

/// Most runners that load weights at the same time, over all instances. Loads of more than two
/// runners slow each other down.
inline constexpr std::size_t kMaxConcurrentLoads = 2;

/// Times of a slot. A load takes about 1 s; the effect allows for a slow weight store.
inline constexpr LeaseTimes kLoadSlotTimes{ .duration = std::chrono::milliseconds(3000),
                                            .orderLifetime = std::chrono::milliseconds(1000),
                                            .effectDuration = std::chrono::milliseconds(10'000) };

/// Returns the key of slot `index`: `leases/load-slots/<index>`.
std::string loadSlotKey(std::size_t index);

/// What this process knows about a slot.
struct SlotState
{
    bool isRead = false;         ///< False until a read of the row was answered.
    std::optional<LeaseRow> row; ///< Absent if there is no such row.
    Observation observation;
};

/// Returns a slot that may be taken at `now`, or nothing if all are in use or unread. A load order
/// needs both the lease of its engine and a slot; its expiry is the earlier of the two guards.
std::optional<std::size_t> findFreeSlot(const std::array<SlotState, kMaxConcurrentLoads> &slots,
                                        const ClockBounds &clocks, SteadyTime now);

/// Combines the guard of the engine's lease with that of the slot.
OrderGuard combineGuards(const OrderGuard &lease, const OrderGuard &slot);

} // namespace chervilfield::leases
