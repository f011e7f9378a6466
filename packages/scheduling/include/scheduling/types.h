#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <cstdint>
#include <string>

/// Order of requests and use of scarce capacity: which request is sent, which waits, which is
/// refused, and when refused callers return. Uses no sockets; the current time is always passed in.
namespace chervilfield::scheduling {

using Time = base::BootClock::time_point;
using Seconds = std::chrono::duration<double>;

/// Properties of a request that affect its order.
struct ScheduledRequest
{
    std::uint64_t id = 0; ///< Unique among the requests in progress at this instance.
    /// Priority of the customer or, if it has none, of the route. 0 is the highest.
    int priority = 0;
    double promptTokens = 0;   ///< Length of the prompt, 0 for requests to plain services.
    Seconds expectedWork{ 0 }; ///< Time for which the request is expected to occupy a slot.
    Time arrivedAt{};
    /// Time by which the caller wants the whole answer or, for streams, the first event.
    Time goalAt{};
    Time deadline{};         ///< Time at which the caller gives up.
    bool hasStarted = false; ///< The caller has received a part of the answer.
    std::string customer;    ///< Empty for anonymous callers, which count as one customer.
};

} // namespace chervilfield::scheduling
