#include "admin/admin_api.h"

#include "base/result.h"
#include "configuration/json.h"
#include "http/error_response.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <chrono>
#include <optional>
#include <span>
#include <utility>

namespace chervilfield::admin {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Result;
using base::WorkStatus;
using configuration::Resource;
using configuration::RevisionNumber;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kPathPrefix = "/admin/v1/";
/// Maximum wait, before the response is sent, for the control actor to put a change in force.
constexpr milliseconds kInForceTimeout{ 1000 };
constexpr milliseconds kInForcePollInterval{ 1 };

net::Response makeOkResponse(const json::value &body)
{
    return net::jsonResponse(200, serialize(body));
}

net::Response makeErrorResponse(Result code, WorkStatus work = WorkStatus::NotRun,
                                std::string_view detail = {})
{
    return http::errorResponse({ .code = code, .work = work, .detail = detail });
}

/// Returns the response to a change that failed, with its faults and the latest revision.
net::Response makeApplyErrorResponse(Result code, RevisionNumber revision,
                                     std::span<const configuration::ValidationError> errors)
{
    const WorkStatus work =
            code == Result::WriteUndecided ? WorkStatus::Unknown : WorkStatus::NotRun;
    json::value body = json::parse(http::errorBody({ .code = code, .work = work }));
    body.as_object()["revision"] = revision;
    body.as_object()["errors"] = json::parse(toJson(errors));
    return net::jsonResponse(base::resultInfo(code).httpStatus, serialize(body));
}

/// Parses "<wall time in ms>[.<counter>]". Returns no value if the text has another form.
std::optional<base::HybridTime> parseTime(std::string_view text)
{
    base::HybridTime time;
    const std::string_view wall = text.substr(0, text.find('.'));
    const std::string_view counter =
            wall.size() == text.size() ? "0" : text.substr(wall.size() + 1);
    const auto parseInteger = [](std::string_view digits, auto &out) {
        const auto [end, error] =
                std::from_chars(digits.data(), digits.data() + digits.size(), out);
        return error == std::errc() && end == digits.data() + digits.size();
    };
    if (!parseInteger(wall, time.wallMs) || !parseInteger(counter, time.counter))
        return std::nullopt;
    return time;
}

json::object encode(const InstanceStatus &status)
{
    return { { "instance", status.instance },
             { "dataCentre", status.dataCentre },
             { "revision", status.revision } };
}

json::object encode(const base::TimeLineEvent &event)
{
    return { { "wallMs", event.time.wallMs }, { "counter", event.time.counter },
             { "instance", event.instance },  { "part", event.part },
             { "kind", event.kind },          { "subject", event.subject },
             { "detail", event.detail } };
}

/// Appends the resources of one kind as JSON, or only the one with the given name.
template<typename T>
void append(json::array &result, const std::vector<std::shared_ptr<const T>> &entries,
            const std::optional<std::string> &name)
{
    for (const auto &entry : entries) {
        if (!name || entry->name == *name)
            result.push_back(json::parse(toJson(Resource(*entry))));
    }
}

/// Returns the events of all time lines in the order of their timestamps. Skips bodies that are not
/// time lines.
json::array mergeEvents(const std::vector<std::string> &bodies)
{
    std::vector<json::value> events;
    for (const std::string &body : bodies) {
        boost::system::error_code invalid;
        const json::value parsed = json::parse(body, invalid);
        const json::object *object = invalid ? nullptr : parsed.if_object();
        const json::value *eventList = object == nullptr ? nullptr : object->if_contains("events");
        if (eventList == nullptr || !eventList->is_array())
            continue;
        for (const json::value &event : eventList->as_array()) {
            if (event.is_object() && event.as_object().contains("wallMs")
                && event.as_object().contains("counter"))
                events.push_back(event);
        }
    }
    const auto timestampOf = [](const json::value &event) {
        boost::system::error_code inexact;
        const json::object &object = event.as_object();
        const auto wall = object.at("wallMs").to_number<std::int64_t>(inexact);
        return std::pair(wall, object.at("counter").to_number<std::int64_t>(inexact));
    };
    std::stable_sort(events.begin(), events.end(), [&](const auto &first, const auto &second) {
        return timestampOf(first) < timestampOf(second);
    });
    return json::array(events.begin(), events.end());
}

} // namespace

AdminApi::AdminApi(asio::io_context &context, control::ConfigurationControl &control,
                   control::ConfigurationLog &log, AdminHooks hooks)
    : context_(context), control_(control), log_(log), hooks_(std::move(hooks))
{
}

net::Handler AdminApi::handler()
{
    return [this](net::Exchange &exchange, asio::yield_context yield) {
        const net::Response response = handle(exchange.request(), yield);
        std::error_code ignored;
        exchange.respond(response, yield, ignored);
    };
}

net::Response AdminApi::handle(const net::Request &request, asio::yield_context yield)
{
    const std::string_view path = net::pathOf(request.target);
    if (!path.starts_with(kPathPrefix))
        return makeErrorResponse(Result::UnknownPath);
    const std::string_view name = path.substr(kPathPrefix.size());
    const bool isPost = name == "apply" || name == "drain";
    if (request.method != (isPost ? "POST" : "GET"))
        return makeErrorResponse(Result::MethodNotAllowed);
    if (name == "apply")
        return apply(request, yield);
    if (name == "drain")
        return drain(request);
    if (name == "status")
        return status();
    if (name == "timeline")
        return timeLine(request, yield);
    if (name == "explain")
        return hooks_.explain ? hooks_.explain(request) : makeErrorResponse(Result::NotFound);
    return get(request);
}

/// Passes the entries that an apply has read or written to the control actor and waits until they
/// are in force in this daemon, so that an operator who reads after writing sees the change. Then
/// copies the entry that the apply has written to the object service, in another coroutine.
void AdminApi::putInForce(const control::ApplyResult &result, bool isDryRun,
                          asio::yield_context yield)
{
    control_.offerRevisions(result.entries, "apply");
    const RevisionNumber lastRevision = result.entries.empty() ? 0 : result.entries.back().number;
    const auto deadline = std::chrono::steady_clock::now() + kInForceTimeout;
    while (control_.current()->revision() < lastRevision
           && std::chrono::steady_clock::now() < deadline) {
        asio::steady_timer timer(context_, kInForcePollInterval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
    if (isDryRun || lastRevision != result.revision)
        return;
    net::spawnCoroutine(context_, "[admin]",
                        [&log = log_, entry = result.entries.back(),
                         configuration = result.configuration](asio::yield_context inner) {
                            log.publishObjects(entry, *configuration, inner);
                        });
}

net::Response AdminApi::apply(const net::Request &request, asio::yield_context yield)
{
    std::vector<configuration::ValidationError> errors;
    auto change = configuration::parseChange(request.body, errors);
    if (!change)
        return makeApplyErrorResponse(Result::ValidationFailed, control_.current()->revision(),
                                      errors);
    const bool isDryRun = net::queryParameter(request.target, "dryRun").value_or("false") == "true";
    std::error_code error;
    const control::ApplyResult result =
            log_.apply(control_.current(), { std::move(*change), isDryRun }, yield, error);
    putInForce(result, isDryRun || error, yield);
    if (error)
        return makeApplyErrorResponse(base::toResult(error), result.revision, result.errors);
    return makeOkResponse(
            json::object{ { "revision", result.revision },
                          { "dryRun", isDryRun },
                          { "differences", json::parse(toJson(result.differences)) } });
}

net::Response AdminApi::get(const net::Request &request) const
{
    const std::string_view kind = net::pathOf(request.target).substr(kPathPrefix.size());
    const auto name = net::queryParameter(request.target, "name");
    const auto configuration = control_.current();
    const configuration::ResourceSet &resources = configuration->resources();
    const bool allKinds = kind == "resources";
    if (!allKinds && kind != "pools" && kind != "targets" && kind != "customers"
        && kind != "intents")
        return makeErrorResponse(Result::UnknownPath);
    json::array result;
    if (allKinds || kind == "pools")
        append(result, resources.pools, name);
    if (allKinds || kind == "targets")
        append(result, resources.targets, name);
    if (allKinds || kind == "customers")
        append(result, resources.customers, name);
    if (allKinds || kind == "intents")
        append(result, resources.intents, name);
    if (name && result.empty())
        return makeErrorResponse(Result::NotFound);
    return makeOkResponse(json::object{ { "revision", configuration->revision() },
                                        { "resources", std::move(result) } });
}

net::Response AdminApi::status() const
{
    InstanceStatus self = hooks_.self;
    self.revision = control_.current()->revision();
    json::array instances{ encode(self) };
    if (hooks_.peers) {
        for (const InstanceStatus &peer : hooks_.peers())
            instances.push_back(encode(peer));
    }
    return makeOkResponse(json::object{ { "revision", self.revision },
                                        { "highestKnown", control_.highestKnown() },
                                        { "instances", std::move(instances) } });
}

std::optional<std::string> timeLineJson(const base::TimeLine &timeLine, const std::string &after)
{
    const auto time = parseTime(after);
    if (!time)
        return std::nullopt;
    json::array events;
    for (const base::TimeLineEvent &event : timeLine.since(*time))
        events.push_back(encode(event));
    return json::serialize(json::object{ { "events", std::move(events) } });
}

net::Response AdminApi::timeLine(const net::Request &request, asio::yield_context yield) const
{
    if (hooks_.timeLine == nullptr)
        return makeErrorResponse(Result::NotFound);
    const std::string after = net::queryParameter(request.target, "after").value_or("0");
    const auto own = timeLineJson(*hooks_.timeLine, after);
    if (!own) {
        return makeErrorResponse(Result::InvalidField, WorkStatus::NotRun,
                                 "after: expected <milliseconds>.<counter>, found '" + after + "'");
    }
    std::vector<std::string> bodies;
    if (hooks_.peerTimeLines)
        bodies = hooks_.peerTimeLines(after, yield);
    bodies.push_back(*own);
    return makeOkResponse(json::object{ { "events", mergeEvents(bodies) } });
}

net::Response AdminApi::drain(const net::Request &) const
{
    if (!hooks_.drain)
        return makeErrorResponse(Result::NotFound);
    hooks_.drain();
    return makeOkResponse(json::object{ { "draining", true } });
}

} // namespace chervilfield::admin
