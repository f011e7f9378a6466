#pragma once

#include "base/boot_clock.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/time_line.h"
#include "control/control_system.h"
#include "entry/options.h"
#include "entry/peer_mesh.h"
#include "entry/platform.h"
#include "entry/quarantine_sharing.h"
#include "entry/rollout.h"
#include "entry/view_updater.h"
#include "net/http_server.h"
#include "relay/relay.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <thread>

namespace chervilfield::entry {

/// An entry instance on a platform that keeps the deployment in its store. The thread that calls
/// `run()` is the control I/O thread: it follows the store, exchanges state with the other
/// instances and runs the rollout. A second one, the traffic thread, serves callers.
class EntryApp
{
public:
    /// `reload` returns the options according to the current settings, or no value if the settings
    /// are not valid.
    EntryApp(EntryOptions options, Platform platform,
             std::function<std::optional<EntryOptions>()> reload);
    ~EntryApp();
    EntryApp(const EntryApp &) = delete;
    EntryApp &operator=(const EntryApp &) = delete;

    /// Serves until SIGTERM or SIGINT, then drains. Returns the exit status of the process, which
    /// is 1 if an address cannot be bound.
    int run();

private:
    using Clock = base::BootClock;

    void listen(std::error_code &error);
    void serveReadiness(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void serveDirectory(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void serveMetrics(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void handleViewPublished(const fleet::ViewPtr &view);
    PeerHooks peerHooks();
    /// Returns the hooks through which the quarantine learns from other instances and the store.
    QuarantineSharing::TrafficHooks quarantineTrafficHooks();
    QuarantineSharing::PeerHooks quarantinePeerHooks();
    relay::QuarantineHooks relayQuarantineHooks();
    /// Exchanges traffic state with the other instances, periodically. Runs on the traffic thread.
    void exchangeTraffic();
    /// Sends a notice to the other instances and applies it here.
    void handleWeightsChange(const peers::WeightsNotice &notice);
    /// Adds learned performance of targets to the digest once per interval, and logs its changes.
    void collectPerformance(TrafficDigest &digest);
    /// Applies the limits of the configuration to the requests of callers.
    void applyCallerLimits(const fleet::View &view);
    /// Updates the other instances' requests in flight. Runs on the traffic thread.
    void updateOthersWork(const std::vector<dispatch::TargetWork> &work);
    void applyWeightsNotice(const peers::WeightsNotice &notice);
    void applyRateLimitNotice(const peers::RateLimitNotice &notice);
    void applyLeavingNotice(const peers::LeavingNotice &notice);
    void waitForSignal();
    void reload();
    void startDrain();
    /// Checks periodically whether the drain is complete, and then ends `run`.
    void continueDrain();
    bool isReady() const;
    /// Returns the times of the drain, or no value while this instance is not draining.
    std::optional<relay::DrainSchedule> drainSchedule() const;

    const EntryOptions options_;
    const Platform platform_;
    const std::uint64_t life_;
    base::EventLog log_;
    base::HybridClock clock_;
    base::TimeLine timeLine_;
    std::atomic<bool> isDraining_{ false };
    Clock::time_point drainStartedAt_{}; ///< Written before `isDraining_` is set.
    /// Time of the last drain check that found a request or an open listener.
    Clock::time_point lastActiveAt_{};

    boost::asio::io_context controlContext_{ 1 };
    boost::asio::io_context trafficContext_{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> controlWork_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> trafficWork_;
    boost::asio::signal_set signals_{ controlContext_, SIGTERM, SIGINT, SIGHUP };
    std::function<std::optional<EntryOptions>()> reload_;

    std::unique_ptr<fleet::Store> store_;
    std::unique_ptr<fleet::EngineControl> engineControl_;
    control::ControlSystem controlSystem_;
    ViewUpdater viewUpdater_;
    PeerMesh peerMesh_;
    QuarantineSharing quarantineSharing_;
    Rollout rollout_;
    net::HttpClient httpClient_;                 ///< Used on the traffic thread.
    Clock::time_point performanceCollectedAt_{}; ///< Used on the traffic thread.
    usage::UsageLimiter usageLimiter_;           ///< Used on the traffic thread.
    dispatch::Placer placer_;
    quarantine::PartQuarantine partQuarantine_; ///< Used by the traffic thread.
    relay::Metrics metrics_;
    relay::Relay relay_;
    std::unique_ptr<net::HttpServer> callerServer_;
    std::unique_ptr<net::HttpServer> readinessServer_;
    std::unique_ptr<net::HttpServer> directoryServer_;
    std::unique_ptr<net::HttpServer> metricsServer_;
    std::thread trafficThread_;
};

} // namespace chervilfield::entry
