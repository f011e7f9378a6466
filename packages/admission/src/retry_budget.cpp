#include "admission/retry_budget.h"

#include <algorithm>

namespace chervilfield::admission {

namespace {

void refill(RetryBudget &budget, const RetryBudgetOptions &options, TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - budget.refilledAt;
    const bool isInitialized = budget.refilledAt != TimePoint{};
    budget.refilledAt = std::max(budget.refilledAt, now);
    if (isInitialized && elapsed.count() > 0)
        budget.available = std::min(options.maxSaved,
                                    budget.available + elapsed.count() * options.earnedPerSecond);
}

std::chrono::milliseconds timeUntilOneAttempt(const RetryBudget &budget,
                                              const RetryBudgetOptions &options)
{
    if (budget.available >= 1 || options.earnedPerSecond <= 0)
        return std::chrono::milliseconds(0);
    const std::chrono::duration<double> wait((1 - budget.available) / options.earnedPerSecond);
    return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

} // namespace

RetryBudgetOptions shareOf(const SharedRetryBudget &shared, std::size_t daemons)
{
    const double share = shared.burst / static_cast<double>(std::max<std::size_t>(1, daemons));
    // A daemon may use all that it has saved and all that it earns by time within one window.
    const double maxSaved = std::max(1.0, share / 2);
    const double window = std::chrono::duration<double>(shared.window).count();
    return { .earnedPerRequest = shared.earnedPerRequest,
             .earnedPerSecond = std::max(0.0, share - maxSaved) / window,
             .maxSaved = maxSaved };
}

void creditFirstAttempt(RetryBudget &budget, const RetryBudgetOptions &options, TimePoint now)
{
    refill(budget, options, now);
    budget.available = std::min(options.maxSaved, budget.available + options.earnedPerRequest);
}

std::optional<Refusal> takeRetry(RetryBudget &customer, RetryBudget &target,
                                 const RetryBudgetOptions &options, TimePoint now)
{
    return takeRetry(customer, options, target, options, now);
}

std::optional<Refusal> takeRetry(RetryBudget &customer, const RetryBudgetOptions &customerOptions,
                                 RetryBudget &target, const RetryBudgetOptions &targetOptions,
                                 TimePoint now)
{
    refill(customer, customerOptions, now);
    refill(target, targetOptions, now);
    if (customer.available < 1 || target.available < 1) {
        return Refusal{ .result = base::Result::RetryBudgetSpent,
                        .retryAfter = std::max(timeUntilOneAttempt(customer, customerOptions),
                                               timeUntilOneAttempt(target, targetOptions)) };
    }
    customer.available -= 1;
    target.available -= 1;
    return std::nullopt;
}

bool takeHedge(RetryBudget &budget, const RetryBudgetOptions &options, bool isRepeatable,
               TimePoint now)
{
    if (!isRepeatable)
        return false;
    refill(budget, options, now);
    if (budget.available < 1)
        return false;
    budget.available -= 1;
    return true;
}

RetryBudget &budgetOf(RetryBudgetMap &budgets, std::uint64_t id, const RetryBudgetOptions &options,
                      TimePoint now)
{
    // The minimum rate keeps the time finite for budgets that earn nothing by time.
    const std::chrono::duration<double> timeToFull(options.maxSaved
                                                   / std::max(options.earnedPerSecond, 0.1));
    if (now - budgets.lastEvictionAt > timeToFull) {
        std::erase_if(budgets.budgets, [&](const auto &entry) {
            return now - entry.second.refilledAt > timeToFull;
        });
        budgets.lastEvictionAt = now;
    }
    return budgets.budgets.try_emplace(id, RetryBudget{ .refilledAt = now }).first->second;
}

} // namespace chervilfield::admission
