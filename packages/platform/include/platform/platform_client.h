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

/// One row of the table service. Versions of a row start at 1 and grow by one with each write.
struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    std::string writeId; ///< Identifies the write that made this version.

    bool operator==(const TableRow &) const = default;
};

/// A conditional write: it takes effect only while the row has version `ifVersion`.
struct TableWrite
{
    std::string key;
    std::string value;
    std::uint64_t ifVersion = 0; ///< 0 = the row must not exist.
    std::string writeId;         ///< Unique per write; used to settle lost responses.
};

/// Part of the ordered list of rows: keys that start with `prefix` and are greater than `after`.
struct TableRange
{
    std::string prefix;
    std::string after;
    std::size_t limit = 256;
};

enum class InstanceKind { Router, Engine, Service };

/// One entry of the platform's instance list, which is updated with a lag.
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
    std::string peerAddress; ///< Address for other daemons; routers only.
    std::string dataCentre;
    std::vector<Label> labels;
    bool isLeaving = false;
};

struct PlatformOptions
{
    net::Address table;
    net::Address objects;
    net::Address instances;
    std::chrono::milliseconds timeout{ 500 }; ///< Of one request.
    /// Limit for finding out whether a write without a response took effect.
    std::chrono::milliseconds writeOutcomeTimeout{ 2000 };
    std::chrono::milliseconds initialRetryDelay{ 50 }; ///< Between two attempts; doubles each time.
};

/// Client of the platform's table, object and instance-list services. Use one client per thread.
///
/// Errors of reads: `NotFound`, or `StoreUnavailable` if there is no usable response.
class PlatformClient
{
public:
    PlatformClient(boost::asio::any_io_executor executor, PlatformOptions options);

    /// Reads a row, or sets `NotFound`. The row may be older than the latest one.
    std::optional<TableRow> read(const std::string &key, boost::asio::yield_context yield,
                                 std::error_code &error);

    /// As `read`, but never stale: asks by a conditional write that cannot succeed, whose refusal
    /// carries the current row. Counts as a write against the limits of the service.
    std::optional<TableRow> readLatest(const std::string &key, boost::asio::yield_context yield,
                                       std::error_code &error);

    /// Returns rows in ascending order of their keys, at most `range.limit`.
    std::vector<TableRow> list(const TableRange &range, boost::asio::yield_context yield,
                               std::error_code &error);

    /// Writes a row and returns it as it is stored. If the response is lost, reads the row back and
    /// repeats the same conditional write until the row tells whether the write took effect.
    ///
    /// Errors: `RevisionConflict` if the write did not and will not take effect because of another
    /// write; the current row, if there is one, is returned. `StoreUnavailable` if the write was
    /// never sent. `WriteUndecided` if it may have taken effect or may still take effect.
    std::optional<TableRow> write(const TableWrite &write, boost::asio::yield_context yield,
                                  std::error_code &error);

    /// Reads an object, or sets `NotFound`.
    std::optional<std::string> readObject(const std::string &name, boost::asio::yield_context yield,
                                          std::error_code &error);

    /// Stores an object, replacing an earlier one. Sets `WriteUndecided` if there is no response.
    void writeObject(const std::string &name, const std::string &content,
                     boost::asio::yield_context yield, std::error_code &error);

    std::vector<Instance> instances(boost::asio::yield_context yield, std::error_code &error);

    /// Returns the number of requests sent to the services.
    std::uint64_t requestCount() const { return requestCount_; }

private:
    struct Attempt;

    std::optional<net::Response> send(const net::Address &address, const net::Request &request,
                                      boost::asio::yield_context yield, std::error_code &error);
    std::optional<net::Response> get(const net::Address &address, const std::string &target,
                                     boost::asio::yield_context yield, std::error_code &error);
    Attempt put(const TableWrite &write, boost::asio::yield_context yield);
    Attempt readBack(const TableWrite &write, boost::asio::yield_context yield);
    void pause(std::chrono::milliseconds time, boost::asio::yield_context yield);

    boost::asio::any_io_executor executor_;
    PlatformOptions options_;
    net::HttpClient client_;
    std::uint64_t requestCount_ = 0;
};

} // namespace chervilfield::platform
