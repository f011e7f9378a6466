#pragma once

#include "orders/order_attempt.h"
#include "traffic/dispatch.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

namespace chervilfield::traffic {

/// Runs one attempt of an order that an idempotency key identifies, by performing the actions of
/// the order's state machine. Returns the reply to the caller as soon as it is known; remaining
/// store operations continue in a separate coroutine.
orders::Reply runOrder(const TrafficThread &thread, const ServiceCall &call,
                       orders::AttemptRequest request, const boost::asio::yield_context &yield);

/// Runs an order that a ticket identifies, or returns the reply to a ticket that cannot be
/// redeemed.
orders::Reply runTicketOrder(const TrafficThread &thread, const ServiceCall &call,
                             const orders::Identity &identity, const std::string &fingerprint,
                             const boost::asio::yield_context &yield);

} // namespace chervilfield::traffic
