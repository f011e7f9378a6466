#pragma once

#include "configuration/configuration.h"
#include "configuration/validation.h"
#include "platform/platform_client.h"

#include <boost/asio/spawn.hpp>

#include <cstddef>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::control {

struct ConfigurationLogOptions
{
    std::size_t pageSize = 256; ///< Rows per list request.
    /// Revisions between two snapshot objects. A start with the table down reads one object for
    /// each revision after the snapshot.
    configuration::RevisionNumber snapshotInterval = 16;
};

struct ApplyRequest
{
    configuration::Change change;
    bool dryRun = false;
};

struct ApplyResult
{
    /// With success, the revision of the change; in a dry run the one it would get. With
    /// `RevisionConflict`, the latest revision seen.
    configuration::RevisionNumber revision = 0;
    std::vector<configuration::ValidationError> errors;
    std::vector<configuration::Difference> differences;
    /// Log entries read meanwhile and, unless it was a dry run, the change itself, in ascending
    /// order. The caller offers them to the owner of the configuration in force.
    std::vector<configuration::Revision> entries;
    configuration::ConfigurationPtr configuration; ///< With the change applied.
};

/// The configuration log in the platform's services. The row `config/log/<revision>` in the table
/// decides which change wins a revision. Copies of the entries and snapshots in the object service
/// serve starts while the table is down.
///
/// Holds no state; functions may run in several coroutines of one thread.
class ConfigurationLog
{
public:
    ConfigurationLog(platform::PlatformClient &platform, ConfigurationLogOptions options);

    /// Returns the entries after `after`, without gaps. One request if there are less than
    /// `pageSize`. A stale read may leave out the latest entries. Sets `StoreUnavailable` if the
    /// table does not answer; entries read before are returned.
    std::vector<configuration::Revision> readAfter(configuration::RevisionNumber after,
                                                   boost::asio::yield_context yield,
                                                   std::error_code &error);

    /// As `readAfter`, but confirms by a request that cannot be stale that there is no later entry.
    /// For starts: a daemon must not begin below a revision that was in force before.
    std::vector<configuration::Revision> readLatestAfter(configuration::RevisionNumber after,
                                                         boost::asio::yield_context yield,
                                                         std::error_code &error);

    /// Returns the snapshot object, or sets `NotFound` or `StoreUnavailable`.
    configuration::ConfigurationPtr readSnapshot(boost::asio::yield_context yield,
                                                 std::error_code &error);

    /// Returns the copies of entries in the object service, up to the first that is missing. Sets
    /// `StoreUnavailable` if the service does not answer.
    std::vector<configuration::Revision> readObjectsAfter(configuration::RevisionNumber after,
                                                          boost::asio::yield_context yield,
                                                          std::error_code &error);

    /// Applies a change on top of `inForce` and what the table has after it.
    ///
    /// Errors: `RevisionConflict` if another change has the revision after the base, or the base is
    /// not in the log; nothing of this change took effect. `ValidationFailed` with `errors`.
    /// `StoreUnavailable` if nothing was written. `WriteUndecided` if the change may have taken
    /// effect. A repetition with the same write id succeeds if the change has taken effect before.
    ApplyResult apply(const configuration::ConfigurationPtr &inForce, const ApplyRequest &request,
                      boost::asio::yield_context yield, std::error_code &error);

    /// Copies an accepted entry, and at every `snapshotInterval`-th revision the snapshot, to the
    /// object service. A failure is logged; the table has the entry.
    void publishObjects(const configuration::Revision &entry,
                        const configuration::Configuration &configuration,
                        boost::asio::yield_context yield);

private:
    bool hasWon(const configuration::Revision &entry, const ApplyResult &result,
                boost::asio::yield_context yield, std::error_code &error);

    platform::PlatformClient &platform_;
    ConfigurationLogOptions options_;
};

/// Returns the key of the table row, and the name of the object, of a revision.
std::string logKey(configuration::RevisionNumber revision);

} // namespace chervilfield::control
