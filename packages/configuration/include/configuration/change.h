#pragma once

#include "configuration/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::configuration {

using RevisionNumber = std::uint64_t;

/// What a change does to the resources. A resource occurs in at most one of the lists.
struct ResourceChanges
{
    std::vector<Resource> upserts{};
    std::vector<ResourceId> deletes{};

    bool operator==(const ResourceChanges &) const = default;
};

/// A change that an operator asks for. It is accepted only while the revision in the log is
/// `baseRevision`.
struct Change
{
    RevisionNumber baseRevision = 0;
    std::string writeId{}; ///< Unique per attempt of an operator; tells whose write took effect.
    ResourceChanges changes{};

    bool operator==(const Change &) const = default;
};

/// An accepted change: one entry of the configuration log. Numbers start at 1 and have no gaps.
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
