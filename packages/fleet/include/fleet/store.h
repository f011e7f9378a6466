#pragma once

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::fleet {

/// One row of the platform's table service.
struct StoreRow
{
    std::string table;
    std::string partition;
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Of the transaction that last changed the row.
    bool isDeleted = false;
};

/// Rows of a table or changes to it, with the version of the store that they reflect.
struct StoreRows
{
    std::vector<StoreRow> rows;
    std::uint64_t version = 0;
};

/// A write that takes effect only if the row still has the version that was read.
struct ConditionalWrite
{
    std::string table;
    std::string key;
    std::uint64_t expectedVersion = 0; ///< 0 if the row must not exist.
    std::string value;
};

/// Access to the platform's table service. Errors: `StoreUnavailable` if it did not answer or
/// refused; `NotFound` if the requested history is gone; `RevisionConflict` if a condition did not
/// hold; `WriteUndecided` if a write got no answer and may still take effect.
class Store
{
public:
    virtual ~Store() = default;

    /// Returns all rows of a table.
    virtual std::optional<StoreRows>
    readAll(const std::string &table, boost::asio::yield_context yield, std::error_code &error) = 0;

    /// Returns the changes to a table after a version, waiting up to `wait` for the first one.
    virtual std::optional<StoreRows> changes(const std::string &table, std::uint64_t after,
                                             std::chrono::milliseconds wait,
                                             boost::asio::yield_context yield,
                                             std::error_code &error) = 0;

    /// Returns the new version of the row.
    virtual std::optional<std::uint64_t> write(const ConditionalWrite &write,
                                               boost::asio::yield_context yield,
                                               std::error_code &error) = 0;
};

} // namespace chervilfield::fleet
