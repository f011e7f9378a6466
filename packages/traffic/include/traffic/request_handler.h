#pragma once

#include "net/http_server.h"
#include "traffic/services.h"

#include <chrono>
#include <functional>
#include <string>

namespace chervilfield::traffic {

/// Information that the instance gives callers about itself and the other instances.
struct InstanceInfo
{
    /// Returns the body of the response to `GET /v1/entries` for a caller at the given address.
    std::function<std::string(const net::Address &caller)> entries;
    /// Returns true if and only if the instance can serve requests and is not shutting down.
    std::function<bool()> isReady;
};

/// Returns the handler of callers' requests for one traffic thread. `thread` and `info` must
/// outlive the handler.
net::Handler makeRequestHandler(const TrafficThread &thread, const InstanceInfo &info);

} // namespace chervilfield::traffic
