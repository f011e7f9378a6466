#include "service/order_service.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace chervilfield::standins {

namespace json = boost::json;
using boost::asio::yield_context;

namespace {

constexpr std::string_view kStatusPathPrefix = "/status/";
constexpr std::chrono::milliseconds kPollInterval{ 10 };
/// Maximum time to hold back a response. Routers time out earlier.
constexpr std::chrono::minutes kMaxHoldTime{ 10 };

json::object parseBody(const net::Exchange &exchange)
{
    boost::system::error_code error;
    json::value value = json::parse(exchange.request().body, error);
    return error || !value.is_object() ? json::object() : value.as_object();
}

void respond(net::Exchange &exchange, int status, const json::value &body,
             const yield_context &yield)
{
    std::error_code ignored;
    exchange.respond(net::jsonResponse(status, json::serialize(body)), yield, ignored);
}

void readCount(const json::object &body, const char *name, std::uint64_t &value)
{
    if (const auto *found = body.if_contains(name))
        value = found->to_number<std::uint64_t>();
}

} // namespace

void OrderService::handle(net::Exchange &exchange, const yield_context &yield)
{
    const std::string_view path = net::pathOf(exchange.request().target);
    if (!path.starts_with("/control"))
        waitWhilePaused(yield);
    if (path == "/orders")
        return executeOrder(exchange, yield);
    if (path.starts_with(kStatusPathPrefix))
        return status(exchange, path.substr(kStatusPathPrefix.size()), yield);
    if (path == "/control")
        return control(exchange, yield);
    if (path == "/control/executions")
        return respond(exchange, 200, executionHistory_, yield);
    respond(exchange, 404, json::object{ { "message", "not found" } }, yield);
}

void OrderService::executeOrder(net::Exchange &exchange, const yield_context &yield)
{
    if (faults_.refuse > 0) {
        --faults_.refuse;
        return respond(exchange, 503, json::object{ { "message", "refused" } }, yield);
    }
    const json::object body = parseBody(exchange);
    const json::value *id = body.if_contains("id");
    if (id == nullptr || !id->is_string())
        return respond(exchange, 400, json::object{ { "message", "id missing" } }, yield);
    sleepFor(faults_.executionDelay, yield);
    const std::uint64_t count = ++executions_[std::string(id->as_string())];
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    executionHistory_.push_back(json::object{
            { "id", *id },
            { "request_id",
              net::findHeader(exchange.request().headers, "X-Request-Id").value_or("") },
            { "at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count() } });
    sleepFor(faults_.responseDelay, yield);
    if (faults_.dropAnswers > 0) {
        --faults_.dropAnswers;
        std::error_code ignored;
        // The server closes the connection of a stream that is not finished.
        return exchange.startStream(200, {}, yield, ignored);
    }
    if (faults_.holdAnswers > 0) {
        --faults_.holdAnswers;
        return holdUntilClosed(exchange, yield);
    }
    respond(exchange, 201, json::object{ { "id", *id }, { "execution", count } }, yield);
}

void OrderService::status(net::Exchange &exchange, std::string_view id, const yield_context &yield)
{
    sleepFor(faults_.responseDelay, yield);
    const auto found = executions_.find(id);
    if (found == executions_.end())
        return respond(exchange, 404, json::object{ { "message", "unknown order" } }, yield);
    respond(exchange, 200, json::object{ { "id", id }, { "executions", found->second } }, yield);
}

void OrderService::control(net::Exchange &exchange, const yield_context &yield)
{
    const json::object body = parseBody(exchange);
    if (const auto *delay = body.if_contains("delayMs"))
        faults_.responseDelay = std::chrono::milliseconds(delay->to_number<std::int64_t>());
    if (const auto *slow = body.if_contains("slowMs"))
        faults_.executionDelay = std::chrono::milliseconds(slow->to_number<std::int64_t>());
    if (const auto *pause = body.if_contains("pause"))
        faults_.isPaused = pause->as_bool();
    readCount(body, "dropAnswers", faults_.dropAnswers);
    readCount(body, "holdAnswers", faults_.holdAnswers);
    readCount(body, "refuse", faults_.refuse);
    respond(exchange, 200, json::object(), yield);
}

void OrderService::waitWhilePaused(const yield_context &yield)
{
    while (faults_.isPaused)
        sleepFor(kPollInterval, yield);
}

void OrderService::holdUntilClosed(net::Exchange &exchange, const yield_context &yield)
{
    const auto deadline = std::chrono::steady_clock::now() + kMaxHoldTime;
    while (!exchange.peerHasClosed() && std::chrono::steady_clock::now() < deadline)
        sleepFor(kPollInterval, yield);
    std::error_code ignored;
    exchange.startStream(200, {}, yield, ignored);
}

void OrderService::sleepFor(std::chrono::milliseconds duration, const yield_context &yield)
{
    if (duration.count() == 0)
        return;
    boost::asio::steady_timer timer(context_, duration);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace chervilfield::standins
