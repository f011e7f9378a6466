#include "traffic/retry_budgets.h"

#include <chrono>

namespace chervilfield::traffic {

using admission::budgetOf;
using admission::kRetryBudget;

void RetryBudgets::countFirstAttempt(std::uint64_t customer, routing::TargetId target)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    admission::creditFirstAttempt(budgetOf(customers_, customer, kRetryBudget, now), kRetryBudget,
                                  now);
    admission::creditFirstAttempt(budgetOf(targets_, target, kRetryBudget, now), kRetryBudget, now);
}

bool RetryBudgets::takeRetry(std::uint64_t customer, routing::TargetId target)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    return !admission::takeRetry(budgetOf(customers_, customer, kRetryBudget, now),
                                 budgetOf(targets_, target, kRetryBudget, now), kRetryBudget, now)
                    .has_value();
}

} // namespace chervilfield::traffic
