#pragma once

#include "net/http_server.h"
#include "platform/platform_store.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chervilfield::standins {

/// Faults that tests and the demo switch on with `POST /control`. Counts of -1 mean "until
/// changed".
struct PlatformFaults
{
    bool tableDown = false;
    bool objectsDown = false;
    bool instancesDown = false;
    std::chrono::milliseconds delay{ 0 }; ///< Before a table or object request takes effect.
    std::int64_t loseAnswers = 0; ///< Next table writes that take effect and are never answered.
    std::int64_t staleReads = 0;  ///< Next table reads that do not see the latest writes.
    std::size_t staleWrites = 1;  ///< How many of the latest writes a stale read does not see.
    std::chrono::milliseconds instanceLag{ 0 }; ///< Until a new instance list becomes visible.
};

struct PlatformCounters
{
    std::uint64_t reads = 0;  ///< Row reads and lists of the table service.
    std::uint64_t writes = 0; ///< Table writes, including refused ones.
    std::uint64_t conflicts = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;
    std::uint64_t instanceReads = 0;
};

/// Stand-in of the platform's table, object and instance-list services (section 3.3 of the design).
/// `handle` serves one request; all requests must run on the thread of `context`.
///
/// `POST /control` takes a JSON object with members of the names of `PlatformFaults` (durations as
/// `delayMs` and `instanceLagMs`; members left out keep their value) and `instances`, the new
/// instance list. `GET /control/counters` returns `PlatformCounters`.
class PlatformService
{
public:
    explicit PlatformService(boost::asio::io_context &context) : context_(context) {}

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
    std::size_t hiddenWrites();
    void pause(std::chrono::milliseconds time, boost::asio::yield_context yield);
    void holdUntilClosed(net::Exchange &exchange, boost::asio::yield_context yield);

    boost::asio::io_context &context_;
    PlatformStore store_;
    std::map<std::string, std::string> objects_;
    std::string instances_ = "[]";
    std::string nextInstances_;
    std::chrono::steady_clock::time_point nextInstancesAt_;
    PlatformFaults faults_;
    PlatformCounters counters_;
};

} // namespace chervilfield::standins
