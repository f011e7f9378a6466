#pragma once

#include "admission/class_budget.h"
#include "admission/concurrency_limit.h"
#include "admission/deadline.h"
#include "admission/fair_shares.h"
#include "admission/retry_after.h"
#include "admission/retry_budget.h"

namespace chervilfield::admission {

/// Properties of a request that admission control depends on. All token counts are estimates made
/// before dispatch.
struct AdmissionRequest
{
    std::uint64_t customer = 0;
    double customerWeight = 1;
    WorkClass workClass = WorkClass::Short;
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens.
    /// Prefill plus expected output tokens, counted against the customer's share.
    std::uint64_t totalTokens = 0;
    std::optional<TimePoint> deadline{}; ///< Time by which the request must be answered.
    std::uint64_t requestHash = 0; ///< Hash of the request id, which selects the retry jitter.
    bool isRetry = false;
    bool isRepeatable = false; ///< The request may run twice, so it earns hedges.
};

/// Admission state of one target.
struct TargetAdmission
{
    std::uint64_t maxPrefillTokens = 400'000; ///< Maximum of uncached prompt tokens in progress.
    TargetBudget budget{};
    ConcurrencyLimit limit{};
    RetryBudget retryBudget{};
};

/// Admission state and options that all targets of one pool share.
struct PoolAdmission
{
    FairShares shares{};
    CompletionRate completionRate{};
    RetryBudgetMap customerRetryBudgets{};
    RetryBudget hedgeBudget{};
    ClassShares classShares{};
    ConcurrencyLimitOptions limitOptions{};
    DeadlineOptions deadlineOptions{};
    RetryAfterOptions retryAfterOptions{};
};

/// Divides the current concurrency limit of the target between the classes. Must be called once for
/// a new target, whose classes otherwise have no slots.
void applyLimit(TargetAdmission &target, const PoolAdmission &pool);

/// Updates the concurrency limit of the target with one sample and divides the new limit between
/// the classes.
void adaptLimit(TargetAdmission &target, const PoolAdmission &pool, const LimitSample &sample,
                TimePoint now);

/// Admits the request to the target and reserves its budgets, or returns the reason for the
/// refusal, in which case nothing stays reserved.
///
/// A deadline that only another data centre can meet is refused; `chooseLocality()` tells this case
/// apart beforehand. A retry is charged to the retry budgets of its customer and of the target; an
/// admitted first attempt adds to them and, if it is repeatable, to the hedge budget of the pool.
std::optional<Refusal> admit(PoolAdmission &pool, TargetAdmission &target,
                             const AdmissionRequest &request,
                             const ExpectedLatency &expectedLatency, TimePoint now);

/// Releases the prefill tokens of a request whose first token has arrived.
void finishPrefill(TargetAdmission &target, const AdmissionRequest &request);

/// Releases everything that an admitted request holds. `isPrefillFinished` states whether
/// `finishPrefill()` was called for the request.
void release(PoolAdmission &pool, TargetAdmission &target, const AdmissionRequest &request,
             bool isPrefillFinished, TimePoint now);

} // namespace chervilfield::admission
