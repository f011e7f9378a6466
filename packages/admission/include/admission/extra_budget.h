#pragma once

#include "admission/types.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace chervilfield::admission {

/// Limits of additional attempts: retries and hedges.
struct RetryBudgetOptions
{
    double earnedPerRequest = 0.1; ///< Additional attempts earned by each first attempt.
    double earnedPerSecond = 0;    ///< Additional attempts earned by time, for rare traffic.
    double maxSaved = 10;          ///< Greatest number of attempts saved up.
};

/// Retries cost target time during an overload, so they are a tenth of the requests at most. One
/// every two seconds is earned by time, so that a customer with rare requests can retry at all.
inline constexpr RetryBudgetOptions kRetryBudget{ .earnedPerRequest = 0.1,
                                                  .earnedPerSecond = 0.5,
                                                  .maxSaved = 10 };

/// Hedges add load, so they are 3% of the repeatable requests at most.
inline constexpr RetryBudgetOptions kHedgeBudget{ .earnedPerRequest = 0.03,
                                                  .earnedPerSecond = 0,
                                                  .maxSaved = 4 };

/// Token bucket of additional attempts. It starts with one attempt.
struct RetryBudget
{
    double available = 1;
    TimePoint refilledAt{};
};

/// Credits one first attempt.
void creditFirstAttempt(RetryBudget &budget, const RetryBudgetOptions &options, TimePoint now);

/// Takes one retry from the customer's and the target's budget, or from neither. Returns
/// `RetryBudgetSpent` if one of them is empty.
std::optional<Refusal> takeRetry(RetryBudget &customer, RetryBudget &target,
                                 const RetryBudgetOptions &options, TimePoint now);

/// Takes one hedge. Returns false if the work is not repeatable or the budget is empty.
bool takeHedge(RetryBudget &budget, const RetryBudgetOptions &options, bool repeatable,
               TimePoint now);

/// Retry budgets by customer or by target, for as many as are active. A budget that was idle long
/// enough to be full again is forgotten; it then starts with one retry.
struct RetryBudgetMap
{
    std::unordered_map<std::uint64_t, RetryBudget> budgets;
    TimePoint lastEvictionAt{};
};

/// Returns the budget of `id`, which starts with one attempt if it is new. The reference is valid
/// until the next call.
RetryBudget &budgetOf(RetryBudgetMap &budgets, std::uint64_t id, const RetryBudgetOptions &options,
                      TimePoint now);

} // namespace chervilfield::admission
