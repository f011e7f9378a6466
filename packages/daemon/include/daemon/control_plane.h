#pragma once

#include "admin/admin_api.h"
#include "base/time_line.h"
#include "control/configuration_control.h"
#include "control/configuration_follower.h"
#include "control/configuration_log.h"
#include "control/control_system.h"
#include "daemon/control_metrics.h"
#include "daemon/peer_link.h"
#include "daemon/settings.h"
#include "net/http_server.h"
#include "platform/platform_client.h"
#include "traffic/cache_follower.h"
#include "traffic/metrics.h"
#include "traffic/router.h"
#include "traffic/target_table.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace chervilfield::daemon {

/// Functions of other parts of the daemon that the control plane calls on the control I/O thread.
struct ControlHooks
{
    /// Answers an administration request for the explanation of a routing decision.
    std::function<net::Response(const net::Request &)> explain;
    /// Starts the graceful shutdown.
    std::function<void()> drain;
    /// Receives the names of the targets that the platform's instance list reports as leaving.
    std::function<void(const std::vector<std::string> &)> leavingTargets;
    /// Returns the load that this instance puts on each target.
    std::function<std::vector<peers::NamedLoad>()> ownLoads;
    /// Receives the load that the other instances put on each target.
    std::function<void(const std::vector<peers::NamedLoad> &)> othersLoads;
};

/// Objects of the traffic threads that the control plane updates.
struct TrafficState
{
    traffic::Router &router;
    traffic::Metrics &metrics;
};

/// Control plane of a daemon: the actors that own the control state, and the I/O thread that does
/// their network I/O and serves the administration address and the peer address.
class ControlPlane
{
public:
    /// `timeLine` and the objects in `state` must outlive the control plane.
    ControlPlane(const Settings &settings, base::TimeLine &timeLine, ControlHooks hooks,
                 TrafficState state);
    /// Stops and joins the I/O thread.
    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// Binds the addresses and starts the I/O thread. Sets `error` if binding fails. The other
    /// instances hand out `callerAddress` to callers as the address of this instance.
    void start(const net::Address &callerAddress, std::error_code &error);

    /// Returns the targets of the configuration in force. Never returns null. Thread-safe.
    traffic::TargetTablePtr targetTable() const { return table_.load(); }

    /// Returns true once the search for the first configuration has found a source, or a later
    /// configuration has come into force. Before that, this instance would refuse requests that it
    /// should serve. Thread-safe.
    bool isStarted() const { return isStarted_; }

    /// Returns the body of the response to `GET /v1/entries` from `caller`. Thread-safe.
    std::string entriesBody(const net::Address &caller) const;

    /// Tells the other instances to remove this one from the address lists.
    void announceLeaving();
    /// Tells the other instances that this one is about to exit.
    void announceExit();

    /// Returns the bound administration address. `start()` must have succeeded.
    net::Address adminAddress() const;
    /// Returns the bound peer address. `start()` must have succeeded.
    net::Address peerAddress() const;

private:
    void runFollower(const boost::asio::yield_context &yield);
    void updateMetrics();
    void pollInstances(const boost::asio::yield_context &yield);
    std::vector<traffic::TargetInfo> updateFollowedEngines();
    std::vector<admin::InstanceStatus> instanceStatus() const;
    void publish(const configuration::ConfigurationPtr &configuration);

    const Settings settings_;
    base::TimeLine &timeLine_;
    std::atomic<traffic::TargetTablePtr> table_;
    std::atomic<bool> isStarted_{ false };
    /// Whether the search for the first configuration has ended, with or without a source.
    std::atomic<bool> hasStartAttemptEnded_{ false };

    boost::asio::io_context context_{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    platform::PlatformClient platform_;
    control::ConfigurationLog log_;
    ControlHooks hooks_;
    control::ControlSystem system_;
    std::unique_ptr<control::ConfigurationFollower> follower_;
    std::unique_ptr<control::ConfigurationControl> configuration_;
    std::unique_ptr<admin::AdminApi> adminApi_;
    std::unique_ptr<net::HttpServer> adminServer_;
    PeerLink peers_;
    ControlMetrics metrics_;
    traffic::CacheFollower cacheFollower_;
    // Cache of the engines that this instance follows, and the inputs from which it was computed.
    control::MemberSnapshotPtr assignedMembers_;
    traffic::TargetTablePtr assignedTable_;
    std::vector<traffic::TargetInfo> followedEngines_;
    std::thread runner_;
};

} // namespace chervilfield::daemon
