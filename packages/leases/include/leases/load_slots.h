#pragma once

#include "leases/lease.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace chervilfield::leases {

/// Maximum number of engines that load weights at the same time, over all instances. More than two
/// concurrent loads slow each other down.
inline constexpr std::size_t kMaxConcurrentLoads = 2;

/// Lease times of a load slot. A load takes about 1 s; the effect duration allows for a slow weight
/// store.
inline constexpr LeaseTimes kLoadSlotTimes{ .duration = std::chrono::milliseconds(3000),
                                            .orderLifetime = std::chrono::milliseconds(1000),
                                            .effectDuration = std::chrono::milliseconds(10'000) };

/// Returns the key of slot `index`: `leases/load-slots/<index>`.
std::string loadSlotKey(std::size_t index);

/// SlotState is what this process knows about a slot.
struct SlotState
{
    bool isRead = false;         ///< False until a read of the row was answered.
    std::optional<LeaseRow> row; ///< Empty if the row does not exist.
    Observation observation;
};

/// Returns a slot that may be taken at `now`, or no value if all are in use or unread. A load order
/// needs both the lease of its engine and a slot; its expiry is the earlier one of the two guards.
std::optional<std::size_t> findFreeSlot(const std::array<SlotState, kMaxConcurrentLoads> &slots,
                                        const ClockBounds &clocks, SteadyTime now);

/// Returns the guard of a load order from those of the engine's lease and the slot: the fencing
/// token of the lease with the earlier expiry.
OrderGuard combineGuards(const OrderGuard &lease, const OrderGuard &slot);

} // namespace chervilfield::leases
