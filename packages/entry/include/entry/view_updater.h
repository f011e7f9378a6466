#pragma once

#include "base/boot_clock.h"
#include "base/event_log.h"
#include "entry/store_eras.h"
#include "fleet/deployment_schema.h"
#include "fleet/store.h"
#include "fleet/store_clock.h"
#include "fleet/view.h"
#include "peers/exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <tuple>
#include <vector>

namespace chervilfield::entry {

/// Options for following the store. The defaults suit a deployment in which a target that has
/// deregistered accepts requests for two seconds.
struct ViewUpdaterOptions
{
    /// Maximum wait of one long poll for changes. A response also shows that the store is
    /// reachable; an unresponsive store is detected after this time.
    std::chrono::milliseconds longPollTimeout{ 700 };
    /// Interval between polls of the instances that follow the store, and between polls of the
    /// store that do not wait for changes. Also the pause after a change of the targets: many
    /// change at once, and the platform bills each response.
    std::chrono::milliseconds pollInterval{ 400 };
    /// Maximum age of the store's last responses for rows to count as up to date. Together with
    /// `pollInterval` it must be less than the time for which a target that has deregistered still
    /// accepts requests.
    std::chrono::milliseconds maxCurrentAge{ 1'000 };
    std::chrono::milliseconds minBackoff{ 100 }; ///< Pause after the first failed poll.
    /// Limit of the pause, which doubles at each failure.
    std::chrono::milliseconds maxBackoff{ 1000 };
    /// Time without confirmation after which the view no longer counts as fresh.
    std::chrono::milliseconds maxFreshAge{ 3'000 };
    /// Time within which targets register again whose registrations expired during an outage.
    std::chrono::milliseconds reregistrationTime{ 2000 };
    /// Age at the start of this instance that is assumed for weight versions in its first copy of
    /// the deployment, as long as no peer knows their age.
    std::chrono::milliseconds assumedWeightsAge{ 0 };
    /// Time after the start in which peers are asked for these ages.
    std::chrono::milliseconds settleTime{ 3000 };
    /// Time without a response from the store in which registrations may have expired.
    std::chrono::milliseconds outageThreshold{ 1500 };
};

/// Result of a poll of the instances that follow the store.
enum class FollowerResult {
    NotPolled, ///< This instance has to follow the store itself.
    UpToDate,  ///< A follower that reaches the store has sent its rows.
    Failed,    ///< No follower responds and reaches the store.
};

/// Keeps a copy of the tables that describe the deployment and publishes views of it. Follows the
/// store, or polls the instances that do. Runs on the control I/O thread, except for `view()` and
/// `isFresh()`.
class ViewUpdater
{
public:
    using Clock = base::BootClock;

    /// Callbacks to the other parts of the instance.
    struct Hooks
    {
        /// Called with each new view.
        std::function<void(const fleet::ViewPtr &)> published;
        /// Polls the instances that follow the store for one table, unless this instance is one of
        /// them. May be empty.
        std::function<FollowerResult(const std::string &table, const boost::asio::yield_context &)>
                pollFollower;
    };

    /// `store`, `schema` and `log` must outlive the object.
    ViewUpdater(boost::asio::io_context &context, fleet::Store &store,
                const fleet::DeploymentSchema &schema, base::EventLog &log, Hooks hooks,
                ViewUpdaterOptions options = {});

    /// Starts to follow the tables, which continues as long as the context runs.
    void start();

    /// Returns the latest view, which is never null and empty at first. May be called on any
    /// thread.
    fleet::ViewPtr view() const { return view_.load(); }

    /// Returns true if the store, or a peer that reaches it, confirmed every table within
    /// `maxFreshAge`. May be called on any thread.
    bool isFresh() const;

    /// Returns the time since the store, or a peer that reaches it, confirmed every table. May be
    /// called on any thread.
    std::chrono::milliseconds confirmedAge() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(age());
    }

    /// Returns true if the store responded for every table within `maxCurrentAge`.
    bool isStoreReachable() const;

    /// Returns true if the store, or a peer that reaches it, confirmed every table within
    /// `maxCurrentAge`.
    bool isCurrent() const { return age() < options_.maxCurrentAge; }

    /// Returns true if the store did not respond to the last poll for the table.
    bool isPollFailing(const std::string &table) const;

    /// Returns the version of the newest row other than a target, in `storeEra()`. Instances send
    /// it to each other, so that one that missed a change learns of it.
    std::uint64_t revision() const;

    /// Returns the latest era of the store of which a table other than that of the targets was
    /// read.
    std::uint64_t storeEra() const;

    /// Reads the tables from the store again that are of an earlier era. Must be called when a peer
    /// knows the era `storeEra`.
    void requestEra(std::uint64_t storeEra);

    /// Returns the rows that a peer asks for. `revisionInForce` is the version of the store up to
    /// which they are complete, or 0 if they may be out of date.
    peers::ConfigurationEntries entries(const peers::EntriesQuery &query) const;

    /// Applies the rows of `table` that a peer has sent, or those of all tables if `table` is
    /// empty. They were requested at `requestedAt`. Returns true if they are up to date, because
    /// the peer reaches the store. Does not merge rows of another era of the store. Those of a
    /// later one are read from the store, or taken from the peer if the store is unreachable and
    /// the peer has sent the whole tables.
    bool merge(const peers::ConfigurationEntries &entries, Clock::time_point requestedAt,
               const std::string &table = {});

    /// Returns true if this instance has just started and assumes the age of a weights version that
    /// a peer may know.
    bool needsWeightsAges() const;

    /// Returns the version of the store up to which the changes of `table` are known, or of every
    /// table if it is empty.
    std::uint64_t version(const std::string &table = {}) const
    {
        return storeVersion(table).version;
    }

    /// Returns the same with its era. If the tables are of different eras, it is that of the
    /// earliest one.
    fleet::StoreVersion storeVersion(const std::string &table = {}) const;

    const fleet::DeploymentSchema &schema() const { return schema_; }

private:
    /// Returns the time since the oldest confirmation of a table.
    Clock::duration age() const { return Clock::now() - confirmedAt_.load(); }
    /// Recomputes `confirmedAt_` after a response of the store or a peer.
    void updateConfirmedAt();
    /// Polls the store or the followers for one table, without end.
    void followTable(const std::string &table, const boost::asio::yield_context &yield);
    /// Polls the store for changes and waits up to `wait` for one. Returns false if the store does
    /// not respond.
    bool pollStore(const std::string &table, std::chrono::milliseconds wait,
                   const boost::asio::yield_context &yield);
    void recordStoreResponse(const std::string &table);
    /// Records that the store, or a peer that reaches it, confirmed the table of targets. Detects
    /// the end of an outage.
    void recordTargetsConfirmed();
    void recordFollowerResult(const std::string &table, FollowerResult result);
    void recordStoreFailure(const std::string &table, Clock::time_point pollStartedAt,
                            const std::error_code &error);
    /// What is known about the times at which new weights versions were set.
    struct WeightsEvidence
    {
        /// Time up to which they were not set; no value if this instance has just started.
        std::optional<Clock::time_point> setAfter;
        /// Ages that a peer knew at `requestedAt` or later.
        std::vector<peers::WeightsAge> peerAges;
        Clock::time_point requestedAt;
    };

    /// Publishes a view of the current rows.
    void rebuildView(const WeightsEvidence &evidence = {});
    /// Records that the copy of the table was the newest one at `time` or later.
    void recordCopy(const std::string &table, Clock::time_point time);
    /// Returns `table`, or all tables if it is empty. The list is empty for an unknown table.
    std::vector<std::string> selectTables(const std::string &table) const;
    /// Returns true if a peer knows a later era than that of the table, which must be read again.
    bool isEraRequested(const std::string &table) const;
    /// Records that the store was restored to an older copy before `copy` of the table was read.
    void beginEra(const std::string &table, const fleet::StoreRows &copy);
    /// Returns true if the rows that a peer has sent may be applied to the tables. Otherwise they
    /// are of another era, or not all of them have arrived.
    bool mayMerge(const std::map<std::string, fleet::StoreRows> &rows,
                  const std::vector<std::string> &tables);
    /// Returns true if the store responded for the table within `maxCurrentAge`.
    bool isStoreResponding(const std::string &table) const;
    /// Returns the time up to which all changes of the tables are known, or no value if a table has
    /// not been read yet.
    std::optional<Clock::time_point> completeUntil(const std::vector<std::string> &tables) const;
    /// Adds ready targets of the last view that have no row, while registrations may be missing
    /// because of an outage.
    void retainUnlistedTargets(std::vector<fleet::Target> &targets);
    /// Schedules a rebuild for the end of the time for which the last view retains targets without
    /// a row. Does nothing if it has none, or while their table is unconfirmed. Must be called
    /// after each change of either, since a change of a row, which rebuilds the view as well, may
    /// never follow.
    void scheduleRetentionEnd();
    /// Adds new desired versions to the history. They were not set before `knownUntil`, which has
    /// no value if this instance has just started.
    void recordDesiredWeights(const std::map<std::string, std::uint64_t> &weights,
                              std::optional<Clock::time_point> knownUntil);
    /// Applies the ages that a peer knows. Returns true if that changes the history.
    bool applyPeerAges(const WeightsEvidence &evidence);
    /// Applies an age that a peer knows to the history of the model. Returns true if that changes
    /// the history.
    static bool applyPeerAge(std::vector<fleet::DesiredVersion> &history,
                             const peers::WeightsAge &age, Clock::time_point requestedAt);
    /// Returns the ages of versions in the history that are known, for a peer.
    std::vector<peers::WeightsAge> weightsAges() const;
    void scheduleRebuild(std::chrono::milliseconds delay);
    /// Returns the rows of one version as an entry, compressed if it is large.
    peers::ConfigurationEntry
    compressedEntry(const std::string &table, const fleet::StoreVersion &version,
                    const std::vector<const fleet::StoreRow *> &rows) const;

    boost::asio::io_context &context_;
    fleet::Store &store_;
    const fleet::DeploymentSchema &schema_;
    base::EventLog &log_;
    Hooks hooks_;
    ViewUpdaterOptions options_;
    fleet::TableReplicas tables_;
    /// Last response of the store by table.
    std::map<std::string, Clock::time_point> storeRespondedAt_;
    /// Last response of a peer that reaches the store, by table.
    std::map<std::string, Clock::time_point> peerRespondedAt_;
    std::map<std::string, FollowerResult> followerResults_; ///< Of the last poll, by table.
    std::map<std::string, bool> failingTables_; ///< Whether the last poll failed, by table.
    Clock::time_point targetsConfirmedAt_{};    ///< Confirmation by the store or a peer.
    /// Start of the first failed poll for targets since they were last confirmed. Until the next
    /// confirmation, a target without a row may still be serving.
    std::optional<Clock::time_point> targetsUnconfirmedSince_;
    Clock::time_point storeRecoveredAt_{}; ///< End of the last outage.
    fleet::StoreClock storeClock_;
    /// Time up to which all changes are known, by table.
    std::map<std::string, Clock::time_point> completeUntil_;
    /// Key of a compressed entry. The rows of a version do not change, but each may be replaced by
    /// a later version, and deletions may be added when they become known.
    struct EntryKey
    {
        fleet::StoreVersion version;
        /// Table, key and whether it is deleted, of each row.
        std::vector<std::tuple<std::string, std::string, bool>> rows;
        std::string table;
        auto operator<=>(const EntryKey &) const = default;
    };
    /// Large entries of the latest versions, since many peers ask for the same ones.
    mutable std::map<EntryKey, peers::ConfigurationEntry> compressedEntries_;
    /// Latest era that a peer has stated, by table that must be read again because of it.
    std::map<std::string, std::uint64_t> requestedEras_;
    std::uint64_t highestRequestedEra_ = 0; ///< Highest argument of `requestEra`.
    PreviousTargets previousTargets_;
    /// Time until which changes that the store has lost may not have been written again.
    Clock::time_point eraSettledAt_{};
    std::size_t retainedTargetCount_ = 0;      ///< Targets of the last view that have no row.
    boost::asio::steady_timer retentionTimer_; ///< Rebuilds the view without these targets.
    /// Era in which the row of the last configuration was read.
    std::uint64_t configurationEra_ = 0;
    Clock::time_point startedAt_ = Clock::now();
    fleet::WeightsHistory weightsHistory_;
    std::map<std::string, std::string> reportedReasons_; ///< Last logged reason by rejected row.
    std::atomic<fleet::ViewPtr> view_;
    /// Oldest confirmation of a table, by the store or by a peer that reaches it.
    std::atomic<Clock::time_point> confirmedAt_{ Clock::time_point{} };
};

} // namespace chervilfield::entry
