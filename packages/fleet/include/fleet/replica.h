#pragma once

#include "fleet/store.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chervilfield::fleet {

/// Copy of one table of the store. It never moves back: a row is replaced only by one of a later
/// version, whichever way it arrived.
class TableReplica
{
public:
    /// Applies changes from the store or from a peer. Returns true if any row changed.
    bool apply(const StoreRows &changes);

    /// Replaces the content by a complete copy of the table. Rows that it lacks are deleted if they
    /// are not later than it. Returns true if any row changed.
    bool replace(const StoreRows &all);

    /// Returns the rows and deletions after `version`.
    StoreRows changesAfter(std::uint64_t version) const;

    /// Returns the version that the copy is complete up to; 0 before the first copy.
    std::uint64_t version() const { return version_; }

    /// Returns the version of the newest row or deletion; 0 if there is none.
    std::uint64_t newestRowVersion() const { return newestRowVersion_; }

    /// Returns the rows that exist, by key.
    const std::map<std::string, StoreRow> &rows() const { return rows_; }

private:
    bool applyRow(const StoreRow &row);

    std::map<std::string, StoreRow> rows_;
    /// Versions of deleted rows, so that a late copy does not bring them back.
    std::map<std::string, StoreRow> deleted_;
    std::uint64_t version_ = 0;
    std::uint64_t newestRowVersion_ = 0;
};

} // namespace chervilfield::fleet
