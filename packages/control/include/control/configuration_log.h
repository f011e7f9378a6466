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

/// Options of `ConfigurationLog`.
struct ConfigurationLogOptions
{
    std::size_t pageSize = 256; ///< Maximum number of rows per list request.
    /// Number of revisions between two snapshot objects. While the table is down, a start reads one
    /// object for each revision after the snapshot.
    configuration::RevisionNumber snapshotInterval = 16;
};

/// Arguments of `ConfigurationLog::apply`.
struct ApplyRequest
{
    configuration::Change change;
    bool dryRun = false; ///< True if the change is only validated and compared, not written.
};

/// Result of `ConfigurationLog::apply`.
struct ApplyResult
{
    /// On success, the revision of the change, or in a dry run the revision that it would get. On
    /// `RevisionConflict`, the latest revision seen.
    configuration::RevisionNumber revision = 0;
    std::vector<configuration::ValidationError> errors;
    std::vector<configuration::Difference> differences;
    /// Log entries that were read and, unless it was a dry run, the change itself, in ascending
    /// order. The caller must offer them to `ConfigurationControl`.
    std::vector<configuration::Revision> entries;
    /// On success, the configuration with the change applied.
    configuration::ConfigurationPtr configuration;
};

/// Client of the configuration log, which is stored in the platform's table and object services.
/// The row `config/log/<revision>` of the table decides which change gets a revision. The object
/// service holds copies of the entries and a snapshot, from which daemons start while the table is
/// down.
///
/// Holds no state; functions may run concurrently in several coroutines of one thread.
class ConfigurationLog
{
public:
    ConfigurationLog(platform::PlatformClient &platform, ConfigurationLogOptions options);

    /// Returns the entries after revision `after`, without gaps. Sends one request if there are
    /// fewer than `pageSize` entries. A stale read may miss the latest entries. Sets
    /// `StoreUnavailable` if the table does not answer; returns the entries read until then.
    std::vector<configuration::Revision> readAfter(configuration::RevisionNumber after,
                                                   boost::asio::yield_context yield,
                                                   std::error_code &error);

    /// Like `readAfter`, but also confirms with a read that is never stale that there is no later
    /// entry. Used at the start, because a daemon must not restart with an older revision than it
    /// had in force before.
    std::vector<configuration::Revision> readLatestAfter(configuration::RevisionNumber after,
                                                         boost::asio::yield_context yield,
                                                         std::error_code &error);

    /// Returns the configuration in the snapshot object. On failure returns null and sets
    /// `NotFound` (also if the object cannot be parsed) or `StoreUnavailable`.
    configuration::ConfigurationPtr readSnapshot(boost::asio::yield_context yield,
                                                 std::error_code &error);

    /// Returns the entries after revision `after` that the object service has, up to the first
    /// missing one. Sets `StoreUnavailable` if the service does not answer.
    std::vector<configuration::Revision> readObjectsAfter(configuration::RevisionNumber after,
                                                          boost::asio::yield_context yield,
                                                          std::error_code &error);

    /// Applies a change to the latest configuration, which is `inForce` with the later entries of
    /// the table. A repeated call with the same write id succeeds if the change was applied before.
    ///
    /// Errors: `RevisionConflict` if another change has the revision after the base or the base is
    /// not in the log; the change was not applied. `ValidationFailed`, with the reasons in
    /// `errors`. `StoreUnavailable` if nothing was written. `WriteUndecided` if the change may have
    /// been written.
    ApplyResult apply(const configuration::ConfigurationPtr &inForce, const ApplyRequest &request,
                      boost::asio::yield_context yield, std::error_code &error);

    /// Copies an accepted entry to the object service; at every `snapshotInterval`-th revision also
    /// writes `configuration` as the snapshot. A failure is only logged, because the table has the
    /// entry.
    void publishObjects(const configuration::Revision &entry,
                        const configuration::Configuration &configuration,
                        boost::asio::yield_context yield);

private:
    bool isAlreadyApplied(const configuration::Revision &entry, const ApplyResult &result,
                          boost::asio::yield_context yield, std::error_code &error);

    platform::PlatformClient &platform_;
    ConfigurationLogOptions options_;
};

/// Returns the key of the table row of a revision, which is also the name of its object.
std::string logKey(configuration::RevisionNumber revision);

} // namespace chervilfield::control
