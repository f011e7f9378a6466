#pragma once

#include "admission/types.h"

#include <array>

namespace chervilfield::admission {

/// Division of a target's capacity between the work classes.
struct ClassShares
{
    /// Share of the concurrency and of the prefill tokens that is reserved for short work.
    double shortShare = 0.5;
    /// Maximum share of the long budget that short work may borrow from its idle part.
    double lendableLongShare = 0.5;
};

/// Limits of one class, or of a whole target.
struct ClassLimit
{
    std::uint32_t concurrency = 0;   ///< Requests in progress.
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens whose prefill has not finished.
};

/// Current usage of one class.
struct ClassUsage
{
    std::uint32_t running = 0;       ///< Requests in progress.
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens whose prefill has not finished.
};

/// Budgets of one target by class. The short class may borrow idle long budget because its work
/// ends soon; the long class never borrows.
struct TargetBudget
{
    std::array<ClassLimit, kWorkClassCount> limits{};
    std::array<ClassUsage, kWorkClassCount> usage{};
    double lendableLongShare = 0;
};

/// Divides `total` between the classes; each class gets at least one slot. Requests in progress
/// keep their reservations even if these exceed the new limits.
void setLimits(TargetBudget &budget, ClassLimit total, const ClassShares &shares);

/// Returns true if and only if one more request can be reserved. A request larger than the whole
/// token budget is accepted while its class has no other prefill in progress; otherwise it could
/// never run.
bool canReserve(const TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens);

/// Reserves a slot and prefill tokens. Returns false and changes nothing if the request does not
/// fit.
bool tryReserve(TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens);

/// Releases the prefill tokens of a request whose first token has arrived; its slot stays reserved.
void finishPrefill(TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens);

/// Releases the slot of a request that has ended. `finishPrefill()` must have been called for it.
void release(TargetBudget &budget, WorkClass workClass);

} // namespace chervilfield::admission
