#pragma once

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
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
    std::uint64_t version = 0; ///< Version of the transaction that last changed the row.
    bool isDeleted = false;
};

/// Rows of a table, or changes to it, and the store version that they reflect.
struct StoreRows
{
    std::vector<StoreRow> rows;
    std::uint64_t version = 0;
    /// Keys of all rows that exist at `version`; no value if `rows` holds all deletions.
    std::optional<std::set<std::string>> presentKeys{};
    /// Time of the store's own steady clock at which `version` was the newest one, 0 if unknown.
    std::chrono::milliseconds storeTime{ 0 };
};

/// A write that takes effect only if the row still has the expected version.
struct ConditionalWrite
{
    std::string table;
    std::string key;
    std::uint64_t expectedVersion = 0; ///< 0 if the row must not exist.
    std::string value;
};

/// Client of the platform's table service. Errors: `StoreUnavailable` if the service did not answer
/// or refused the request; `NotFound` if the requested history is no longer available;
/// `RevisionConflict` if the condition of a write did not hold; `WriteUndecided` if a write got no
/// answer and may still take effect.
class Store
{
public:
    virtual ~Store() = default;

    /// Returns all rows of a table.
    virtual std::optional<StoreRows>
    readAll(const std::string &table, boost::asio::yield_context yield, std::error_code &error) = 0;

    /// Returns the changes to a table since version `after`. Waits up to `wait` for the first one.
    virtual std::optional<StoreRows> changes(const std::string &table, std::uint64_t after,
                                             std::chrono::milliseconds wait,
                                             boost::asio::yield_context yield,
                                             std::error_code &error) = 0;

    /// Writes the row and returns its new version.
    virtual std::optional<std::uint64_t> write(const ConditionalWrite &write,
                                               boost::asio::yield_context yield,
                                               std::error_code &error) = 0;
};

} // namespace chervilfield::fleet
