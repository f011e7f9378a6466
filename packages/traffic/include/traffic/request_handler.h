#pragma once

#include "net/http_server.h"
#include "traffic/services.h"

#include <chrono>
#include <functional>
#include <string>

namespace chervilfield::traffic {

/// What the instance tells callers about itself and the others.
struct InstanceInfo
{
    /// Returns the body of `GET /v1/entries` for a caller at this address.
    std::function<std::string(const net::Address &caller)> entries;
    /// Returns true if and only if the instance can serve requests and is not shutting down.
    std::function<bool()> isReady;
};

/// Returns the handler of the callers' address for one traffic thread. `thread` and `info` outlive
/// the handler.
net::Handler makeRequestHandler(const TrafficThread &thread, const InstanceInfo &info);

} // namespace chervilfield::traffic
