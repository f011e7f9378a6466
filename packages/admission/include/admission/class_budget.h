#pragma once

#include "admission/types.h"

#include <array>

namespace chervilfield::admission {

/// How a target's capacity is divided between the classes.
struct ClassShares
{
    double shortShare = 0.5; ///< Part of concurrency and prefill tokens reserved for short work.
    double lendableLongShare =
            0.5; ///< Part of the long budget that short work may borrow while idle.
};

struct ClassLimit
{
    std::uint32_t concurrency = 0;
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens whose prefill has not finished.
};

struct ClassUsage
{
    std::uint32_t running = 0;
    std::uint64_t prefillTokens = 0;
};

/// Budgets of one target. The short class may borrow idle long budget because its work ends soon;
/// the long class never borrows.
struct TargetBudget
{
    std::array<ClassLimit, kWorkClassCount> limits{};
    std::array<ClassUsage, kWorkClassCount> usage{};
    double lendableLongShare = 0;
};

/// Divides `total` between the classes; each class gets at least one place. Work in progress is
/// kept, also if it exceeds the new limits.
void setLimits(TargetBudget &budget, ClassLimit total, const ClassShares &shares);

/// Returns true if and only if one more request fits. A request larger than the whole token budget
/// fits when its class has no other prefill in progress.
bool canReserve(const TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens);

/// Reserves a place and tokens. Returns false, without a change, if the request does not fit.
bool tryReserve(TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens);

/// Returns the tokens of a request whose first token has arrived; its place stays reserved.
void finishPrefill(TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens);

/// Returns the place of a request that ended. `finishPrefill()` must have been called for it.
void release(TargetBudget &budget, WorkClass workClass);

} // namespace chervilfield::admission
