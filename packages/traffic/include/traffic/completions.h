#pragma once

#include "http/completion_request.h"
#include "net/http_server.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

namespace chervilfield::traffic {

/// Serves one completion request: finds the customer and the route, chooses an engine, and sends
/// the tokens as server-sent events or as one body. An incomplete stream ends with an `error` event
/// and without the terminating chunk.
void serveCompletion(const TrafficThread &thread, http::CompletionKind kind,
                     net::Exchange &exchange, const boost::asio::yield_context &yield);

} // namespace chervilfield::traffic
