#pragma once

#include "net/http_message.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <optional>
#include <system_error>

namespace chervilfield::traffic {

/// A call to a service, ready to be sent.
struct ServiceCall
{
    net::Request request;
    const RouteTargets *targets = nullptr; ///< Owned by the target table; must outlive the call.
    std::uint64_t customer = 0; ///< Hash of the customer's name; selects its retry budget.
};

/// Sends an idempotent call, and repeats it at another target after a failure or a server error,
/// within the attempt limit and the retry budgets. A refused connection costs no budget. Returns
/// the last complete response, or no value and sets `error` to the last failure.
std::optional<net::Response> sendIdempotent(const TrafficThread &thread, const ServiceCall &call,
                                            const boost::asio::yield_context &yield,
                                            std::error_code &error);

/// Sends a call that must not be repeated. Another target is tried only while no byte of the call
/// has been sent, within the attempt limit. Returns the response, or no value and sets `error`: to
/// `TargetUnreachable`, `NoTarget`, `Overloaded` or `DeadlineUnreachable` if and only if the call
/// was not sent to any target.
std::optional<net::Response> sendOnce(const TrafficThread &thread, const ServiceCall &call,
                                      const boost::asio::yield_context &yield,
                                      std::error_code &error);

/// Returns true if and only if `error`, as set by `sendOnce`, proves that no target has received
/// the call.
bool provesNotSent(const std::error_code &error);

} // namespace chervilfield::traffic
