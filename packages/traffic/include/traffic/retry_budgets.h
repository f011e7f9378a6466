#pragma once

#include "admission/retry_budget.h"
#include "routing/types.h"

#include <cstdint>
#include <mutex>

namespace chervilfield::traffic {

/// Retry budgets of all customers and targets, shared by the traffic threads. During an overload
/// retries are at most a tenth of the first attempts, so they cannot sustain the overload. Safe to
/// use from several threads.
class RetryBudgets
{
public:
    /// Credits the budgets of the customer and the target with a first attempt.
    void countFirstAttempt(std::uint64_t customer, routing::TargetId target);

    /// Takes one retry from both budgets. Returns true if and only if the retry is allowed.
    bool takeRetry(std::uint64_t customer, routing::TargetId target);

private:
    std::mutex mutex_;
    admission::RetryBudgetMap customers_;
    admission::RetryBudgetMap targets_;
};

} // namespace chervilfield::traffic
