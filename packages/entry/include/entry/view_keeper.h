#pragma once

#include "base/event_log.h"
#include "fleet/documents.h"
#include "fleet/store.h"
#include "fleet/view.h"
#include "peers/transfer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::entry {

struct ViewUpdaterOptions
{
    /// Longest wait of one question for changes. An answer also shows that the store is there; a
    /// silent store is found after this time.
    std::chrono::milliseconds longPollTimeout{ 700 };
    /// Pause between questions to instances that follow the store, and after a change of the
    /// targets before the next question: many of them change at once, and each answer is billed.
    std::chrono::milliseconds pollInterval{ 400 };
    /// Age of the store's last answers up to which rows are called up to date. With `feedPause`,
    /// less than the time for which a target that leaves takes work.
    std::chrono::milliseconds maxCurrentAge{ 1'000 };
    std::chrono::milliseconds minBackoff{ 100 };
    std::chrono::milliseconds maxBackoff{ 1000 };
    /// Time without an answer after which the view is not known to be up to date.
    std::chrono::milliseconds maxFreshAge{ 3'000 };
    /// Registrations that ran out while the store was away return within this time.
    std::chrono::milliseconds reregistrationTime{ 2000 };
    /// Weights that were named before this instance started count as named this long before. The
    /// platform takes an instance for settled three seconds after its start.
    std::chrono::milliseconds initialWeightsAge{ 0 };
    /// A silence of the store of this length may have let registrations run out.
    std::chrono::milliseconds outageThreshold{ 1500 };
};

/// What became of a question to the instances that follow the store.
enum class FollowerResult {
    NotAsked, ///< This instance has to follow it itself.
    UpToDate, ///< The rows were taken from one that the store answers.
    Failed,   ///< The store answers none of them, or they do not answer.
};

/// Keeps a copy of the tables that describe the deployment, by following the store or by asking the
/// instances that follow it, and publishes views of it. Runs on the control I/O
/// thread, except for `view()` and `isFresh()`.
class ViewUpdater
{
public:
    using Clock = std::chrono::steady_clock;

    struct Hooks
    {
        std::function<void(const fleet::ViewPtr &)> published;
        /// Asks the instances that follow the store, unless this one is one of them.
        std::function<FollowerResult(const boost::asio::yield_context &)> pollFollower;
    };

    /// `store`, `documents` and `log` outlive the object.
    ViewUpdater(boost::asio::io_context &context, fleet::Store &store,
                const fleet::Documents &documents, base::EventLog &log, Hooks hooks,
                ViewUpdaterOptions options = {});

    /// Starts to follow the store.
    void start();

    /// Returns the latest view, empty but never null. Safe from any thread.
    fleet::ViewPtr view() const { return view_.load(); }

    /// Returns true if the store or a peer has confirmed the view lately. Safe from any thread.
    bool isFresh() const;

    /// Returns true if the store has told of all tables lately.
    bool isStoreReachable() const;

    /// Returns true if the store, or a peer that it answers, has told of all tables lately.
    bool isCurrent() const { return age() < options_.maxCurrentAge; }

    /// Returns true if the last question for the table got no answer.
    bool isPollFailing(const std::string &table) const;

    /// Returns the version of the newest row other than a target. Instances tell it to each other,
    /// so that one that missed a change learns of it.
    std::uint64_t revision() const;

    /// Returns what changed after a version of the store, for a peer.
    peers::ConfigurationEntries entriesAfter(std::uint64_t version) const;

    /// Takes what a peer knows. Returns true if the store answers the peer, so that what it knows
    /// is up to date.
    bool merge(const peers::ConfigurationEntries &entries);

    /// Returns the version up to which every table is known.
    std::uint64_t version() const;

private:
    /// Returns the time since all tables were last known to be up to date.
    Clock::duration age() const { return Clock::now() - confirmedAt_.load(); }
    /// Notes that the store has told of the table, or a peer of all tables.
    void updateConfirmedAt();
    void followTable(const std::string &table, const boost::asio::yield_context &yield);
    /// Asks the store for changes, which may wait for one. Returns false if it does not answer.
    bool pollStore(const std::string &table, std::chrono::milliseconds wait,
                   const boost::asio::yield_context &yield);
    void recordStoreAnswer(const std::string &table);
    /// Records that the store, or a peer that it answers, has told of the targets.
    void recordTargetsConfirmed();
    void recordFollowerResult(FollowerResult answer);
    void recordStoreFailure(const std::string &table, Clock::time_point startedAt,
                            const std::error_code &error);
    void rebuildView();
    void retainUnlistedTargets(std::vector<fleet::Target> &targets);
    void recordDesiredWeights(const std::map<std::string, std::uint64_t> &weights);
    void scheduleRebuild(std::chrono::milliseconds delay);

    boost::asio::io_context &context_;
    fleet::Store &store_;
    const fleet::Documents &documents_;
    base::EventLog &log_;
    Hooks hooks_;
    ViewUpdaterOptions options_;
    fleet::Tables tables_;
    std::map<std::string, Clock::time_point>
            storeAnsweredAt_;            ///< The store's last answer by table.
    Clock::time_point peerAnsweredAt_{}; ///< Last answer of a peer that the store answers.
    FollowerResult followerResult_ = FollowerResult::NotAsked; ///< Last answer.
    std::map<std::string, bool> failingTables_;                ///< By table.
    Clock::time_point targetsConfirmedAt_{};                   ///< By the store or a peer.
    /// Start of the first question for targets without an answer since they were last confirmed. A
    /// target without a row may serve all the same.
    std::optional<Clock::time_point> targetsUnconfirmedSince_;
    Clock::time_point storeRecoveredAt_{}; ///< End of the last outage.
    fleet::WeightsHistory weightsHistory_;
    std::map<std::string, std::string>
            reportedReasons_; ///< Reason by rejected row, to log it once.
    std::atomic<fleet::ViewPtr> view_;
    /// Oldest confirmation of a table, by the store or by a peer that it answers.
    std::atomic<Clock::time_point> confirmedAt_{ Clock::time_point{} };
};

} // namespace chervilfield::entry
