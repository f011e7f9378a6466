#pragma once

#include "daemon/settings.h"
#include "net/http_server.h"
#include "traffic/request_handler.h"
#include "traffic/services.h"

#include <memory>
#include <system_error>
#include <vector>

namespace chervilfield::daemon {

/// The traffic threads of a daemon and the server on the callers' address. Each thread has its own
/// event loop, connections to targets and connection to the platform.
class TrafficPool
{
public:
    /// `services` and `view` outlive the pool.
    TrafficPool(const Settings &settings, const traffic::Services &services,
                const traffic::InstanceInfo &instanceInfo);
    ~TrafficPool();
    TrafficPool(const TrafficPool &) = delete;
    TrafficPool &operator=(const TrafficPool &) = delete;

    /// Binds the callers' address. Connections wait until `run()`. Sets `error` if binding fails.
    void bind(std::error_code &error);

    /// Starts the threads. What `view` and `services` refer to must be ready.
    void run();

    /// Makes callers reconnect: each response from now on closes its connection.
    void closeAfterResponses();
    void stopAccepting();
    net::Address localAddress() const;
    std::size_t activeRequests() const;

private:
    struct Worker;

    std::vector<std::unique_ptr<Worker>> workers_;
    std::unique_ptr<net::HttpServer> server_;
    net::Address address_;
};

} // namespace chervilfield::daemon
