#include "traffic/dispatch.h"

#include "base/result.h"

namespace chervilfield::traffic {

using base::Result;
using boost::asio::yield_context;

namespace {

// Result of one attempt at one target. If the router found no target, `target` has no value and
// `error` gives the reason.
struct AttemptResult
{
    std::optional<routing::TargetId> target;
    std::optional<net::Response> response;
    std::error_code error;
};

AttemptResult sendToOneTarget(const TrafficThread &thread, const ServiceCall &call,
                              std::vector<routing::TargetId> &excluded, const yield_context &yield)
{
    Router &router = thread.services.router;
    const routing::Request request{ .promptTokens = 1, .outputTokens = 1, .excluded = excluded };
    AttemptResult attempt;
    const auto placement = router.place(request, *call.targets, attempt.error);
    if (!placement.has_value())
        return attempt;
    attempt.target = placement->target.id;
    attempt.response =
            thread.client.send(placement->target.address, call.request,
                               thread.services.options.callTimeout, yield, attempt.error);
    if (attempt.error == Result::TargetUnreachable)
        router.recordRefusedConnection(placement->target.id);
    router.endPlacement(*placement, std::nullopt);
    excluded.push_back(placement->target.id);
    return attempt;
}

bool isServerError(const std::optional<net::Response> &response)
{
    constexpr int kServerError = 500;
    return response.has_value() && response->status >= kServerError;
}

} // namespace

std::optional<net::Response> sendIdempotent(const TrafficThread &thread, const ServiceCall &call,
                                            const yield_context &yield, std::error_code &error)
{
    RetryBudgets &budgets = thread.services.retryBudgets;
    std::vector<routing::TargetId> excluded;
    std::optional<net::Response> response;
    for (int number = 0; number < thread.services.options.maxAttempts; ++number) {
        AttemptResult attempt = sendToOneTarget(thread, call, excluded, yield);
        if (!attempt.target.has_value()) {
            if (number == 0)
                error = attempt.error;
            break;
        }
        if (number == 0)
            budgets.countFirstAttempt(call.customer, *attempt.target);
        error = attempt.error;
        if (attempt.response.has_value())
            response = std::move(attempt.response);
        if (!error && !isServerError(response))
            break;
        const bool wasSent = error != Result::TargetUnreachable;
        if (wasSent && !budgets.takeRetry(call.customer, *attempt.target))
            break;
    }
    if (response.has_value())
        error.clear();
    return response;
}

std::optional<net::Response> sendOnce(const TrafficThread &thread, const ServiceCall &call,
                                      const yield_context &yield, std::error_code &error)
{
    ServiceCall single = call;
    single.request.idempotent = false;
    std::vector<routing::TargetId> excluded;
    for (int number = 0; number < thread.services.options.maxAttempts; ++number) {
        AttemptResult attempt = sendToOneTarget(thread, single, excluded, yield);
        if (!attempt.target.has_value()) {
            if (!error)
                error = attempt.error;
            return std::nullopt;
        }
        error = attempt.error;
        if (attempt.response.has_value() || !provesNotSent(error))
            return std::move(attempt.response);
    }
    return std::nullopt;
}

bool provesNotSent(const std::error_code &error)
{
    switch (base::toResult(error)) {
    case Result::TargetUnreachable:
    case Result::NoTarget:
    case Result::Overloaded:
    case Result::DeadlineUnreachable:
        return true;
    default:
        return false;
    }
}

} // namespace chervilfield::traffic
