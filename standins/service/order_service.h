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

/// Faults that `POST /control` sets. Counts apply to the next requests.
struct ServiceFaults
{
    std::chrono::milliseconds responseDelay{ 0 }; ///< Before each response.
    std::uint64_t dropAnswers = 0; ///< Orders that run and whose connection is then closed.
    std::uint64_t holdAnswers = 0; ///< Orders that run and get no answer at all.
    std::uint64_t refuse = 0;      ///< Orders that are refused with 503 and do not run.
    std::chrono::milliseconds executionDelay{ 0 }; ///< `slowMs`: before each execution.
    bool isPaused = false;                         ///< Calls wait until it is set to false.
};

/// Plain service that records each execution of an order. It does not detect repeated orders, so
/// that a test sees every dispatch.
class OrderService
{
public:
    explicit OrderService(boost::asio::io_context &context) : context_(context) {}

    void handle(net::Exchange &exchange, const boost::asio::yield_context &yield);

private:
    void order(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void status(net::Exchange &exchange, std::string_view id,
                const boost::asio::yield_context &yield);
    void control(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void waitWhilePaused(const boost::asio::yield_context &yield);
    void holdUntilClosed(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void sleepFor(std::chrono::milliseconds time, const boost::asio::yield_context &yield);

    boost::asio::io_context &context_;
    ServiceFaults faults_;
    std::map<std::string, std::uint64_t, std::less<>> executions_; ///< Count by order id.
    boost::json::array history_;
};

} // namespace chervilfield::standins
