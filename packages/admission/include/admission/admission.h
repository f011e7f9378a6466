#pragma once

#include "admission/class_budget.h"
#include "admission/concurrency_limit.h"
#include "admission/deadline.h"
#include "admission/fair_shares.h"
#include "admission/retry_after.h"

namespace chervilfield::admission {

/// What admission needs to know of a request. All tokens are estimates made before dispatch.
struct WorkRequest
{
    std::uint64_t customer = 0;
    double customerWeight = 1;
    WorkClass workClass = WorkClass::Short;
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens.
    std::uint64_t totalTokens = 0;   ///< Prefill plus expected output; counted against the share.
    std::optional<TimePoint> deadline{};
    std::uint64_t random = 0; ///< Hash of the request id.
};

/// Admission state of one target.
struct TargetAdmission
{
    TargetBudget budget;
    ConcurrencyLimit limit;
};

/// Admission state that all targets of one pool share.
struct PoolAdmission
{
    FairShares shares;
    DrainRate drained;
    DeadlineOptions deadline{};
    RetryAfterOptions retryAfter{};
};

/// Admits the request to the target and reserves its budgets, or returns why not. On a refusal
/// nothing stays reserved. A deadline that only another data centre can meet is refused here; use
/// `placeByDeadline()` first to find out.
std::optional<Refusal> admit(PoolAdmission &pool, TargetAdmission &target,
                             const WorkRequest &request, const Expectation &expectation,
                             TimePoint now);

/// Returns the prefill budget after the first token.
void finishPrefill(TargetAdmission &target, const WorkRequest &request);

/// Returns everything that an admitted request holds. `prefilled` states whether `finishPrefill()`
/// was called for it.
void release(PoolAdmission &pool, TargetAdmission &target, const WorkRequest &request,
             bool prefilled, TimePoint now);

} // namespace chervilfield::admission
