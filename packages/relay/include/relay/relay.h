#pragma once

#include "admission/extra_budget.h"
#include "base/event_log.h"
#include "dispatch/placement.h"
#include "fleet/view.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "relay/codec.h"
#include "relay/metrics.h"

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace chervilfield::relay {

/// The end of this instance, once it has been asked to stop.
struct DrainSchedule
{
    /// Until then all requests are taken; nearly all of them end long before the exit.
    std::chrono::steady_clock::time_point acceptUntil;
    std::chrono::steady_clock::time_point exitAt;
};

/// Returns true if a request whose caller waits for `patience` is not cut off by the exit. One that
/// would be is better refused: at another instance it has all of its time.
bool canAccept(const DrainSchedule &drainSchedule, std::chrono::milliseconds patience,
               std::chrono::steady_clock::time_point now);

/// The deployment as the control thread last published it.
struct DeploymentState
{
    fleet::ViewPtr view;
    /// False while neither the store nor a peer has confirmed the view lately, so that a route or
    /// a key that it lacks may exist.
    bool isFresh = false;
    std::optional<DrainSchedule> drainSchedule{}; ///< Set while this instance leaves.
};

struct RelayOptions
{
    std::chrono::milliseconds connectTimeout{ 250 }; ///< Several round trips of a data centre link.
    /// Time after which the head of an answer is overdue at a target, if the request may run again,
    /// as a multiple of the latency goal.
    double headTimeoutGoalFactor = 1.0;
    /// Longest wait for a target that answers in time, as a multiple of the latency goal.
    double maxWaitGoalFactor = 0.4;
    std::chrono::milliseconds waitPollInterval{ 15 }; ///< Between two looks for such a target.
    /// An idle connection is reused for this part of the time that the target keeps it open.
    double keepAliveShare = 0.5;
    /// Reuse of a connection whose target states no time.
    std::chrono::milliseconds defaultReuseTime{ 500 };
    std::size_t maxAnswerBytes = 4U << 20U; ///< Largest answer that is not a stream.
    /// Retry-After while this instance knows no configuration.
    std::chrono::milliseconds notReadyRetryAfter{ 400 };
    /// Retry-After while this instance leaves; others take the request at once.
    std::chrono::milliseconds drainRetryAfter{ 10 };
    /// Additional sends per request and at once, for this instance's part of the deployment.
    admission::RetryBudgetOptions retryBudget = admission::kRetryBudget;
};

/// Parts of the daemon that the relay works with; they outlive it.
struct RelayContext
{
    const Codec &codec;
    net::HttpClient &client;
    dispatch::Placer &placer;
    Metrics &metrics;
    base::EventLog &log;
    std::function<DeploymentState()> deploymentState;
    RelayOptions options;
};

/// Forwards callers' requests to targets of the pool that the route names, and answers to callers.
/// Runs on one thread. A request whose work must not be repeated is sent again only after proof
/// that it did not run.
class Relay
{
public:
    explicit Relay(RelayContext context);

    void serve(net::Exchange &exchange, boost::asio::yield_context yield);

private:
    class Flow;

    RelayContext context_;
    std::mt19937_64 random_;
    admission::RetryBudgetMap poolRetries_;
    admission::RetryBudgetMap targetRetries_;
    std::map<std::string, std::chrono::milliseconds> reuse_; ///< By target id.
};

} // namespace chervilfield::relay
