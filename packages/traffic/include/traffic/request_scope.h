#pragma once

#include "base/result.h"
#include "http/request_context.h"
#include "net/http_server.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::traffic {

/// One request of a caller while it is served: its headers, the configuration that applies to it
/// from beginning to end, and the customer that the API key identifies.
struct RequestScope
{
    http::RequestContext context;
    std::string requestId;
    TargetTablePtr table;
    const configuration::Customer *customer = nullptr;
};

/// Reads the headers and finds the customer. Sets `error` to `InvalidField` or `Unauthorized`.
RequestScope openScope(const Services &services, const net::Request &request,
                       std::error_code &error);

/// Answers with a refusal and logs it with the request id.
void refuse(net::Exchange &exchange, const Services &services, std::string_view kind,
            std::string_view requestId, const std::error_code &error, base::WorkStatus work,
            std::string_view detail, const boost::asio::yield_context &yield);

/// Returns a request id that is unique over all processes.
std::string makeRequestId();

} // namespace chervilfield::traffic
