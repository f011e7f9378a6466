#include "admission/admission.h"

namespace chervilfield::admission {

std::optional<Refusal> admit(PoolAdmission &pool, TargetAdmission &target,
                             const WorkRequest &request, const Expectation &expectation,
                             TimePoint now)
{
    if (request.deadline
        && placeByDeadline(expectation, request.deadline, pool.deadline, now) != Place::Here)
        return deadlineRefusal(expectation, *request.deadline, pool.deadline, now);

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

void finishPrefill(TargetAdmission &target, const WorkRequest &request)
{
    finishPrefill(target.budget, request.workClass, request.prefillTokens);
}

void release(PoolAdmission &pool, TargetAdmission &target, const WorkRequest &request,
             bool prefilled, TimePoint now)
{
    if (!prefilled)
        finishPrefill(target, request);
    release(target.budget, request.workClass);
    pool.shares.release(request.customer, request.totalTokens, now);
    recordDrained(pool.drained, request.totalTokens, pool.retryAfter, now);
}

} // namespace chervilfield::admission
