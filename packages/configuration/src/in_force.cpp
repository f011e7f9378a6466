#include "configuration/in_force.h"

#include <algorithm>

namespace chervilfield::configuration {

OfferOutcome offerConfiguration(ConfigurationInForce &inForce, ConfigurationPtr offered)
{
    if (!offered || offered->revision() <= inForce.current->revision())
        return OfferOutcome::NotNewer;
    inForce.current = std::move(offered);
    inForce.highestKnown = std::max(inForce.highestKnown, inForce.current->revision());
    return OfferOutcome::Advanced;
}

OfferOutcome offerRevisions(ConfigurationInForce &inForce, std::span<const Revision> entries)
{
    FoldResult folded = fold(inForce.current, entries);
    if (!entries.empty())
        inForce.highestKnown = std::max(inForce.highestKnown, entries.back().number);
    const OfferOutcome outcome = offerConfiguration(inForce, std::move(folded.configuration));
    return folded.hasGap ? OfferOutcome::Gap : outcome;
}

bool recordKnownRevision(ConfigurationInForce &inForce, RevisionNumber revision)
{
    inForce.highestKnown = std::max(inForce.highestKnown, revision);
    return revision > inForce.current->revision();
}

} // namespace chervilfield::configuration
