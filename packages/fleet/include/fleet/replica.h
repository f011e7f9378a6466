#pragma once

#include "fleet/store.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilfield::fleet {

/// Replica of one table of the store. Rows never revert to an older version: a row is replaced only
/// by one with a later version, whether it comes from the store or from a peer. All rows belong to
/// one era of the store. Only a complete copy moves the replica to a later era.
class TableReplica
{
public:
    /// Applies changes from the store or a peer. Ignores changes up to `version()`, which the
    /// replica reflects already. If the changes state the present keys, rows with other keys are
    /// deleted unless their version is later than the changes. Ignores changes of another era.
    /// Returns true if any row changed.
    bool apply(const StoreRows &changes);

    /// Replaces the content by a complete copy of the table. Rows that the copy lacks are deleted
    /// unless their version is later than the copy. Ignores a copy that is older than `version()`
    /// or of an earlier era. A copy of a later era replaces all rows and known deletions. Returns
    /// true if any row changed or the era did.
    bool replace(const StoreRows &all);

    /// Returns all rows and known deletions with a version later than `version`, sorted by version.
    /// The result states the present keys if earlier deletions than the known ones may be missing:
    /// a complete copy does not tell which rows were deleted before it.
    StoreRows changesAfter(std::uint64_t version) const;

    /// Returns the version up to which the replica is complete; 0 before the first copy.
    std::uint64_t version() const { return version_; }

    /// Returns the era of all rows and versions; 0 before the first copy.
    std::uint64_t era() const { return era_; }

    /// Returns the era and version up to which the replica is complete.
    StoreVersion storeVersion() const { return { .era = era_, .version = version_ }; }

    /// Returns the version of the newest row or deletion; 0 if there is none.
    std::uint64_t newestRowVersion() const { return newestRowVersion_; }

    /// Returns the rows that exist, by key.
    const std::map<std::string, StoreRow> &rows() const { return rows_; }

    /// Returns the known deletions, by key.
    const std::map<std::string, StoreRow> &deletedRows() const { return deleted_; }

private:
    /// Stores the row or its deletion if its version is later than the known one. Returns true if
    /// it was stored.
    bool applyRow(const StoreRow &row);

    /// Deletes the rows up to `version` whose keys are not listed. Returns true if any was deleted.
    bool deleteUnlisted(const std::set<std::string> &presentKeys, std::uint64_t version);

    std::map<std::string, StoreRow> rows_;
    /// Deleted rows by key, kept so that a delayed older copy does not restore them.
    std::map<std::string, StoreRow> deleted_;
    /// All deletions with a later version, up to `version_`, are in `deleted_`.
    std::uint64_t deletionsKnownAfter_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t newestRowVersion_ = 0;
    std::uint64_t era_ = 0;
};

} // namespace chervilfield::fleet
