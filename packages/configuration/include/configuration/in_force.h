#pragma once

#include "configuration/configuration.h"

#include <memory>
#include <span>

namespace chervilfield::configuration {

/// The configuration that a daemon acts on. Its revision never decreases: whatever a peer, a
/// restart or a stale read offers, older state is ignored.
struct ConfigurationInForce
{
    ConfigurationPtr current = std::make_shared<const Configuration>();
    RevisionNumber highestKnown = 0; ///< Highest revision that any source has mentioned.
};

enum class OfferOutcome {
    Advanced, ///< The offer is now in force.
    NotNewer, ///< The offer is not newer than what is in force; nothing changed.
    Gap,      ///< Entries between the one in force and those offered are missing.
};

/// Puts a whole configuration in force if it is newer.
OfferOutcome offerConfiguration(ConfigurationInForce &inForce, ConfigurationPtr offered);

/// Puts log entries in force as far as they continue the current revision. Returns `Gap` if an
/// entry is left over, even if others were applied.
OfferOutcome offerRevisions(ConfigurationInForce &inForce, std::span<const Revision> entries);

/// Remembers that `revision` exists. Returns true if and only if it is newer than the one in force,
/// so that the entries up to it must be fetched.
bool recordKnownRevision(ConfigurationInForce &inForce, RevisionNumber revision);

} // namespace chervilfield::configuration
