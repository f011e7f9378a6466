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
    } else {
        deleted_.erase(row.key);
        rows_[row.key] = row;
    }
    return true;
}

bool TableReplica::apply(const StoreRows &changes)
{
    bool changed = false;
    for (const StoreRow &row : changes.rows)
        changed = applyRow(row) || changed;
    version_ = std::max(version_, changes.version);
    return changed;
}

bool TableReplica::replace(const StoreRows &all)
{
    if (all.version < version_)
        return false;
    bool changed = false;
    std::vector<StoreRow> missing;
    for (const auto &[key, row] : rows_) {
        const bool isListed = std::ranges::find(all.rows, key, &StoreRow::key) != all.rows.end();
        if (!isListed && row.version <= all.version)
            missing.push_back(row);
    }
    for (StoreRow &row : missing) {
        row.isDeleted = true;
        row.version = all.version;
        row.value.clear();
        rows_.erase(row.key);
        deleted_[row.key] = row;
        changed = true;
    }
    return apply(all) || changed;
}

StoreRows TableReplica::changesAfter(std::uint64_t version) const
{
    StoreRows result{ .rows = {}, .version = version_ };
    for (const auto *rows : { &rows_, &deleted_ }) {
        for (const auto &[key, row] : *rows) {
            if (row.version > version)
                result.rows.push_back(row);
        }
    }
    std::ranges::sort(result.rows, {}, &StoreRow::version);
    return result;
}

} // namespace chervilfield::fleet
