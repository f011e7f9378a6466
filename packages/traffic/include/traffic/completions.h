#pragma once

#include "http/completion_request.h"
#include "net/http_server.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

namespace chervilfield::traffic {

/// Serves one completion from the request to the end of the answer: finds the customer and the
/// route, chooses an engine, and sends the tokens as events or as one body. An answer that is not
/// whole ends with an `error` event and without the terminator.
void serveCompletion(const TrafficThread &thread, http::CompletionKind kind,
                     net::Exchange &exchange, const boost::asio::yield_context &yield);

} // namespace chervilfield::traffic
