#pragma once

#include "admission/class_budget.h"
#include "admission/concurrency_limit.h"
#include "admission/deadline.h"
#include "admission/extra_budget.h"
#include "admission/fair_shares.h"
#include "admission/retry_after.h"

namespace chervilfield::admission {

/// What admission needs to know of a request. All tokens are estimates made before dispatch.
struct AdmissionRequest
{
    std::uint64_t customer = 0;
    double customerWeight = 1;
    WorkClass workClass = WorkClass::Short;
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens.
    std::uint64_t totalTokens = 0;   ///< Prefill plus expected output; counted against the share.
    std::optional<TimePoint> deadline{};
    std::uint64_t requestHash = 0; ///< Hash of the request id.
    bool isRetry = false;
    bool isRepeatable = false; ///< May run twice; earns hedges.
};

/// Admission state of one target.
struct TargetAdmission
{
    std::uint64_t prefillTokens = 400'000; ///< Greatest uncached prompt tokens in progress.
    TargetBudget budget{};
    ConcurrencyLimit limit{};
    RetryBudget retryBudget{};
};

/// Admission state that all targets of one pool share.
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

/// Divides the target's present limit between the classes. Call it for a new target.
void applyLimit(TargetAdmission &target, const PoolAdmission &pool);

/// Moves the target's limit by one sample and divides it between the classes.
void adaptLimit(TargetAdmission &target, const PoolAdmission &pool, const LimitSample &sample,
                TimePoint now);

/// Admits the request to the target and reserves its budgets, or returns why not. On a refusal
/// nothing stays reserved. A deadline that only another data centre can meet is refused here; use
/// `placeByDeadline()` first to find out. A retry takes from the retry budgets of its customer and
/// of the target; an admitted first attempt pays into them.
std::optional<Refusal> admit(PoolAdmission &pool, TargetAdmission &target,
                             const AdmissionRequest &request,
                             const ExpectedLatency &expectedLatency, TimePoint now);

/// Returns the prefill budget after the first token.
void finishPrefill(TargetAdmission &target, const AdmissionRequest &request);

/// Returns everything that an admitted request holds. `prefilled` states whether `finishPrefill()`
/// was called for it.
void release(PoolAdmission &pool, TargetAdmission &target, const AdmissionRequest &request,
             bool isPrefillFinished, TimePoint now);

} // namespace chervilfield::admission
