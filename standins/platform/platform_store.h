#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::standins {

/// Current value of a row.
struct StoredRow
{
    std::string value;
    std::uint64_t version = 0; ///< 1 after the first write, then one more with each write.
    std::string writeId;       ///< Id that the writer gave to the latest write.
};

/// Rows by key, in ascending order.
using Rows = std::map<std::string, StoredRow>;

/// The table: rows with conditional writes, and the history of writes that stale reads need.
class PlatformStore
{
public:
    /// Writes the row if its current version is `ifVersion`; 0 means that the row does not exist.
    /// Returns true if and only if the write took effect.
    bool write(const std::string &key, std::uint64_t ifVersion, StoredRow row);

    /// Returns the rows as they were before the last `hiddenWrites` writes (0 = current).
    Rows rowsBefore(std::size_t hiddenWrites) const;

    /// Returns one row as it was before the last `hiddenWrites` writes.
    std::optional<StoredRow> read(const std::string &key, std::size_t hiddenWrites) const;

    const Rows &rows() const { return rows_; }

private:
    /// A row as it was before a write.
    struct UndoRecord
    {
        std::string key;
        std::optional<StoredRow> before; ///< Not set if the write created the row.
    };

    Rows rows_;
    std::deque<UndoRecord> history_; ///< Newest last.
};

} // namespace chervilfield::standins
