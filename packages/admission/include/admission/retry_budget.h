#pragma once

#include "admission/types.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace chervilfield::admission {

/// Limits of additional attempts, which are retries or hedges.
struct RetryBudgetOptions
{
    double earnedPerRequest = 0.1; ///< Additional attempts earned by each first attempt.
    double earnedPerSecond = 0;    ///< Additional attempts earned by time, for rare traffic.
    double maxSaved = 10;          ///< Maximum number of attempts saved up.
};

/// Retries cost target time during an overload, so they are at most a tenth of the requests. One
/// retry every two seconds is earned by time, so that a customer with rare requests can retry too.
inline constexpr RetryBudgetOptions kRetryBudget{ .earnedPerRequest = 0.1,
                                                  .earnedPerSecond = 0.5,
                                                  .maxSaved = 10 };

/// Hedges add load, so they are at most 3% of the repeatable requests.
inline constexpr RetryBudgetOptions kHedgeBudget{ .earnedPerRequest = 0.03,
                                                  .earnedPerSecond = 0,
                                                  .maxSaved = 4 };

/// Limit of the additional attempts of all daemons together.
struct SharedRetryBudget
{
    double earnedPerRequest = 0.1; ///< Additional attempts earned by each first attempt.
    double burst = 10;             ///< Further attempts in any period of `window`.
    std::chrono::milliseconds window{ 10'000 }; ///< Period of `burst`.
};

/// Returns the limits of one of `daemons` daemons. Whatever their traffic, all of them together
/// make at most `burst` additional attempts in a period of `window`, beside those earned by
/// requests in it. Each daemon may save at least one attempt, so a `burst` below their number is
/// exceeded.
RetryBudgetOptions shareOf(const SharedRetryBudget &shared, std::size_t daemons);

/// Token bucket of additional attempts, which starts with one attempt.
struct RetryBudget
{
    double available = 1;   ///< Attempts that can be taken; fractions are earned.
    TimePoint refilledAt{}; ///< Last refill by time. The zero value means that there was none.
};

/// Adds the attempts that one first attempt earns.
void creditFirstAttempt(RetryBudget &budget, const RetryBudgetOptions &options, TimePoint now);

/// Takes one retry from the budgets of the customer and of the target, or from neither. Returns
/// `RetryBudgetSpent` if one of them is empty.
std::optional<Refusal> takeRetry(RetryBudget &customer, RetryBudget &target,
                                 const RetryBudgetOptions &options, TimePoint now);

/// As above, with limits for each of the two budgets.
std::optional<Refusal> takeRetry(RetryBudget &customer, const RetryBudgetOptions &customerOptions,
                                 RetryBudget &target, const RetryBudgetOptions &targetOptions,
                                 TimePoint now);

/// Takes one hedge. Returns false if the request is not repeatable or the budget is empty.
bool takeHedge(RetryBudget &budget, const RetryBudgetOptions &options, bool isRepeatable,
               TimePoint now);

/// Retry budgets of all active customers or targets by id. A budget that has been idle long enough
/// to be full again is evicted; it starts again with one retry.
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
