#include "traffic/request_handler.h"

#include "base/result.h"
#include "traffic/calls.h"
#include "traffic/completions.h"
#include "traffic/request_scope.h"

namespace chervilfield::traffic {

using base::Result;
using boost::asio::yield_context;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

void respondText(net::Exchange &exchange, int status, std::string body, const yield_context &yield)
{
    std::error_code ignored;
    exchange.respond({ .status = status,
                       .headers = { { "Content-Type", "text/plain; version=0.0.4" } },
                       .body = std::move(body) },
                     yield, ignored);
}

// Serves the paths that return information about the instance. Returns false if `path` is none of
// them.
bool serveInstancePath(const TrafficThread &thread, const InstanceInfo &info, std::string_view path,
                       net::Exchange &exchange, const yield_context &yield)
{
    std::error_code ignored;
    if (path == "/v1/entries") {
        exchange.respond(net::jsonResponse(kHttpOk, info.entries(exchange.peer())), yield, ignored);
    } else if (path == "/healthz") {
        respondText(exchange, kHttpOk, "ok\n", yield);
    } else if (path == "/readyz") {
        const bool ready = info.isReady();
        respondText(exchange, ready ? kHttpOk : kHttpUnavailable, ready ? "ready\n" : "not ready\n",
                    yield);
    } else if (path == "/metrics") {
        respondText(exchange, kHttpOk, thread.services.metrics.exposition(), yield);
    } else {
        return false;
    }
    return true;
}

void handle(const TrafficThread &thread, const InstanceInfo &info, net::Exchange &exchange,
            const yield_context &yield)
{
    const net::Request &request = exchange.request();
    const std::string_view path = net::pathOf(request.target);
    if (serveInstancePath(thread, info, path, exchange, yield))
        return;
    const bool isChat = path == "/v1/chat/completions";
    const bool isText = path == "/v1/completions";
    const bool isTicket = path == "/v1/tickets";
    if (!isChat && !isText && !isTicket)
        return serveCall(thread, exchange, yield);
    if (request.method != "POST") {
        return refuse(exchange, thread.services, "request", "-", Result::MethodNotAllowed,
                      base::WorkStatus::NotRun, {}, yield);
    }
    if (isTicket)
        return serveTicket(thread, exchange, yield);
    serveCompletion(thread, isChat ? http::CompletionKind::Chat : http::CompletionKind::Text,
                    exchange, yield);
}

} // namespace

net::Handler makeRequestHandler(const TrafficThread &thread, const InstanceInfo &info)
{
    return [&thread, &info](net::Exchange &exchange, const yield_context &yield) {
        handle(thread, info, exchange, yield);
    };
}

} // namespace chervilfield::traffic
