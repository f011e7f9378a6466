#include "admin_client.h"

#include "base/result.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include <optional>

namespace chervilfield::ctl {

namespace json = boost::json;
using base::Result;

namespace {

ExitCode toExitCode(Result result)
{
    switch (result) {
    case Result::ValidationFailed:
    case Result::InvalidField:
        return ExitCode::Invalid;
    case Result::RevisionConflict:
        return ExitCode::Conflict;
    case Result::StoreUnavailable:
    case Result::TargetUnreachable:
        return ExitCode::Unavailable;
    case Result::WriteUndecided:
        return ExitCode::Undecided;
    case Result::NotFound:
        return ExitCode::NotFound;
    default:
        return ExitCode::Failed;
    }
}

/// Returns the result code in an error body, or `Internal` if the body has another form.
Result resultFromBody(const json::value &body)
{
    const json::object *object = body.if_object();
    const json::value *error = object == nullptr ? nullptr : object->if_contains("error");
    if (error == nullptr || !error->is_object())
        return Result::Internal;
    const json::value *code = error->get_object().if_contains("code");
    if (code == nullptr || !code->is_int64())
        return Result::Internal;
    return static_cast<Result>(code->get_int64());
}

} // namespace

AdminResponse sendRequest(const Options &options, const net::Request &request)
{
    boost::asio::io_context context;
    net::HttpClient client(context.get_executor(), {});
    std::optional<net::Response> response;
    std::error_code error;
    net::spawnCoroutine(context, "[ctl]", [&](boost::asio::yield_context yield) {
        response = client.send(options.server, request, options.timeout, yield, error);
    });
    context.run();
    if (!response) {
        // Without a response, a change may have taken effect, unless it could not be sent.
        const bool unchanged = request.method == "GET" || error == Result::TargetUnreachable;
        return { unchanged ? ExitCode::Unavailable : ExitCode::Undecided,
                 toString(options.server) + " does not answer: " + error.message(),
                 {} };
    }
    AdminResponse adminResponse{ ExitCode::Ok, response->body, {} };
    json::error_code malformed;
    adminResponse.body = json::parse(response->body, malformed);
    if (malformed)
        return { ExitCode::Failed, "expected a JSON body, found: " + response->body, {} };
    if (response->status != 200)
        adminResponse.code = toExitCode(resultFromBody(adminResponse.body));
    return adminResponse;
}

} // namespace chervilfield::ctl
