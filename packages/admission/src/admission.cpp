#include "admission/admission.h"

namespace chervilfield::admission {

namespace {

std::optional<Refusal> reserveWork(PoolAdmission &pool, TargetAdmission &target,
                                   const WorkRequest &request, TimePoint now)
{
    // The share is asked first, so that a customer counts as active even while the target is full.
    std::optional<Refusal> refusal =
            pool.shares.admit(request.customer, request.customerWeight, request.totalTokens, now);
    if (!refusal && !reserve(target.budget, request.workClass, request.prefillTokens)) {
        pool.shares.release(request.customer, request.totalTokens, now);
        refusal = Refusal{ .result = base::Result::Overloaded };
    }
    if (refusal) {
        refusal->retryAfter =
                retryAfter(pool.drained, request.totalTokens, pool.retryAfter, request.random);
    }
    return refusal;
}

void returnWork(PoolAdmission &pool, TargetAdmission &target, const WorkRequest &request,
                bool prefilled, TimePoint now)
{
    if (!prefilled)
        finishPrefill(target, request);
    release(target.budget, request.workClass);
    pool.shares.release(request.customer, request.totalTokens, now);
}

void earnExtras(PoolAdmission &pool, TargetAdmission &target, const WorkRequest &request,
                ExtraBudget &customerRetries, TimePoint now)
{
    earn(customerRetries, kRetryBudget, now);
    earn(target.retries, kRetryBudget, now);
    if (request.isRepeatable)
        earn(pool.hedges, kHedgeBudget, now);
}

} // namespace

void applyLimit(TargetAdmission &target, const PoolAdmission &pool)
{
    const ClassLimit total{ static_cast<std::uint32_t>(target.limit.limit), target.prefillTokens };
    setLimits(target.budget, total, pool.classShares);
}

void adaptLimit(TargetAdmission &target, const PoolAdmission &pool, const LimitSample &sample,
                TimePoint now)
{
    updateLimit(target.limit, sample, pool.limit, now);
    applyLimit(target, pool);
}

std::optional<Refusal> admit(PoolAdmission &pool, TargetAdmission &target,
                             const WorkRequest &request, const Expectation &expectation,
                             TimePoint now)
{
    if (request.deadline
        && placeByDeadline(expectation, request.deadline, pool.deadline, now) != Place::Here)
        return deadlineRefusal(expectation, *request.deadline, pool.deadline, now);

    if (auto refusal = reserveWork(pool, target, request, now))
        return refusal;
    ExtraBudget &customerRetries =
            budgetOf(pool.customerRetries, request.customer, kRetryBudget, now);
    if (!request.isRetry) {
        earnExtras(pool, target, request, customerRetries, now);
        return std::nullopt;
    }
    auto refusal = takeRetry(customerRetries, target.retries, kRetryBudget, now);
    if (refusal)
        returnWork(pool, target, request, false, now);
    return refusal;
}

void finishPrefill(TargetAdmission &target, const WorkRequest &request)
{
    finishPrefill(target.budget, request.workClass, request.prefillTokens);
}

void release(PoolAdmission &pool, TargetAdmission &target, const WorkRequest &request,
             bool prefilled, TimePoint now)
{
    returnWork(pool, target, request, prefilled, now);
    recordDrained(pool.drained, request.totalTokens, pool.retryAfter, now);
}

} // namespace chervilfield::admission
