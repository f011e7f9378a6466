#include "admission/admission.h"

namespace chervilfield::admission {

namespace {

std::optional<Refusal> reserveWork(PoolAdmission &pool, TargetAdmission &target,
                                   const AdmissionRequest &request, TimePoint now)
{
    // The share is checked first, so that a customer counts as active even if the target is full.
    std::optional<Refusal> refusal =
            pool.shares.admit(request.customer, request.customerWeight, request.totalTokens, now);
    if (!refusal && !tryReserve(target.budget, request.workClass, request.prefillTokens)) {
        pool.shares.release(request.customer, request.totalTokens, now);
        refusal = Refusal{ .result = base::Result::Overloaded };
    }
    if (refusal) {
        refusal->retryAfter = retryAfter(pool.completionRate, request.totalTokens,
                                         pool.retryAfterOptions, request.requestHash);
    }
    return refusal;
}

void releaseWork(PoolAdmission &pool, TargetAdmission &target, const AdmissionRequest &request,
                 bool isPrefillFinished, TimePoint now)
{
    if (!isPrefillFinished)
        finishPrefill(target, request);
    release(target.budget, request.workClass);
    pool.shares.release(request.customer, request.totalTokens, now);
}

void creditBudgets(PoolAdmission &pool, TargetAdmission &target, const AdmissionRequest &request,
                   RetryBudget &customerRetryBudget, TimePoint now)
{
    creditFirstAttempt(customerRetryBudget, kRetryBudget, now);
    creditFirstAttempt(target.retryBudget, kRetryBudget, now);
    if (request.isRepeatable)
        creditFirstAttempt(pool.hedgeBudget, kHedgeBudget, now);
}

} // namespace

void applyLimit(TargetAdmission &target, const PoolAdmission &pool)
{
    const ClassLimit total{ static_cast<std::uint32_t>(target.limit.limit),
                            target.maxPrefillTokens };
    setLimits(target.budget, total, pool.classShares);
}

void adaptLimit(TargetAdmission &target, const PoolAdmission &pool, const LimitSample &sample,
                TimePoint now)
{
    updateLimit(target.limit, sample, pool.limitOptions, now);
    applyLimit(target, pool);
}

std::optional<Refusal> admit(PoolAdmission &pool, TargetAdmission &target,
                             const AdmissionRequest &request,
                             const ExpectedLatency &expectedLatency, TimePoint now)
{
    if (request.deadline
        && chooseLocality(expectedLatency, request.deadline, pool.deadlineOptions, now)
                   != Locality::Local)
        return deadlineRefusal(expectedLatency, *request.deadline, pool.deadlineOptions, now);

    if (auto refusal = reserveWork(pool, target, request, now))
        return refusal;
    RetryBudget &customerRetryBudget =
            budgetOf(pool.customerRetryBudgets, request.customer, kRetryBudget, now);
    if (!request.isRetry) {
        creditBudgets(pool, target, request, customerRetryBudget, now);
        return std::nullopt;
    }
    auto refusal = takeRetry(customerRetryBudget, target.retryBudget, kRetryBudget, now);
    if (refusal)
        releaseWork(pool, target, request, false, now);
    return refusal;
}

void finishPrefill(TargetAdmission &target, const AdmissionRequest &request)
{
    finishPrefill(target.budget, request.workClass, request.prefillTokens);
}

void release(PoolAdmission &pool, TargetAdmission &target, const AdmissionRequest &request,
             bool isPrefillFinished, TimePoint now)
{
    releaseWork(pool, target, request, isPrefillFinished, now);
    recordCompleted(pool.completionRate, request.totalTokens, pool.retryAfterOptions, now);
}

} // namespace chervilfield::admission
