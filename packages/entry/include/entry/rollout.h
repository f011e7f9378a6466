#pragma once

#include "base/event_log.h"
#include "fleet/engine_control.h"
#include "fleet/store.h"
#include "fleet/view.h"
#include "leases/lease.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilfield::entry {

struct RolloutOptions
{
    std::string instance;
    leases::LeaseTimes lease{ .duration = std::chrono::milliseconds(3000),
                              .orderLifetime = std::chrono::milliseconds(600) };
    leases::FenceCheck fencingMode = leases::FenceCheck::Checked;
    /// Share of a pool's engines that load weights at the same time. The others carry its traffic,
    /// and loads take longer beyond about a fifth.
    double maxParallelShare = 0.2;
    std::size_t minParallelLoads = 2;
    std::chrono::milliseconds tickInterval{ 100 };
    /// Time that an instance waits for those before it in the order of names to act.
    std::chrono::milliseconds standbyDelay{ 1500 };
    std::chrono::milliseconds statePollInterval{ 250 }; ///< Of an engine that loads weights.
    std::chrono::milliseconds loadTimeout{ 6000 };      ///< Then an engine is asked again later.
    std::chrono::milliseconds retryDelay{ 400 };        ///< Before an engine is tried again.
    std::chrono::milliseconds leaseReadInterval{ 500 }; ///< While another instance holds it.
    /// The lease is given up after this time without an order, so that the next holder need not
    /// wait. Longer than the time within which two holders must not take turns.
    std::chrono::milliseconds leaseIdleTimeout{ 4000 };
};

/// An engine and the weights that it should have.
struct LoadTask
{
    fleet::Target target;
    std::string model;
    std::uint64_t currentVersion = 0; ///< Version that the engine has.
    std::uint64_t desiredVersion = 0; ///< Version that it should have.
};

/// Brings engines to the weights that the operator has named. One instance at a time gives orders,
/// under a lease in the store. Runs on the control I/O thread.
class Rollout
{
public:
    struct Hooks
    {
        std::function<fleet::ViewPtr()> view;
        std::function<std::vector<std::string>()> liveInstances; ///< Sorted names.
        /// Told when an engine starts to load, and when it has other weights.
        std::function<void(const LoadTask &, bool isDone)> progress;
    };

    /// `store`, `engines` and `log` outlive the object.
    Rollout(boost::asio::io_context &context, fleet::Store &store,
            fleet::EngineControl &engineControl, base::EventLog &log, Hooks hooks,
            RolloutOptions options);

    void start();

private:
    using Clock = std::chrono::steady_clock;

    void run(const boost::asio::yield_context &yield);
    std::vector<LoadTask> pendingTasks() const;
    void updateProgress(const std::vector<LoadTask> &pending, Clock::time_point now);
    bool mayLead(Clock::time_point now) const;
    bool holdsLease() const;
    bool ensureLease(const boost::asio::yield_context &yield);
    bool acquireLease(const boost::asio::yield_context &yield);
    void renewLease(const boost::asio::yield_context &yield);
    void releaseLease(const boost::asio::yield_context &yield);
    std::size_t maxParallelLoads() const;
    void startLoads(const std::vector<LoadTask> &tasks);
    void load(const LoadTask &task, const boost::asio::yield_context &yield);
    bool waitForLoad(const LoadTask &task, const boost::asio::yield_context &yield);
    void recordLoaded(const LoadTask &task, std::string_view how);
    void sleepFor(std::chrono::milliseconds time, const boost::asio::yield_context &yield);

    boost::asio::io_context &context_;
    fleet::Store &store_;
    fleet::EngineControl &engineControl_;
    base::EventLog &log_;
    Hooks hooks_;
    RolloutOptions options_;
    leases::ClockBounds clockBounds_;

    std::optional<leases::Holding> holding_;
    std::optional<leases::Observation> observation_;
    std::optional<Clock::time_point> pendingSince_; ///< Or since the last progress.
    std::uint64_t pendingTasksHash_ =
            0; ///< Hash of the open tasks, to notice progress of the holder.
    Clock::time_point leaseReadAt_{};
    std::uint64_t highestRefusedToken_ = 0; ///< Highest fencing number that was refused.
    Clock::time_point lastOrderAt_{};
    /// Weights that engine runs were seen with, ahead of what they register.
    std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, std::uint64_t>>
            seenWeights_;
    std::set<std::string> loadingEngines_;             ///< Engine ids.
    std::map<std::string, Clock::time_point> retryAt_; ///< By engine id.
};

} // namespace chervilfield::entry
