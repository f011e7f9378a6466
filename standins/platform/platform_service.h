#pragma once

#include "net/http_server.h"
#include "platform/platform_store.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chervilfield::standins {

/// Faults that tests and the demo set with `POST /control`. A count of -1 applies until it is
/// changed.
struct PlatformFaults
{
    bool tableDown = false;
    bool objectsDown = false;
    bool instancesDown = false;
    std::chrono::milliseconds delay{ 0 }; ///< Delay before a service request takes effect.
    std::int64_t loseAnswers = 0; ///< Number of next table writes that run without a response.
    std::int64_t staleReads = 0;  ///< Number of next table reads that miss the latest writes.
    std::size_t staleWrites = 1;  ///< Number of the latest writes that a stale read misses.
    std::chrono::milliseconds instanceLag{ 0 }; ///< Delay until a new instance list is visible.
};

/// Numbers of requests and faults since the start.
struct PlatformCounters
{
    std::uint64_t reads = 0;       ///< Reads of rows and of row lists in the table.
    std::uint64_t writes = 0;      ///< Table writes, including conflicts.
    std::uint64_t conflicts = 0;   ///< Table writes whose `ifVersion` was not current.
    std::uint64_t lostAnswers = 0; ///< Table writes that got no response.
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;
    std::uint64_t instanceReads = 0;
};

/// Stand-in for the platform's table, object and instance-list services (section 3.3 of the
/// design). All requests must run on the thread of `context`.
///
/// `POST /control` accepts a JSON object whose members have the names of the `PlatformFaults`
/// members (durations as `delayMs` and `instanceLagMs`), and `instances`, the new instance list.
/// Members that are left out keep their values. `GET /control/counters` returns `PlatformCounters`.
class PlatformService
{
public:
    explicit PlatformService(boost::asio::io_context &context) : context_(context) {}

    /// Serves one request.
    void handle(net::Exchange &exchange, boost::asio::yield_context yield);

    PlatformFaults &faults() { return faults_; }
    const PlatformCounters &counters() const { return counters_; }
    PlatformStore &store() { return store_; }

private:
    void serveTable(net::Exchange &exchange, boost::asio::yield_context yield);
    net::Response readTable(const std::string &target);
    net::Response listTable(const std::string &target);
    net::Response writeTable(const net::Request &request);
    net::Response serveObject(const net::Request &request);
    net::Response serveInstances();
    net::Response control(const net::Request &request);
    std::size_t takeHiddenWrites();
    void sleepFor(std::chrono::milliseconds duration, boost::asio::yield_context yield);
    void holdUntilClosed(net::Exchange &exchange, boost::asio::yield_context yield);

    boost::asio::io_context &context_;
    PlatformStore store_;
    std::map<std::string, std::string> objects_;
    std::string instances_ = "[]";
    std::string pendingInstances_;
    std::chrono::steady_clock::time_point pendingInstancesVisibleAt_;
    PlatformFaults faults_;
    PlatformCounters counters_;
};

} // namespace chervilfield::standins
