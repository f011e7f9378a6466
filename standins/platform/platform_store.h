#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::standins {

struct StoredRow
{
    std::string value;
    std::uint64_t version = 0;
    std::string writeId;
};

/// Rows in ascending order of their keys.
using Rows = std::map<std::string, StoredRow>;

/// State of the table: rows with conditional writes, and enough history to serve stale reads.
class PlatformStore
{
public:
    /// Writes the row if it has version `ifVersion` (0 = absent). Returns true if and only if the
    /// write took effect.
    bool write(const std::string &key, std::uint64_t ifVersion, StoredRow row);

    /// Returns the rows as they were before the last `hiddenWrites` writes (0 = current).
    Rows rowsBefore(std::size_t hiddenWrites) const;

    /// Returns one row as it was before the last `hiddenWrites` writes.
    std::optional<StoredRow> read(const std::string &key, std::size_t hiddenWrites) const;

    const Rows &rows() const { return rows_; }

private:
    struct Undo
    {
        std::string key;
        std::optional<StoredRow> before;
    };

    Rows rows_;
    std::deque<Undo> history_; ///< Newest last.
};

} // namespace chervilfield::standins
