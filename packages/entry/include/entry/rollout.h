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

/// Options of the rollout of weights to the engines.
struct RolloutOptions
{
    std::string instance;
    leases::LeaseTimes lease{ .duration = std::chrono::milliseconds(3000),
                              .orderLifetime = std::chrono::milliseconds(600) };
    leases::FencingMode fencingMode = leases::FencingMode::Enforced;
    /// Maximum share of the engines that load weights at the same time. The others must carry the
    /// traffic, and loads take longer if more than about a fifth of the engines load.
    double maxParallelShare = 0.2;
    std::size_t minParallelLoads = 2; ///< Loads that are allowed however few engines there are.
    /// Interval between checks for pending tasks.
    std::chrono::milliseconds tickInterval{ 100 };
    /// Time without progress that an instance grants to each instance before it in the order of
    /// names.
    std::chrono::milliseconds standbyDelay{ 1500 };
    /// Interval between state polls of a loading engine.
    std::chrono::milliseconds statePollInterval{ 100 };
    /// Maximum wait for a load, which is then retried.
    std::chrono::milliseconds loadTimeout{ 6000 };
    /// Maximum age of the state that an engine returns. If an order got no answer and the
    /// engine is idle in a state polled this much later, the engine has not taken the order.
    std::chrono::milliseconds maxStateAge{ 500 };
    /// Minimum time between two attempts at an engine.
    std::chrono::milliseconds retryDelay{ 400 };
    /// Minimum time between reads of the lease row by an instance that does not hold the lease.
    std::chrono::milliseconds leaseReadInterval{ 500 };
    /// Time without an order after which the lease is released, so that the next holder need not
    /// wait for it to expire. It must be longer than the time within which the lease must not
    /// alternate between two holders.
    std::chrono::milliseconds leaseIdleTimeout{ 4000 };
};

/// A load of weights that an engine needs.
struct LoadTask
{
    fleet::Target target;
    std::string model;
    std::uint64_t currentVersion = 0; ///< Version that the engine has loaded.
    std::uint64_t desiredVersion = 0; ///< Version that the operator asks for.
};

/// Stage of a load of weights.
enum class LoadStage {
    Begun,    ///< The engine has been ordered to load the weights, or is already loading.
    NotTaken, ///< The engine is not loading, so the load will be tried again.
    Done,     ///< The engine has the weights.
};

/// Brings engines to the weight versions that the operator asks for. One instance at a time sends
/// orders to engines, under a lease in the store. Runs on the control I/O thread.
class Rollout
{
public:
    /// Access to the other parts of the instance.
    struct Hooks
    {
        std::function<fleet::ViewPtr()> view;                      ///< Returns the latest view.
        std::function<std::vector<std::string>()> liveInstances;   ///< Returns sorted names.
        std::function<void(const LoadTask &, LoadStage)> progress; ///< Called at each stage.
    };

    /// `store`, `engineControl` and `log` must outlive the object.
    Rollout(boost::asio::io_context &context, fleet::Store &store,
            fleet::EngineControl &engineControl, base::EventLog &log, Hooks hooks,
            RolloutOptions options);

    /// Starts the rollout, which runs as long as the context does.
    void start();

private:
    using Clock = std::chrono::steady_clock;

    /// What is known about an order to an engine before the engine's state is polled.
    struct SentOrder
    {
        Clock::time_point sentAt;
        bool isTaken = false; ///< The engine executes this order or an earlier one.
        bool wasBusy = false; ///< The state of the engine has shown that it executes an order.
    };

    void run(const boost::asio::yield_context &yield);
    /// Returns the loads that ready engines need, lowest loaded version first.
    std::vector<LoadTask> pendingTasks() const;
    /// Sets `pendingSince_` to `now` if the pending tasks have changed since the last call.
    void updateProgress(const std::vector<LoadTask> &pending, Clock::time_point now);
    /// Returns true if this instance holds the lease, or if those before it in the order of names
    /// have made no progress in the time that they were granted. An instance that is not among the
    /// live ones comes last.
    bool mayLead(Clock::time_point now) const;
    bool holdsLease() const;
    /// Records when this instance learned of the era of the store.
    void observeEra();
    /// Returns true if the lease with the row `current`, which was read in the latest era, may be
    /// taken.
    bool mayTake(const std::optional<leases::LeaseRow> &current) const;
    /// Acquires or renews the lease as needed. Returns true if this instance holds it.
    bool ensureLease(const boost::asio::yield_context &yield);
    /// Reads the row and writes it if the lease may be taken. A lease that is held from an earlier
    /// era of the store stays held if that fails.
    bool acquireLease(const boost::asio::yield_context &yield);
    void renewLease(const boost::asio::yield_context &yield);
    void releaseLease(const boost::asio::yield_context &yield);
    std::size_t maxParallelLoads() const;
    /// Starts the loads of `tasks` that the limit permits. Engines that have not been tried come
    /// first, then those whose last attempt ended first.
    void startLoads(std::vector<LoadTask> tasks);
    void load(const LoadTask &task, const boost::asio::yield_context &yield);
    /// Polls the engine until it has the desired version or the load has ended otherwise, and
    /// records the result.
    void followLoad(const LoadTask &task, const SentOrder &order,
                    const boost::asio::yield_context &yield);
    void recordNotTaken(const LoadTask &task);
    void recordLoaded(const LoadTask &task, std::string_view how);
    void sleepFor(std::chrono::milliseconds time, const boost::asio::yield_context &yield);

    boost::asio::io_context &context_;
    fleet::Store &store_;
    fleet::EngineControl &engineControl_;
    base::EventLog &log_;
    Hooks hooks_;
    RolloutOptions options_;
    leases::ClockBounds clockBounds_;

    std::optional<leases::HeldLease> heldLease_;
    std::optional<leases::Observation> observation_;
    /// Time of the last change of the pending tasks, no value while nothing is pending or loading.
    std::optional<Clock::time_point> pendingSince_;
    /// Hash of the pending tasks. It changes when the lease holder makes progress.
    std::uint64_t pendingTasksHash_ = 0;
    Clock::time_point leaseReadAt_{};
    std::uint64_t highestFence_ = 0; ///< Highest fencing token that was read, issued or refused.
    std::uint64_t era_ = 0;          ///< Latest known era of the store.
    leases::SteadyTime eraSeenAt_{}; ///< When this instance learned of `era_`.
    /// Time until which no other instance can hold the lease, because this one had it.
    leases::SteadyTime exclusiveUntil_{};
    Clock::time_point lastOrderAt_{};
    /// Versions by model that an engine run is known to have loaded, by engine id and start time.
    /// The registration of the engine follows later.
    std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, std::uint64_t>>
            seenWeights_;
    std::set<std::string> loadingEngines_; ///< Ids of engines being loaded.
    /// Earliest next attempt, by id of each engine that was tried since loads were last pending.
    std::map<std::string, Clock::time_point> retryAt_;
};

} // namespace chervilfield::entry
