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

/// What the administration API asks of other parts of the daemon, on the control I/O thread.
struct ControlHooks
{
    std::function<net::Response(const net::Request &)> explain;
    std::function<void()> drain;
    /// Told the names of the targets that the platform's instance list reports as leaving.
    std::function<void(const std::vector<std::string> &)> leavingTargets;
    std::function<std::vector<peers::NamedLoad>()> ownLoads;
    std::function<void(const std::vector<peers::NamedLoad> &)> othersLoads;
};

/// What the control plane feeds for the traffic threads.
struct TrafficState
{
    traffic::Router &router;
    traffic::Metrics &metrics;
};

/// Control part of a daemon: the actors that own control state, and the control I/O thread that
/// moves bytes for them and serves the administration and the peer address.
class ControlPlane
{
public:
    /// `timeLine` and what `state` refers to outlive the control plane.
    ControlPlane(const Settings &settings, base::TimeLine &timeLine, ControlHooks hooks,
                 TrafficState state);
    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// Binds the addresses and starts the threads. Sets `error` if binding fails. The other
    /// instances tell callers `callerAddress`.
    void start(const net::Address &callerAddress, std::error_code &error);

    /// Returns the targets of the configuration in force; never null.
    traffic::TargetTablePtr targetTable() const { return table_.load(); }

    /// Returns true once the first configuration has been looked for everywhere.
    bool isStarted() const { return isStarted_; }

    /// Returns the body of `GET /v1/entries`.
    std::string entriesBody(const net::Address &caller) const;

    /// Tells the other instances that this one is leaving, and that it is about to exit.
    void announceLeaving();
    void announceExit();

    net::Address adminAddress() const;
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
    // What the followed engines were computed from, and the result.
    control::MemberSnapshotPtr assignedMembers_;
    traffic::TargetTablePtr assignedTable_;
    std::vector<traffic::TargetInfo> followedEngines_;
    std::thread runner_;
};

} // namespace chervilfield::daemon
