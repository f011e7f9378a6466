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

/// Context of one request while it is served: its header fields, the configuration that applies to
/// it from start to end, and the customer that its API key identifies.
struct RequestScope
{
    http::RequestContext context;
    std::string requestId; ///< Id that the caller supplied, or a new one.
    TargetTablePtr table;
    const configuration::Customer *customer = nullptr; ///< Owned by the configuration of `table`.
};

/// Reads the header fields and finds the customer. On failure sets `error` to `InvalidField`,
/// `NotReady` or `Unauthorized`; the request id and the table are set in any case.
RequestScope openScope(const Services &services, const net::Request &request,
                       std::error_code &error);

/// Responds with an error, logs it with the request id and counts it in the metrics under `kind`.
/// `detail` replaces the standard sentence of the error unless it is empty.
void refuse(net::Exchange &exchange, const Services &services, std::string_view kind,
            std::string_view requestId, const std::error_code &error, base::WorkStatus work,
            std::string_view detail, const boost::asio::yield_context &yield);

/// Returns a request id that is unique over all processes.
std::string makeRequestId();

} // namespace chervilfield::traffic
