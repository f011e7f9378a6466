#include "platform/platform_service.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <exception>
#include <utility>

namespace chervilfield::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

/// Maximum time to hold a request without a response while the client keeps the connection open.
constexpr milliseconds kMaxHoldTime{ 30000 };
constexpr milliseconds kHoldPollInterval{ 20 };

net::Response makeResponse(int status, const json::value &body)
{
    return net::jsonResponse(status, serialize(body));
}

/// Returns the part of the path after `prefix`, percent-decoded.
std::string decodePathSuffix(const std::string &target, std::string_view prefix)
{
    const std::string_view path = net::pathOf(target);
    const std::string asQuery = "?rest=" + std::string(path.substr(prefix.size()));
    return net::queryParameter(asQuery, "rest").value_or("");
}

json::object encode(const StoredRow &row)
{
    return { { "value", row.value }, { "version", row.version }, { "writeId", row.writeId } };
}

/// Consumes one of `count` remaining occurrences of a fault and returns whether there was one. A
/// count of -1 is unlimited.
bool consume(std::int64_t &count)
{
    if (count == 0)
        return false;
    if (count > 0)
        --count;
    return true;
}

void readBool(const json::object &object, std::string_view key, bool &out)
{
    if (const json::value *value = object.if_contains(key))
        out = value->as_bool();
}

template<typename T>
void readNumber(const json::object &object, std::string_view key, T &out)
{
    if (const json::value *value = object.if_contains(key))
        out = value->to_number<T>();
}

void readDuration(const json::object &object, std::string_view key, milliseconds &out)
{
    if (const json::value *value = object.if_contains(key))
        out = milliseconds(value->to_number<std::int64_t>());
}

json::object encode(const PlatformCounters &counters)
{
    return { { "reads", counters.reads },
             { "writes", counters.writes },
             { "conflicts", counters.conflicts },
             { "lostAnswers", counters.lostAnswers },
             { "objectReads", counters.objectReads },
             { "objectWrites", counters.objectWrites },
             { "instanceReads", counters.instanceReads } };
}

} // namespace

void PlatformService::sleepFor(milliseconds duration, asio::yield_context yield)
{
    if (duration <= milliseconds::zero())
        return;
    asio::steady_timer timer(context_, duration);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

void PlatformService::holdUntilClosed(net::Exchange &exchange, asio::yield_context yield)
{
    const auto deadline = steady_clock::now() + kMaxHoldTime;
    while (!exchange.peerHasClosed() && steady_clock::now() < deadline)
        sleepFor(kHoldPollInterval, yield);
}

std::size_t PlatformService::takeHiddenWrites()
{
    return consume(faults_.staleReads) ? faults_.staleWrites : 0;
}

net::Response PlatformService::readTable(const std::string &target)
{
    ++counters_.reads;
    const auto row = store_.read(decodePathSuffix(target, "/table/"), takeHiddenWrites());
    return row ? makeResponse(kOk, encode(*row)) : makeResponse(kNotFound, json::object());
}

net::Response PlatformService::listTable(const std::string &target)
{
    ++counters_.reads;
    const std::string prefix = net::queryParameter(target, "prefix").value_or("");
    const std::string after = net::queryParameter(target, "after").value_or("");
    const std::size_t limit = std::stoul(net::queryParameter(target, "limit").value_or("1000"));
    const std::size_t hidden = takeHiddenWrites();
    const Rows earlierRows = hidden == 0 ? Rows() : store_.rowsBefore(hidden);
    const Rows &rows = hidden == 0 ? store_.rows() : earlierRows;
    json::array result;
    auto row = after < prefix ? rows.lower_bound(prefix) : rows.upper_bound(after);
    for (; row != rows.end() && row->first.starts_with(prefix) && result.size() < limit; ++row) {
        json::object entry = encode(row->second);
        entry["key"] = row->first;
        result.push_back(std::move(entry));
    }
    return makeResponse(kOk, json::object{ { "rows", std::move(result) } });
}

net::Response PlatformService::writeTable(const net::Request &request)
{
    ++counters_.writes;
    const std::string key = decodePathSuffix(request.target, "/table/");
    const json::value body = json::parse(request.body);
    StoredRow row{ .value = std::string(body.at("value").as_string()),
                   .writeId = std::string(body.at("writeId").as_string()) };
    if (store_.write(key, body.at("ifVersion").to_number<std::uint64_t>(), std::move(row)))
        return makeResponse(kOk, encode(store_.rows().at(key)));
    ++counters_.conflicts;
    const auto current = store_.read(key, 0);
    return current ? makeResponse(kConflict, encode(*current))
                   : makeResponse(kConflict, json::object());
}

void PlatformService::serveTable(net::Exchange &exchange, asio::yield_context yield)
{
    const net::Request &request = exchange.request();
    const bool isWrite = request.method == "PUT";
    net::Response response;
    if (isWrite)
        response = writeTable(request);
    else if (net::pathOf(request.target) == "/table")
        response = listTable(request.target);
    else
        response = readTable(request.target);
    if (isWrite && consume(faults_.loseAnswers)) {
        ++counters_.lostAnswers;
        holdUntilClosed(exchange, yield);
        return;
    }
    std::error_code ignored;
    exchange.respond(response, yield, ignored);
}

net::Response PlatformService::serveObject(const net::Request &request)
{
    const std::string name = decodePathSuffix(request.target, "/objects/");
    if (request.method == "PUT") {
        ++counters_.objectWrites;
        objects_[name] = request.body;
        return makeResponse(kOk, json::object());
    }
    ++counters_.objectReads;
    const auto found = objects_.find(name);
    return found == objects_.end() ? makeResponse(kNotFound, json::object())
                                   : net::Response{ .status = kOk, .body = found->second };
}

net::Response PlatformService::serveInstances()
{
    ++counters_.instanceReads;
    if (!pendingInstances_.empty() && steady_clock::now() >= pendingInstancesVisibleAt_)
        instances_ = std::exchange(pendingInstances_, std::string());
    return net::jsonResponse(kOk, R"({"instances":)" + instances_ + "}");
}

net::Response PlatformService::control(const net::Request &request)
{
    if (request.method == "GET")
        return makeResponse(kOk, encode(counters_));
    const json::value body = json::parse(request.body);
    const json::object &object = body.as_object();
    readBool(object, "tableDown", faults_.tableDown);
    readBool(object, "objectsDown", faults_.objectsDown);
    readBool(object, "instancesDown", faults_.instancesDown);
    readDuration(object, "delayMs", faults_.delay);
    readDuration(object, "instanceLagMs", faults_.instanceLag);
    readNumber(object, "loseAnswers", faults_.loseAnswers);
    readNumber(object, "staleReads", faults_.staleReads);
    readNumber(object, "staleWrites", faults_.staleWrites);
    if (const json::value *instances = object.if_contains("instances")) {
        pendingInstances_ = serialize(instances->as_array());
        pendingInstancesVisibleAt_ = steady_clock::now() + faults_.instanceLag;
    }
    return makeResponse(kOk, json::object());
}

void PlatformService::handle(net::Exchange &exchange, asio::yield_context yield)
{
    const net::Request &request = exchange.request();
    const std::string_view path = net::pathOf(request.target);
    const auto isUnder = [&](std::string_view prefix) { return path.starts_with(prefix); };
    std::error_code ignored;
    try {
        if (isUnder("/control")) {
            exchange.respond(control(request), yield, ignored);
            return;
        }
        sleepFor(faults_.delay, yield);
        const bool isDown = (isUnder("/table") && faults_.tableDown)
                            || (isUnder("/objects") && faults_.objectsDown)
                            || (isUnder("/instances") && faults_.instancesDown);
        if (isDown)
            exchange.respond(makeResponse(kUnavailable, json::object()), yield, ignored);
        else if (isUnder("/table"))
            serveTable(exchange, yield);
        else if (isUnder("/objects/"))
            exchange.respond(serveObject(request), yield, ignored);
        else if (path == "/instances")
            exchange.respond(serveInstances(), yield, ignored);
        else
            exchange.respond(makeResponse(kNotFound, json::object()), yield, ignored);
    } catch (const std::exception &error) {
        // Boost.JSON throws on malformed bodies.
        const json::object body{ { "error", error.what() } };
        exchange.respond(makeResponse(kBadRequest, body), yield, ignored);
    }
}

} // namespace chervilfield::standins
