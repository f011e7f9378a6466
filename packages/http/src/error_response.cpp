#include "http/error_response.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chervilfield::http {

namespace json = boost::json;

std::string errorBody(const ErrorReport &report)
{
    const base::ResultInfo &info = base::resultInfo(report.code);
    json::object error{ { "code", static_cast<int>(info.code) },
                        { "name", json::string_view(info.name) },
                        { "message", report.detail.empty() ? info.message : report.detail },
                        { "work", base::toString(report.work) } };
    if (!report.requestId.empty())
        error["requestId"] = report.requestId;
    return json::serialize(json::object{ { "error", std::move(error) } });
}

net::Response errorResponse(const ErrorReport &report)
{
    net::Response response =
            net::jsonResponse(base::resultInfo(report.code).httpStatus, errorBody(report));
    if (report.retryAfter.has_value())
        response.headers.push_back({ "Retry-After", std::to_string(report.retryAfter->count()) });
    return response;
}

} // namespace chervilfield::http
