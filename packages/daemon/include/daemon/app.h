#pragma once

#include "base/hybrid_clock.h"
#include "base/time_line.h"
#include "daemon/control_plane.h"
#include "daemon/drain.h"
#include "daemon/settings.h"
#include "daemon/traffic_pool.h"
#include "traffic/metrics.h"
#include "traffic/order_registry.h"
#include "traffic/router.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <string>
#include <vector>

namespace chervilfield::daemon {

/// A router daemon: the control plane, the traffic threads and the graceful shutdown.
class App
{
public:
    explicit App(const Settings &settings);

    /// Serves until SIGTERM or SIGINT, drains, and returns the exit status of the process.
    int run();

private:
    /// Returns the load that this instance puts on each target.
    std::vector<peers::NamedLoad> ownLoads() const;
    void setOthersLoads(const std::vector<peers::NamedLoad> &loads);
    void setLeavingTargets(const std::vector<std::string> &names);
    void waitForSignal();
    /// Advances the shutdown and repeats itself after an interval until the shutdown is done.
    void drainStep();
    void enterPhase(DrainPhase phase);

    const Settings settings_;
    const std::string life_;
    base::HybridClock clock_;
    base::TimeLine timeLine_;
    traffic::Metrics metrics_;
    traffic::Router router_;
    traffic::OrderRegistry orderRegistry_;
    traffic::RetryBudgets retryBudgets_;
    ControlPlane control_;
    traffic::Services services_;
    traffic::InstanceInfo instanceInfo_;
    TrafficPool traffic_;
    Drain drain_;
    std::atomic<bool> isDraining_{ false }; ///< Also read by the traffic threads.
    boost::asio::io_context context_{ 1 };
    boost::asio::signal_set signals_{ context_, SIGTERM, SIGINT };
};

} // namespace chervilfield::daemon
