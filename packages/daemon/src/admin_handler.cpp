#include "daemon/admin_handler.h"

#include "base/result.h"
#include "configuration/json.h"
#include "http/error_response.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chervilfield::daemon {

using base::Result;
using boost::asio::yield_context;

namespace {

net::Response applyChange(const AdminContext &context, const net::Request &request,
                          const yield_context &yield)
{
    std::vector<configuration::ValidationError> errors;
    const auto change = configuration::parseChange(request.body, errors);
    if (!change.has_value())
        return net::jsonResponse(base::resultInfo(Result::ValidationFailed).httpStatus,
                                 configuration::toJson(errors));
    std::error_code error;
    const bool dryRun = net::queryParameter(request.target, "dryRun") == "true";
    control::ApplyResult result = context.log.apply(
            context.configuration.current(), { .change = *change, .dryRun = dryRun }, yield, error);
    context.configuration.offerRevisions(result.entries, "admin");
    if (error) {
        return http::errorResponse({ .code = base::toResult(error),
                                     .work = error == Result::WriteUndecided
                                                     ? base::WorkStatus::Unknown
                                                     : base::WorkStatus::NotRun });
    }
    return net::jsonResponse(
            200, boost::json::serialize(boost::json::object{ { "revision", result.revision } }));
}

net::Response status(const AdminContext &context)
{
    return net::jsonResponse(200,
                             boost::json::serialize(boost::json::object{
                                     { "instance", context.instance },
                                     { "revision", context.configuration.current()->revision() },
                                     { "highestKnown", context.configuration.highestKnown() } }));
}

} // namespace

net::Handler makeAdminHandler(const AdminContext &context)
{
    return [context](net::Exchange &exchange, const yield_context &yield) {
        const net::Request &request = exchange.request();
        const std::string_view path = net::pathOf(request.target);
        net::Response response = http::errorResponse({ .code = Result::UnknownPath });
        if (path == "/admin/v1/apply" && request.method == "POST")
            response = applyChange(context, request, yield);
        else if (path == "/admin/v1/status")
            response = status(context);
        std::error_code ignored;
        exchange.respond(response, yield, ignored);
    };
}

} // namespace chervilfield::daemon
