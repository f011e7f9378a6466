#pragma once

#include "orders/order_attempt.h"
#include "traffic/dispatch.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

namespace chervilfield::traffic {

/// Runs one attempt of a call identified by key: carries out the actions of the order's state
/// machine. Returns the reply for the caller as soon as there is one; what remains to be settled
/// with the store goes on in a coroutine of its own.
orders::Reply runOrder(const TrafficThread &thread, const ServiceCall &call,
                       orders::AttemptRequest request, const boost::asio::yield_context &yield);

/// Runs a call that carries a ticket.
orders::Reply runTicketOrder(const TrafficThread &thread, const ServiceCall &call,
                             const orders::Identity &identity, const std::string &fingerprint,
                             const boost::asio::yield_context &yield);

} // namespace chervilfield::traffic
