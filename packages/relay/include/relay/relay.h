#pragma once

#include "admission/retry_budget.h"
#include "base/boot_clock.h"
#include "base/event_log.h"
#include "base/memory_budget.h"
#include "dispatch/placement.h"
#include "fleet/view.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "quarantine/part_quarantine.h"
#include "relay/codec.h"
#include "relay/metrics.h"
#include "usage/usage_limiter.h"

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

/// Times of a graceful shutdown, set once this instance has been asked to stop.
struct DrainSchedule
{
    /// Until this time all requests are accepted; nearly all of them end long before `exitAt`.
    base::BootClock::time_point acceptUntil;
    base::BootClock::time_point exitAt;
};

/// Returns true if a request with the given timeout is accepted during the shutdown. A request that
/// the exit might interrupt is better refused: at another instance it has its full time.
bool canAccept(const DrainSchedule &drainSchedule, std::chrono::milliseconds timeout,
               base::BootClock::time_point now);

/// State of the deployment as last published by the control thread.
struct DeploymentState
{
    fleet::ViewPtr view;
    /// False while neither the store nor a peer has confirmed the view recently, so a route or an
    /// API key that the view lacks may exist.
    bool isFresh = false;
    /// Time since the store or a peer last confirmed the view.
    std::chrono::milliseconds confirmedAge{ 0 };
    std::optional<DrainSchedule> drainSchedule{}; ///< Set while this instance shuts down.
};

/// Timeouts, limits and Retry-After times of the relay.
struct RelayOptions
{
    std::chrono::milliseconds connectTimeout{ 250 }; ///< Several round trips of a data centre link.
    /// Timeout for the head of a target's response, as a multiple of the latency goal. Applies only
    /// to idempotent requests, and only if another target may be tried afterwards.
    double headTimeoutGoalFactor = 1.0;
    /// Maximum time that a request waits for a target which is expected to meet the latency goal,
    /// as a multiple of that goal.
    double maxWaitGoalFactor = 0.4;
    /// Time between two placement attempts of a waiting request.
    std::chrono::milliseconds waitPollInterval{ 15 };
    /// Share of the keep-alive time stated by a target for which an idle connection is reused.
    double keepAliveShare = 0.5;
    /// Time for which an idle connection is reused if the target states no keep-alive time.
    std::chrono::milliseconds defaultReuseTime{ 500 };
    /// Maximum body size of a response that is not a stream.
    std::size_t maxAnswerBytes = 4U << 20U;
    /// Maximum size of one event of a stream.
    std::size_t maxEventBytes = 1U << 20U;
    /// Memory for the parts of all responses that wait to be sent to callers. While it is used up,
    /// the largest response fails and the others wait.
    std::size_t responseMemoryBytes = 24U << 20U;
    /// Size up to which a response does not count against `responseMemoryBytes`.
    std::size_t smallResponseBytes = 32U << 10U;
    /// Retry-After while this instance lacks a complete or recent configuration, and of a refusal
    /// after the last permitted attempt.
    std::chrono::milliseconds notReadyRetryAfter{ 400 };
    /// Retry-After while this instance shuts down. Short, because other instances accept the
    /// request at once.
    std::chrono::milliseconds drainRetryAfter{ 10 };
    /// Limit of the retries at one pool by all instances together.
    std::optional<admission::SharedRetryBudget> poolRetryBudget{};
    /// Limit of the retries of this instance after faults of one target, and at one pool if
    /// `poolRetryBudget` has no value.
    admission::RetryBudgetOptions retryBudget = admission::kRetryBudget;
    /// Time for which requests that an engine's crash breaks are collected.
    std::chrono::milliseconds breakSpread{ 15 };
    /// Time for which an engine that accepted a connection counts as running.
    std::chrono::milliseconds runningEngineAge{ 100 };
    /// Whether the times of answers are recorded, from which the performance of targets is learned.
    /// Without them, all targets count as equal.
    bool recordsTimes = false;
    /// Number of engines that may crash under a request before it is not sent again.
    std::size_t maxCrashesPerRequest = 2;
};

/// Functions that tell other instances what this one has seen of parts that crash engines. Empty
/// ones are not called.
struct QuarantineHooks
{
    std::function<void(const quarantine::CrashReport &)> crashed{};
    /// Parts that began an answer although they were suspects or quarantined.
    std::function<void(const std::vector<quarantine::PartKey> &)> innocent{};
    /// A part that this instance quarantined by its own verdict.
    std::function<void(const quarantine::QuarantinedPart &)> quarantined{};
    /// A part whose quarantine ended early because it is innocent.
    std::function<void(quarantine::PartKey)> lifted{};
};

/// A target that states a new rate limit.
struct RateLimitChange
{
    fleet::Target target;
    double requestsPerSecond = 0; ///< Requests from all instances together; 0 for no limit.
};

/// Components of the daemon that the relay uses. They must outlive the relay.
struct RelayContext
{
    const Codec &codec;
    net::HttpClient &client;
    dispatch::Placer &placer;
    Metrics &metrics;
    base::EventLog &log;
    std::function<DeploymentState()> deploymentState;
    quarantine::PartQuarantine &partQuarantine;
    QuarantineHooks quarantineHooks{};
    /// Called with a target that has stated for the first time that it is leaving while it is
    /// registered as ready. May be empty.
    std::function<void(const fleet::Target &)> targetLeaving{};
    /// Called if other instances should learn of a rate limit. May be empty.
    std::function<void(const RateLimitChange &)> rateLimitChanged{};
    /// Enforces the usage limits of customers. May be null.
    usage::UsageLimiter *usageLimiter = nullptr;
    RelayOptions options{};
};

/// Forwards callers' requests to targets of the pools that the route names, and the responses back
/// to the callers. Must be used on one thread. A request that must not run twice is sent again only
/// after proof that it did not run.
class Relay
{
public:
    explicit Relay(RelayContext context);

    /// Handles one request from admission to the end of the response.
    void serve(net::Exchange &exchange, boost::asio::yield_context yield);

    /// Updates the quarantines; logs, announces and counts their changes. Must be called
    /// regularly.
    void reportQuarantines();

private:
    class Flow;
    struct CrashCheck;

    /// Returns the limits of the retries of this instance at one pool.
    admission::RetryBudgetOptions poolRetryOptions() const;
    /// Records a crash, and tells other instances.
    void recordCrash(const quarantine::CrashReport &report);

    RelayContext context_;
    base::MemoryBudget responseMemory_;
    std::mt19937_64 random_;
    admission::RetryBudgetMap poolRetryBudgets_;
    admission::RetryBudgetMap targetRetryBudgets_;
    std::map<std::string, std::chrono::milliseconds> reuseTimes_; ///< By target id.
    /// Latest check of each target that broke a request, by target id.
    std::map<std::string, std::shared_ptr<CrashCheck>> crashChecks_;
};

} // namespace chervilfield::relay
