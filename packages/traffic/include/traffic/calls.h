#pragma once

#include "net/http_server.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

namespace chervilfield::traffic {

/// Serves a call of a plain service that a routing intent maps by path. Idempotent calls are
/// retried at another target; calls that must not be repeated run at most once, identified by
/// Idempotency-Key (through the table service) or by Order-Ticket (through this process life).
/// The response has X-Work-Status: "ran" when the service answered.
void serveCall(const TrafficThread &thread, net::Exchange &exchange,
               const boost::asio::yield_context &yield);

/// Serves `POST /v1/tickets`: issues a ticket that one order may be placed with at this instance.
void serveTicket(const TrafficThread &thread, net::Exchange &exchange,
                 const boost::asio::yield_context &yield);

} // namespace chervilfield::traffic
