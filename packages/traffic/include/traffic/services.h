#pragma once

#include "base/time_line.h"
#include "net/http_client.h"
#include "platform/platform_client.h"
#include "traffic/metrics.h"
#include "traffic/order_desk.h"
#include "traffic/retry_budgets.h"
#include "traffic/router.h"
#include "traffic/target_table.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace chervilfield::traffic {

/// Limits of the traffic path.
struct TrafficOptions
{
    std::chrono::milliseconds firstTokenTimeout{ 5000 }; ///< Beyond the predicted time.
    std::chrono::milliseconds progressTimeout{ 1000 };   ///< Between two tokens.
    std::chrono::milliseconds callTimeout{ 5000 };       ///< Whole call of a plain service.
    int maxAttempts = 5; ///< Engines or connections tried for one request.
};

/// What all traffic threads share. The referenced objects outlive the threads.
struct Services
{
    Router &router;
    Metrics &metrics;
    base::TimeLine &timeLine;
    OrderRegistry &orderRegistry;
    RetryBudgets &retryBudgets;
    std::function<TargetTablePtr()> targetTable; ///< Of the configuration in force.
    TrafficOptions options;
};

/// What one traffic thread has.
struct TrafficThread
{
    const Services &services;
    boost::asio::io_context &context;
    net::HttpClient &client;
    platform::PlatformClient &platform;
};

} // namespace chervilfield::traffic
