#pragma once

#include "net/http_server.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

namespace chervilfield::traffic {

/// Serves a call to a service that a routing intent maps by path. Idempotent calls are retried at
/// another target. Calls that must not be repeated run at most once; the header field
/// Idempotency-Key (state in the table service) or Order-Ticket (state in this process) identifies
/// them. A response of the service is passed on with X-Work-Status: "ran".
void serveCall(const TrafficThread &thread, net::Exchange &exchange,
               const boost::asio::yield_context &yield);

/// Serves `POST /v1/tickets`: issues a ticket with which one order can be placed at this instance.
void serveTicket(const TrafficThread &thread, net::Exchange &exchange,
                 const boost::asio::yield_context &yield);

} // namespace chervilfield::traffic
