#pragma once

#include "net/address.h"
#include "net/http_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::platform {

/// A row of the table service. Its version starts at 1 and increases by 1 with each write.
struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    std::string writeId; ///< Identifies the write that created this version.

    bool operator==(const TableRow &) const = default;
};

/// A conditional write, which takes effect only if the row has version `ifVersion`.
struct TableWrite
{
    std::string key;
    std::string value;
    std::uint64_t ifVersion = 0; ///< 0 if the row must not exist.
    /// Unique per write. If the response is lost, it shows whether the stored row is from this
    /// write.
    std::string writeId;
};

/// A range of rows in the order of their keys: keys that start with `prefix` and are greater than
/// `after`.
struct TableRange
{
    std::string prefix;
    std::string after;
    std::size_t limit = 256; ///< Maximum number of rows.
};

/// Kind of an instance. A router is a daemon of this system.
enum class InstanceKind { Router, Engine, Service };

/// An entry of the platform's instance list, which lags behind the actual state.
struct Instance
{
    struct Label
    {
        std::string key;
        std::string value;
    };

    std::string name;
    InstanceKind kind = InstanceKind::Router;
    std::string address;     ///< Numeric `a.b.c.d:port` that callers or routers connect to.
    std::string peerAddress; ///< Address for other daemons. Only routers have one.
    std::string dataCentre;
    std::vector<Label> labels;
    bool isLeaving = false; ///< True if the list shows the state "leaving".
};

/// Addresses and timeouts of the platform's services.
struct PlatformOptions
{
    net::Address table;
    net::Address objects;
    net::Address instances;
    std::chrono::milliseconds timeout{ 500 }; ///< Timeout of one request.
    /// Maximum time for finding out whether a write without a response took effect.
    std::chrono::milliseconds writeOutcomeTimeout{ 2000 };
    /// Delay before the second attempt of a write. It doubles with each further attempt.
    std::chrono::milliseconds initialRetryDelay{ 50 };
};

/// Client of the platform's table, object and instance-list services. All calls on one client must
/// be made on one thread.
///
/// Each call clears `error` first. Reads set `NotFound` if the item does not exist, or
/// `StoreUnavailable` if there is no valid response.
class PlatformClient
{
public:
    PlatformClient(boost::asio::any_io_executor executor, PlatformOptions options);

    /// Reads a row. The result may be stale.
    std::optional<TableRow> read(const std::string &key, boost::asio::yield_context yield,
                                 std::error_code &error);

    /// Reads the latest version of a row. It sends a conditional write that cannot succeed, because
    /// the refusal contains the current row. The service counts the call as a write.
    std::optional<TableRow> readLatest(const std::string &key, boost::asio::yield_context yield,
                                       std::error_code &error);

    /// Returns at most `range.limit` rows in ascending order of their keys.
    std::vector<TableRow> list(const TableRange &range, boost::asio::yield_context yield,
                               std::error_code &error);

    /// Writes a row and returns the stored row. If the response is lost, reads the row back and
    /// repeats the same conditional write until the row shows whether the write took effect.
    ///
    /// Errors: `RevisionConflict` if another write prevents this one from ever taking effect; the
    /// current row is returned if it exists. `StoreUnavailable` if the write was never sent.
    /// `WriteUndecided` if the write may have taken effect or may still do so.
    std::optional<TableRow> write(const TableWrite &write, boost::asio::yield_context yield,
                                  std::error_code &error);

    /// Reads an object.
    std::optional<std::string> readObject(const std::string &name, boost::asio::yield_context yield,
                                          std::error_code &error);

    /// Stores an object and replaces an earlier one of the same name. Sets `StoreUnavailable` if
    /// the request was never sent, and `WriteUndecided` if it may have taken effect.
    void writeObject(const std::string &name, const std::string &content,
                     boost::asio::yield_context yield, std::error_code &error);

    /// Returns the platform's instance list.
    std::vector<Instance> instances(boost::asio::yield_context yield, std::error_code &error);

    /// Returns the number of requests sent to the platform's services, including failed ones.
    std::uint64_t requestCount() const { return requestCount_; }

private:
    struct Attempt;

    std::optional<net::Response> send(const net::Address &address, const net::Request &request,
                                      boost::asio::yield_context yield, std::error_code &error);
    std::optional<net::Response> get(const net::Address &address, const std::string &target,
                                     boost::asio::yield_context yield, std::error_code &error);
    Attempt tryWrite(const TableWrite &write, boost::asio::yield_context yield);
    Attempt readBack(const TableWrite &write, boost::asio::yield_context yield);
    void sleepFor(std::chrono::milliseconds time, boost::asio::yield_context yield);

    boost::asio::any_io_executor executor_;
    PlatformOptions options_;
    net::HttpClient client_;
    std::uint64_t requestCount_ = 0;
};

} // namespace chervilfield::platform
