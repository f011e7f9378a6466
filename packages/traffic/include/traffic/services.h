#pragma once

#include "base/time_line.h"
#include "net/http_client.h"
#include "platform/platform_client.h"
#include "traffic/metrics.h"
#include "traffic/order_registry.h"
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
    /// Minimum timeout for the first token, which grows with the predicted time.
    std::chrono::milliseconds firstTokenTimeout{ 5000 };
    /// Minimum timeout between two tokens, and timeout for the head of an engine's response.
    std::chrono::milliseconds progressTimeout{ 1000 };
    /// Timeout of one attempt of a call to a service, from sending to the complete response.
    std::chrono::milliseconds callTimeout{ 5000 };
    int maxAttempts = 5; ///< Maximum number of placements of one request.
};

/// Components of the daemon that all traffic threads share. The referenced objects must outlive the
/// threads.
struct Services
{
    Router &router;
    Metrics &metrics;
    base::TimeLine &timeLine;
    OrderRegistry &orderRegistry;
    RetryBudgets &retryBudgets;
    std::function<TargetTablePtr()> targetTable; ///< Returns the current table.
    TrafficOptions options;
};

/// Objects that one traffic thread uses; only `services` is shared with other threads.
struct TrafficThread
{
    const Services &services;
    boost::asio::io_context &context;
    net::HttpClient &client;
    platform::PlatformClient &platform;
};

} // namespace chervilfield::traffic
