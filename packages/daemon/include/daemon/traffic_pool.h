#pragma once

#include "daemon/settings.h"
#include "net/http_server.h"
#include "traffic/request_handler.h"
#include "traffic/services.h"

#include <memory>
#include <system_error>
#include <vector>

namespace chervilfield::daemon {

/// Traffic threads of a daemon and the HTTP server on the callers' address. Each thread has its own
/// event loop, connections to targets and connections to the platform.
class TrafficPool
{
public:
    /// `services` and `instanceInfo` must outlive the pool.
    TrafficPool(const Settings &settings, const traffic::Services &services,
                const traffic::InstanceInfo &instanceInfo);
    /// Stops and joins the threads. Requests in progress are not completed.
    ~TrafficPool();
    TrafficPool(const TrafficPool &) = delete;
    TrafficPool &operator=(const TrafficPool &) = delete;

    /// Binds the callers' address. Connections wait to be served until `run()`. Sets `error` if
    /// binding fails.
    void bind(std::error_code &error);

    /// Starts the threads. The objects in `instanceInfo` and `services` must be ready for use.
    void run();

    /// Closes each connection after its next response, so that callers connect elsewhere.
    void closeAfterResponses();
    /// Stops accepting connections. Open connections end after their current request.
    void stopAccepting();
    /// Returns the bound callers' address.
    net::Address localAddress() const;
    /// Returns the number of requests whose response is incomplete.
    std::size_t activeRequests() const;

private:
    struct Worker;

    std::vector<std::unique_ptr<Worker>> workers_;
    std::unique_ptr<net::HttpServer> server_;
    net::Address address_;
};

} // namespace chervilfield::daemon
