#pragma once

#include "fleet/store_version.h"

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
    std::uint64_t era = 0; ///< Era of the store in which the row was read.
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
    std::uint64_t era = 0; ///< Era that `version` and the versions of the rows belong to.
};

/// A write that takes effect only if the row still has the expected version. The store compares
/// versions without their era, so that the condition may hold by chance if the store was restored
/// meanwhile.
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
/// answer and may still take effect. An answer from an older era than an earlier answer counts as
/// no answer.
class Store
{
public:
    virtual ~Store() = default;

    /// Returns all rows of a table.
    virtual std::optional<StoreRows>
    readAll(const std::string &table, boost::asio::yield_context yield, std::error_code &error) = 0;

    /// Returns the changes to a table since version `after`. Waits up to `wait` for the first one.
    /// If the result is of another era than `after`, changes may be missing.
    virtual std::optional<StoreRows> changes(const std::string &table, std::uint64_t after,
                                             std::chrono::milliseconds wait,
                                             boost::asio::yield_context yield,
                                             std::error_code &error) = 0;

    /// Writes the row and returns its new version. If that is of another era than the expected
    /// version, the condition proves nothing, and the row must be read again.
    virtual std::optional<StoreVersion> write(const ConditionalWrite &write,
                                              boost::asio::yield_context yield,
                                              std::error_code &error) = 0;

    /// Returns the highest era that an answer has stated, including answers with an error.
    virtual std::uint64_t era() const = 0;
};

} // namespace chervilfield::fleet
