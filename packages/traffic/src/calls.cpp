#include "traffic/calls.h"

#include "base/hash.h"
#include "base/result.h"
#include "orders/identity.h"
#include "traffic/order_registry.h"
#include "traffic/order_run.h"
#include "traffic/request_scope.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chervilfield::traffic {

using base::Result;
using base::WorkStatus;
using boost::asio::yield_context;

namespace {

constexpr std::string_view kCallKind = "call";
constexpr std::string_view kOrderKind = "order";

std::string headerOrEmpty(const net::Request &request, std::string_view name)
{
    return std::string(net::findHeader(request.headers, name).value_or(""));
}

// Returns the request as the service receives it, without the credentials of the caller.
net::Request makeForwardedRequest(const net::Request &request, const std::string &requestId)
{
    net::Request result{ .method = request.method,
                         .target = request.target,
                         .headers = { { "X-Request-Id", requestId } },
                         .body = request.body };
    for (const std::string_view name : { "Content-Type", "Accept" }) {
        if (const auto value = net::findHeader(request.headers, name))
            result.headers.push_back({ std::string(name), std::string(*value) });
    }
    return result;
}

net::Response makeAnswer(int status, const std::string &contentType, const std::string &body,
                         const std::string &requestId)
{
    return { .status = status,
             .headers = { { "Content-Type", contentType },
                          { "X-Work-Status", std::string(toString(WorkStatus::Ran)) },
                          { "X-Request-Id", requestId } },
             .body = body };
}

void serveIdempotent(const TrafficThread &thread, const RequestScope &scope,
                     const ServiceCall &call, net::Exchange &exchange, const yield_context &yield)
{
    std::error_code error;
    const auto response = sendIdempotent(thread, call, yield, error);
    if (!response.has_value()) {
        const WorkStatus work = provesNotSent(error) ? WorkStatus::NotRun : WorkStatus::Unknown;
        return refuse(exchange, thread.services, kCallKind, scope.requestId, error, work, {},
                      yield);
    }
    const auto contentType = net::findHeader(response->headers, "Content-Type");
    exchange.respond(makeAnswer(response->status,
                                std::string(contentType.value_or("application/octet-stream")),
                                response->body, scope.requestId),
                     yield, error);
    thread.services.metrics.countRequest(std::string(kCallKind), Result::Ok);
}

std::string orderFingerprint(const net::Request &request)
{
    return orders::fingerprint({ .method = request.method,
                                 .path = request.target,
                                 .contentType = headerOrEmpty(request, "Content-Type"),
                                 .body = request.body });
}

std::optional<orders::Identity> identityOf(const RequestScope &scope, const net::Request &request,
                                           std::error_code &error)
{
    orders::IdentityHeaders headers;
    if (const auto key = net::findHeader(request.headers, "Idempotency-Key"))
        headers.idempotencyKey = std::string(*key);
    if (const auto ticket = net::findHeader(request.headers, "Order-Ticket"))
        headers.orderTicket = std::string(*ticket);
    return orders::identify(scope.customer->name, headers, error);
}

// Returns the work status of a refusal that precedes the lookup of the order's state. It is unknown
// for an order, because an earlier attempt with the same identity may have run at another instance.
WorkStatus workStatusBeforeLookUp(const net::Request &request)
{
    const bool isOrder = net::findHeader(request.headers, "Idempotency-Key").has_value()
                         || net::findHeader(request.headers, "Order-Ticket").has_value();
    return isOrder ? WorkStatus::Unknown : WorkStatus::NotRun;
}

orders::Reply runIdentifiedOrder(const TrafficThread &thread, const ServiceCall &call,
                                 const orders::Identity &identity, const std::string &fingerprint,
                                 const yield_context &yield)
{
    if (identity.kind == orders::IdentityKind::Ticket)
        return runTicketOrder(thread, call, identity, fingerprint, yield);
    const std::string &life = thread.services.orderRegistry.life();
    return runOrder(thread, call,
                    { .rowKey = orders::rowKey(identity),
                      .fingerprint = fingerprint,
                      .ownLife = life,
                      .attemptId = life + '-' + makeRequestId() },
                    yield);
}

void serveOrder(const TrafficThread &thread, const RequestScope &scope, const ServiceCall &call,
                net::Exchange &exchange, const yield_context &yield)
{
    std::error_code error;
    const auto identity = identityOf(scope, exchange.request(), error);
    if (!identity.has_value()) {
        return refuse(exchange, thread.services, kOrderKind, scope.requestId, error,
                      WorkStatus::NotRun, {}, yield);
    }
    const orders::Reply reply = runIdentifiedOrder(thread, call, *identity,
                                                   orderFingerprint(exchange.request()), yield);
    thread.services.timeLine.record("orders", "order-replied", scope.requestId,
                                    std::string(base::toString(reply.work)));
    if (!reply.answer.has_value()) {
        return refuse(exchange, thread.services, kOrderKind, scope.requestId, reply.code,
                      reply.work, {}, yield);
    }
    exchange.respond(makeAnswer(reply.answer->status, reply.answer->contentType, reply.answer->body,
                                scope.requestId),
                     yield, error);
    thread.services.metrics.countRequest(std::string(kOrderKind), Result::Ok);
}

} // namespace

void serveCall(const TrafficThread &thread, net::Exchange &exchange, const yield_context &yield)
{
    const net::Request &request = exchange.request();
    std::error_code error;
    const RequestScope scope = openScope(thread.services, request, error);
    const configuration::Route *route = nullptr;
    if (!error) {
        route = scope.table->configuration().findPathRoute(net::pathOf(request.target),
                                                           *scope.customer);
        if (route == nullptr)
            error = Result::UnknownPath;
    }
    if (error) {
        return refuse(exchange, thread.services, kCallKind, scope.requestId, error,
                      workStatusBeforeLookUp(request), {}, yield);
    }
    const ServiceCall call{ .request = makeForwardedRequest(request, scope.requestId),
                            .targets = &scope.table->targetsOf(*route),
                            .customer = base::hash64(scope.customer->name) };
    if (route->intent->isIdempotent)
        serveIdempotent(thread, scope, call, exchange, yield);
    else
        serveOrder(thread, scope, call, exchange, yield);
}

void serveTicket(const TrafficThread &thread, net::Exchange &exchange, const yield_context &yield)
{
    std::error_code error;
    const RequestScope scope = openScope(thread.services, exchange.request(), error);
    std::optional<std::string> ticket;
    if (!error) {
        ticket = thread.services.orderRegistry.issueTicket(scope.customer->name);
        if (!ticket.has_value())
            error = Result::QuotaExceeded;
    }
    if (error) {
        return refuse(exchange, thread.services, kOrderKind, scope.requestId, error,
                      WorkStatus::NotRun, {}, yield);
    }
    const std::string body = boost::json::serialize(boost::json::object{ { "ticket", *ticket } });
    exchange.respond(net::jsonResponse(200, body), yield, error);
}

} // namespace chervilfield::traffic
