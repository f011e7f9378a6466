#include "traffic/dispatch.h"

#include "base/result.h"

namespace chervilfield::traffic {

using base::Result;
using boost::asio::yield_context;

namespace {

// Sends the call to one target that the router chooses. `placed` tells whether there was one.
std::optional<net::Response> sendToOne(const TrafficThread &thread, const ServiceCall &call,
                                       std::vector<routing::TargetId> &excluded, bool &placed,
                                       const yield_context &yield, std::error_code &error)
{
    Router &router = thread.services.router;
    const routing::Request request{ .promptTokens = 1, .outputTokens = 1, .excluded = excluded };
    auto placement = router.place(request, *call.targets, error);
    placed = placement.has_value();
    if (!placed)
        return std::nullopt;
    auto response = thread.client.send(placement->target.address, call.request,
                                       thread.services.options.callTimeout, yield, error);
    if (error == Result::TargetUnreachable)
        router.refusedConnection(placement->target.id);
    router.finished(*placement, std::nullopt);
    excluded.push_back(placement->target.id);
    return response;
}

} // namespace

std::optional<net::Response> sendRepeatable(const TrafficThread &thread, const ServiceCall &call,
                                            const yield_context &yield, std::error_code &error)
{
    constexpr int kServerError = 500;
    std::vector<routing::TargetId> excluded;
    std::optional<net::Response> response;
    for (int attempt = 0; attempt < thread.services.options.maxAttempts; ++attempt) {
        std::error_code failure;
        bool placed = false;
        auto next = sendToOne(thread, call, excluded, placed, yield, failure);
        if (!placed) {
            if (!error && !response.has_value())
                error = failure;
            break;
        }
        error = failure;
        if (next.has_value()) {
            response = std::move(next);
            if (response->status < kServerError)
                break;
        }
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
    for (int attempt = 0; attempt < thread.services.options.maxAttempts; ++attempt) {
        bool placed = false;
        std::error_code failure;
        auto response = sendToOne(thread, single, excluded, placed, yield, failure);
        if (!placed) {
            if (!error)
                error = failure;
            return std::nullopt;
        }
        if (response.has_value()) {
            error.clear();
            return response;
        }
        error = failure;
        if (!provesNotSent(failure))
            return std::nullopt;
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
