#include "fleet/replica.h"

#include <algorithm>

namespace chervilfield::fleet {

bool TableReplica::applyRow(const StoreRow &row)
{
    const auto present = rows_.find(row.key);
    const auto deleted = deleted_.find(row.key);
    const std::uint64_t known = std::max(present == rows_.end() ? 0 : present->second.version,
                                         deleted == deleted_.end() ? 0 : deleted->second.version);
    if (row.version <= known)
        return false;
    newestRowVersion_ = std::max(newestRowVersion_, row.version);
    if (row.isDeleted) {
        rows_.erase(row.key);
        deleted_[row.key] = row;
        deleted_[row.key].era = era_;
    } else {
        deleted_.erase(row.key);
        rows_[row.key] = row;
        rows_[row.key].era = era_;
    }
    return true;
}

bool TableReplica::apply(const StoreRows &changes)
{
    if (changes.era != era_)
        return false;
    // Changes without a version do not claim to be complete.
    const bool isCopy = changes.presentKeys && changes.version > 0 && changes.version >= version_;
    bool changed = isCopy && deleteUnlisted(*changes.presentKeys, changes.version);
    for (const StoreRow &row : changes.rows) {
        // A row that was deleted before the first copy would otherwise be restored.
        if (isCopy || row.version > version_)
            changed = applyRow(row) || changed;
    }
    version_ = std::max(version_, changes.version);
    return changed;
}

bool TableReplica::deleteUnlisted(const std::set<std::string> &presentKeys, std::uint64_t version)
{
    bool changed = false;
    for (auto present = rows_.begin(); present != rows_.end();) {
        if (presentKeys.contains(present->first) || present->second.version > version) {
            ++present;
            continue;
        }
        StoreRow row = std::move(present->second);
        row.isDeleted = true;
        row.version = version;
        row.value.clear();
        present = rows_.erase(present);
        deleted_[row.key] = std::move(row);
        changed = true;
    }
    deletionsKnownAfter_ = std::max(deletionsKnownAfter_, version);
    return changed;
}

bool TableReplica::replace(const StoreRows &all)
{
    if (all.era < era_ || (all.era == era_ && all.version < version_))
        return false;
    const bool isNewEra = all.era > era_;
    if (isNewEra) {
        *this = {};
        era_ = all.era;
    }
    StoreRows copy = all;
    copy.presentKeys.emplace();
    for (const StoreRow &row : all.rows)
        copy.presentKeys->insert(row.key);
    return apply(copy) || isNewEra;
}

StoreRows TableReplica::changesAfter(std::uint64_t version) const
{
    StoreRows result{ .rows = {}, .version = version_, .era = era_ };
    for (const auto *rows : { &rows_, &deleted_ }) {
        for (const auto &[key, row] : *rows) {
            if (row.version > version)
                result.rows.push_back(row);
        }
    }
    std::ranges::sort(result.rows, {}, &StoreRow::version);
    if (version < deletionsKnownAfter_) {
        result.presentKeys.emplace();
        for (const auto &[key, row] : rows_)
            result.presentKeys->insert(key);
    }
    return result;
}

} // namespace chervilfield::fleet
