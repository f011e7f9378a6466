#include "platform/platform_store.h"

#include <algorithm>
#include <utility>

namespace chervilfield::standins {

namespace {

/// Maximum number of latest writes that a read can miss.
constexpr std::size_t kMaxUndoRecords = 1024;

} // namespace

bool PlatformStore::write(const std::string &key, std::uint64_t ifVersion, StoredRow row)
{
    const auto found = rows_.find(key);
    const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
    if (version != ifVersion)
        return false;
    UndoRecord undo{ .key = key, .before = std::nullopt };
    if (found != rows_.end())
        undo.before = found->second;
    history_.push_back(std::move(undo));
    if (history_.size() > kMaxUndoRecords)
        history_.pop_front();
    row.version = version + 1;
    rows_[key] = std::move(row);
    return true;
}

Rows PlatformStore::rowsBefore(std::size_t hiddenWrites) const
{
    Rows rows = rows_;
    const std::size_t count = std::min(hiddenWrites, history_.size());
    for (auto undo = history_.rbegin(); undo != history_.rbegin() + static_cast<long>(count);
         ++undo) {
        if (undo->before)
            rows[undo->key] = *undo->before;
        else
            rows.erase(undo->key);
    }
    return rows;
}

std::optional<StoredRow> PlatformStore::read(const std::string &key, std::size_t hiddenWrites) const
{
    const auto current = rows_.find(key);
    std::optional<StoredRow> row;
    if (current != rows_.end())
        row = current->second;
    const std::size_t count = std::min(hiddenWrites, history_.size());
    for (auto undo = history_.rbegin(); undo != history_.rbegin() + static_cast<long>(count);
         ++undo) {
        if (undo->key == key)
            row = undo->before;
    }
    return row;
}

} // namespace chervilfield::standins
