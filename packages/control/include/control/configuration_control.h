#pragma once

#include "base/time_line.h"
#include "configuration/configuration.h"
#include "control/control_system.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chervilfield::control {

using configuration::ConfigurationPtr;
using configuration::RevisionNumber;

/// Log entry as daemons exchange it.
struct LogEntry
{
    RevisionNumber revision = 0;
    /// JSON text of the entry, as in the table. If the sender no longer has the entries up to
    /// `revision`, JSON text of the whole configuration at `revision`.
    std::string value;
};

/// Options of `ConfigurationControl`.
struct ConfigurationControlOptions
{
    /// Records each revision that comes into force. Not owned; may be null.
    base::TimeLine *timeLine = nullptr;
    /// Maximum total size of the recent log entries that are kept for peers.
    std::size_t maxRecentBytes = 1U << 20U;
    /// Called on the scheduler thread, with the highest known revision, after each offer or
    /// recorded revision that leaves that revision not in force.
    std::function<void(RevisionNumber)> fetchNeeded;
    /// Called on the scheduler thread after a configuration has come into force.
    std::function<void(const ConfigurationPtr &)> published;
};

/// Actor that owns the configuration in force of a daemon and publishes immutable snapshots of it.
/// The revision in force never decreases. Functions may be called from any thread and do not block.
class ConfigurationControl
{
public:
    ConfigurationControl(ControlSystem &system, ConfigurationControlOptions options);
    /// Stops the actor and waits until it has terminated. Queued messages are dropped, and the
    /// functions of the options are not called afterwards.
    ~ConfigurationControl();
    ConfigurationControl(const ConfigurationControl &) = delete;
    ConfigurationControl &operator=(const ConfigurationControl &) = delete;

    /// Returns the configuration in force, which has revision 0 before the first
    /// offer is applied; never null.
    ConfigurationPtr current() const;

    /// Returns the highest revision that any source has reported.
    RevisionNumber highestKnown() const;

    /// Records that `revision` exists, for example because a peer has it in force.
    void recordKnownRevision(RevisionNumber revision);

    /// Applies log entries, which must be in ascending order, as far as they continue the revision
    /// in force. `source` names their origin in the log and the time line.
    void offerRevisions(std::vector<configuration::Revision> entries, std::string source);
    /// Puts a whole configuration in force if it is newer. Ignores a null pointer. `source` is as
    /// for `offerRevisions`.
    void offerConfiguration(ConfigurationPtr offered, std::string source);

    /// Parses and offers the entries of a peer, up to the first one that cannot be parsed, which is
    /// logged.
    void offerEntries(const std::vector<LogEntry> &entries, const std::string &source);

    /// Returns the entries for a peer that has revision `after` in force, in ascending order; empty
    /// if no later revision is in force. If the entry that follows `after` is no longer kept,
    /// returns the whole configuration as one entry.
    std::vector<LogEntry> entriesAfter(RevisionNumber after) const;

private:
    struct Published;
    struct State;

    std::unique_ptr<State> state_;
};

} // namespace chervilfield::control
