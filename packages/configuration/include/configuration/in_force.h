#pragma once

#include "configuration/configuration.h"

#include <memory>
#include <span>

namespace chervilfield::configuration {

/// The configuration that a daemon uses. Its revision never decreases: older revisions, which a
/// peer, a restart or a stale read may offer, are ignored.
struct ConfigurationInForce
{
    ConfigurationPtr current = std::make_shared<const Configuration>();
    RevisionNumber highestKnown = 0; ///< Highest revision that any source has reported.
};

/// Result of an offer of a configuration or of log entries.
enum class OfferOutcome {
    Advanced, ///< The offer is now in force.
    NotNewer, ///< The offer is not newer than the revision in force; nothing changed.
    Gap,      ///< Entries between the revision in force and the offered ones are missing.
};

/// Puts a whole configuration in force if it is newer. Ignores a null pointer.
OfferOutcome offerConfiguration(ConfigurationInForce &inForce, ConfigurationPtr offered);

/// Applies log entries, which must be in ascending order, as far as they continue the revision in
/// force. Returns `Gap` if an entry could not be applied, even if earlier ones were.
OfferOutcome offerRevisions(ConfigurationInForce &inForce, std::span<const Revision> entries);

/// Records that `revision` exists. Returns true if it is newer than the revision in force, so that
/// the entries up to it must be fetched.
bool recordKnownRevision(ConfigurationInForce &inForce, RevisionNumber revision);

} // namespace chervilfield::configuration
