#pragma once

#include "base/boot_clock.h"
#include "base/event_log.h"
#include "fleet/store.h"
#include "quarantine/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace chervilfield::entry {

/// A quarantine as the store keeps it, by the wall clock of the instance that saved it.
struct SavedQuarantine
{
    quarantine::PartKey part = 0;
    std::chrono::milliseconds savedAt{};  ///< Unix time.
    std::chrono::milliseconds duration{}; ///< Remaining time of the quarantine at `savedAt`.
    bool operator==(const SavedQuarantine &) const = default;
};

/// Returns the value of the row that holds the quarantines.
std::string encodeQuarantines(const std::vector<SavedQuarantine> &quarantines);

/// Decodes the value of the row. Omits entries that are malformed or whose duration exceeds
/// `peers::kMaxQuarantineTime`. Sets `error` to `InvalidJson` or `InvalidField` and returns no
/// value if the value is not an object with a list.
std::optional<std::vector<SavedQuarantine>> decodeQuarantines(std::string_view value,
                                                              std::error_code &error);

/// Returns the remaining time of the quarantine at the Unix time `wallNow`, or no value if it has
/// ended. Clocks of instances may differ by `tolerance`: the quarantine ends later by this much,
/// but never lasts longer than its duration from now. A quarantine that was saved later than
/// `tolerance` from now has ended, so that no clock error keeps one for ever.
std::optional<std::chrono::milliseconds> remainingTime(const SavedQuarantine &quarantine,
                                                       std::chrono::milliseconds wallNow,
                                                       std::chrono::milliseconds tolerance);

/// Times of a `QuarantineStore`.
struct QuarantineStoreOptions
{
    std::chrono::milliseconds checkInterval{ 100 }; ///< Interval between checks for changes.
    /// Time that an instance grants to each instance before it to write the row.
    std::chrono::milliseconds standbyDelay{ 1000 };
    std::chrono::milliseconds maxStandbyDelay{ 60'000 }; ///< Maximum total of these times.
    std::size_t maxLiftRank = 2;                         ///< Highest rank that removes quarantines.
    std::chrono::milliseconds minBackoff{ 500 };         ///< Pause after the first failed call.
    /// Limit of the pause, which doubles at each failure.
    std::chrono::milliseconds maxBackoff{ 10'000 };
    /// Maximum difference of wall clocks up to which no quarantine ends early.
    std::chrono::milliseconds clockTolerance{ 120'000 };
    /// Returns the wall clock time.
    std::function<std::chrono::system_clock::time_point()> wallNow =
            &std::chrono::system_clock::now;
};

/// Keeps the quarantines in the platform's store, so that they outlive all instances. All
/// quarantines share one row: the store has no expiry, and each write of the row omits those that
/// have ended. The row is read at the start, after a failed write and before a removal. If the
/// store is restored to an older copy, each instance that has quarantines reads the row again in
/// its turn and writes what it lacks. Runs on the control I/O thread.
class QuarantineStore
{
public:
    using Clock = base::BootClock;

    /// Access to the other parts of the instance.
    struct Hooks
    {
        /// Returns the number of instances that should save a quarantine before this one.
        std::function<std::size_t()> rank;
        /// Called with each quarantine in force that the store holds, after each read.
        std::function<void(const quarantine::QuarantinedPart &)> loaded;
        /// Called with the quarantines that this instance has saved.
        std::function<void(const std::vector<quarantine::QuarantinedPart> &)> saved;
    };

    /// `context`, `store` and `log` must outlive the object.
    QuarantineStore(boost::asio::io_context &context, fleet::Store &store, base::EventLog &log,
                    Hooks hooks, QuarantineStoreOptions options = {});

    /// Reads the row, with retries until the store answers, and then saves what `update` sets. This
    /// runs as long as the context does.
    void start();

    /// Sets the quarantines in force.
    void update(std::vector<quarantine::QuarantinedPart> active, Clock::time_point now);

    /// Records that another instance knows that the store has the quarantine. Has no effect if the
    /// store was restored while the quarantine was in force: the other instance may not know that.
    void markSaved(const quarantine::QuarantinedPart &part, Clock::time_point now);

    /// Removes a quarantine from the store that was lifted before its end. Only the instances with
    /// the lowest ranks do so.
    void lift(quarantine::PartKey part, Clock::time_point now);

    /// Returns true if the store is known to have the quarantine. A saved quarantine that was
    /// extended since by more than twice the clock tolerance must be saved again.
    bool isSaved(const quarantine::QuarantinedPart &part, Clock::time_point now) const;

private:
    void run(const boost::asio::yield_context &yield);
    /// Reads the row. Returns false if the store does not answer.
    bool load(const boost::asio::yield_context &yield);
    /// Writes the row with all unsaved quarantines and without the lifted ones. Returns false if a
    /// call to the store failed.
    bool save(const boost::asio::yield_context &yield);
    /// Forgets what the store is known to have if it was restored since the last call.
    void checkEra(Clock::time_point now);
    /// Records that the row has the quarantine.
    void recordSaved(const quarantine::QuarantinedPart &part, Clock::time_point now);
    bool isSaveDue(Clock::time_point now) const;
    /// Returns the row with the unsaved quarantines and without those that were lifted or ended.
    std::vector<SavedQuarantine>
    updatedRow(const std::vector<quarantine::QuarantinedPart> &unsaved) const;
    std::vector<quarantine::QuarantinedPart> unsavedParts(Clock::time_point now) const;
    std::chrono::milliseconds wallNow() const;
    void sleepFor(std::chrono::milliseconds time, const boost::asio::yield_context &yield);

    boost::asio::io_context &context_;
    fleet::Store &store_;
    base::EventLog &log_;
    Hooks hooks_;
    QuarantineStoreOptions options_;

    std::vector<quarantine::QuarantinedPart> active_; ///< Argument of the last `update`.
    std::optional<Clock::time_point> pendingSince_;   ///< No value if the row is up to date.
    std::map<quarantine::PartKey, Clock::time_point> savedUntil_;
    /// Lifted quarantines that the row may still hold, and when the row cannot hold them any more.
    std::map<quarantine::PartKey, Clock::time_point> lifted_;
    std::vector<SavedQuarantine> row_; ///< Content of the row at the last read or write.
    fleet::StoreVersion rowVersion_;   ///< Version 0 if there is no row.
    bool isRowKnown_ = false;          ///< False if another instance may have changed the row.
    bool isLoaded_ = false;            ///< Whether the row has ever been read.
    /// Whether the store was restored since the row was last read.
    bool isRestored_ = false;
    std::uint64_t era_ = 0; ///< Latest known era of the store.
    /// Quarantines that were in force when the store was restored, until this instance has read or
    /// written them.
    std::set<quarantine::PartKey> unconfirmed_;
    /// Lifted quarantines that the row no longer holds, and when no row can hold them any more. A
    /// restored row may hold them again.
    std::map<quarantine::PartKey, Clock::time_point> removed_;
};

} // namespace chervilfield::entry
