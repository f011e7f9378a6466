#pragma once

#include "configuration/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::configuration {

/// Number of a revision. Revision 0 is the empty configuration before the first change.
using RevisionNumber = std::uint64_t;

/// Resources that a change writes and deletes. A resource occurs in at most one of the lists.
struct ResourceChanges
{
    std::vector<Resource> upserts{};   ///< Resources to add or replace.
    std::vector<ResourceId> deletes{}; ///< Resources to delete.

    bool operator==(const ResourceChanges &) const = default;
};

/// Change requested by an operator. It is accepted only if the latest revision in the log is
/// `baseRevision`.
struct Change
{
    RevisionNumber baseRevision = 0;
    std::string writeId{}; ///< Unique per attempt of an operator; shows which write was applied.
    ResourceChanges changes{};

    bool operator==(const Change &) const = default;
};

/// Accepted change, which is one entry of the configuration log. Numbers start at 1 and have no
/// gaps.
struct Revision
{
    RevisionNumber number = 0;
    std::string writeId{};
    ResourceChanges changes{};

    bool operator==(const Revision &) const = default;
};

/// Returns the log entry that `change` becomes if it is accepted.
Revision toRevision(const Change &change);

} // namespace chervilfield::configuration
