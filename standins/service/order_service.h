#pragma once

#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chervilfield::standins {

/// Faults that `POST /control` sets. Each count is the number of next orders that it applies to.
struct ServiceFaults
{
    std::chrono::milliseconds responseDelay{ 0 };  ///< `delayMs`: delay before each response.
    std::uint64_t dropAnswers = 0;                 ///< Orders that run; then the connection closes.
    std::uint64_t holdAnswers = 0;                 ///< Orders that run and get no response.
    std::uint64_t refuse = 0;                      ///< Orders that get 503 and do not run.
    std::chrono::milliseconds executionDelay{ 0 }; ///< `slowMs`: delay before each execution.
    bool isPaused = false;                         ///< `pause`: requests wait until it is false.
};

/// Stand-in for a service that executes orders. Records each execution and does not deduplicate
/// orders, so that a test sees every dispatch. All requests must run on the thread of `context`.
class OrderService
{
public:
    explicit OrderService(boost::asio::io_context &context) : context_(context) {}

    /// Serves one request.
    void handle(net::Exchange &exchange, const boost::asio::yield_context &yield);

private:
    void executeOrder(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void status(net::Exchange &exchange, std::string_view id,
                const boost::asio::yield_context &yield);
    void control(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void waitWhilePaused(const boost::asio::yield_context &yield);
    void holdUntilClosed(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void sleepFor(std::chrono::milliseconds duration, const boost::asio::yield_context &yield);

    boost::asio::io_context &context_;
    ServiceFaults faults_;
    std::map<std::string, std::uint64_t, std::less<>>
            executions_; ///< Number of executions by order id.
    boost::json::array executionHistory_;
};

} // namespace chervilfield::standins
