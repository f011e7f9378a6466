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

/// One log entry as daemons exchange it. The value is the text of the row in the table, or a whole
/// configuration of that revision if the sender no longer has the entries up to it.
struct LogEntry
{
    RevisionNumber revision = 0;
    std::string value;
};

struct ConfigurationControlOptions
{
    base::TimeLine *timeLine = nullptr;     ///< Records each revision that comes in force.
    std::size_t maxRecentBytes = 1U << 20U; ///< Log entries kept for peers.
    /// Called on the scheduler thread when a revision is known that is not in force.
    std::function<void(RevisionNumber)> fetchNeeded;
    /// Called on the scheduler thread after a configuration has come in force.
    std::function<void(const ConfigurationPtr &)> published;
};

/// Owner of the configuration in force of a daemon: an actor whose snapshots any thread may read.
/// The revision never decreases. Functions may be called from any thread and do not block.
class ConfigurationControl
{
public:
    ConfigurationControl(ControlSystem &system, ConfigurationControlOptions options);
    /// Stops the actor and waits until it has ended; the functions of the options are not called
    /// afterwards. Messages that it has not handled are dropped.
    ~ConfigurationControl();
    ConfigurationControl(const ConfigurationControl &) = delete;
    ConfigurationControl &operator=(const ConfigurationControl &) = delete;

    /// Returns the configuration in force, at revision 0 before the first offer; never null.
    ConfigurationPtr current() const;

    /// Returns the highest revision that any source has mentioned.
    RevisionNumber highestKnown() const;

    /// Tells that `revision` exists, for example because a peer has it in force.
    void recordKnownRevision(RevisionNumber revision);

    /// Offers entries in ascending order. `source` names the sender in the time line.
    void offerRevisions(std::vector<configuration::Revision> entries, std::string source);
    void offerConfiguration(ConfigurationPtr offered, std::string source);

    /// Parses and offers the entries of a peer. Entries that cannot be parsed are logged and end
    /// the list.
    void offerEntries(const std::vector<LogEntry> &entries, const std::string &source);

    /// Returns the entries after `after` for a peer, in ascending order.
    std::vector<LogEntry> entriesAfter(RevisionNumber after) const;

private:
    struct Published;
    struct State;

    std::unique_ptr<State> state_;
};

} // namespace chervilfield::control
