#pragma once

#include "relay/event_splitter.h"
#include "relay/relay.h"
#include "scheduling/urgency.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::relay {

/// Outcome of one attempt to send a request to a target.
enum class SendOutcome {
    Answered,  ///< The whole response was read; sending it to the caller may have failed.
    NotSent,   ///< No byte was sent to the target.
    NotRun,    ///< The target states that it did not run the request.
    Unknown,   ///< The request was sent and may have run.
    Failed,    ///< The target ran the request and returned a server error.
    Cancelled, ///< The caller has closed its connection.
};

/// Checks whether a target that broke requests before their first event has crashed.
struct Relay::CrashCheck
{
    quarantine::CrashReport report;
    base::BootClock::time_point startedAt;
    boost::asio::steady_timer finished; ///< Expires never; cancelled at the end of the check.
    std::optional<bool> hasCrashed;     ///< No value while the check is in progress.
};

/// Handles one request of a caller: checks it, sends it to targets until one responds, and passes
/// the response on.
class Relay::Flow
{
public:
    Flow(Relay &relay, net::Exchange &exchange, boost::asio::yield_context yield);

    /// Handles the request. Returns when the caller has a response or has disconnected.
    void run();

private:
    /// Load of a target as the choice saw it, for the log.
    struct ChoiceLoad
    {
        double requests = 0;
        double queuedTokens = 0;
        std::uint32_t inFlight = 0;                ///< Requests of this instance.
        std::chrono::milliseconds reportAge{ -1 }; ///< -1 if the target has not reported.
        double rateLimit = 0; ///< Requests per second of all instances; 0 for no limit.
    };

    using Clock = base::BootClock;

    /// Checks the request against the view and chooses its pool. Responds with a failure and
    /// returns false if the request is refused.
    bool admit();
    /// Identifies the customer. Responds with a failure and returns false if the view lacks the
    /// caller's API key, or if the caller sent none and the route requires one. No key is required
    /// if the view has no customers.
    bool authenticate();
    /// Charges the request to the usage limit of its customer. Responds with a failure and returns
    /// false if the limit is used up.
    bool chargeUsage();
    /// Takes back the charge if no target has run the request.
    void refundUsage();
    /// Chooses a pool of the route at random by weight.
    void choosePool();
    dispatch::PlacementRequest placementRequest() const;
    /// Returns the properties that determine the order of the request among others.
    scheduling::ScheduledRequest scheduledRequest() const;
    /// Chooses a target, waiting for capacity if need be. Responds with a failure and returns no
    /// value if no target accepts the request.
    std::optional<dispatch::Placement> place();
    std::variant<dispatch::Placement, dispatch::Refusal> tryPlace(dispatch::Acceptance acceptance);
    /// Returns the time until which the request waits for a target that meets the latency goal.
    Clock::time_point waitDeadline() const;
    void waitForCapacity();
    /// Sends the request to the chosen target and handles the response.
    SendOutcome send(const dispatch::Placement &placement);
    /// Returns true if the request must have a cache key. An engine caches the prompts of all
    /// requests without one in the same scope.
    bool needsCacheKey() const;
    net::Request forwardedRequest(const dispatch::Placement &placement) const;
    net::ExchangeOptions exchangeOptions() const;
    /// Returns the timeout for the head of the target's response.
    std::chrono::milliseconds headTimeout() const;
    SendOutcome receive(net::ResponseStream &response);
    /// Drops a response that is not the rest of the stream which the caller has begun to receive.
    SendOutcome rejectResumption(const net::ResponseStream &response);
    SendOutcome receiveWhole(net::ResponseStream &response, const ResponseFields &fields);
    SendOutcome receiveStream(net::ResponseStream &response, const ResponseFields &fields);
    /// Forwards complete events to the caller. Returns false if the caller's connection has failed.
    bool forwardEvents(EventSplitter &splitter, const net::ResponseStream &response);
    /// Ends the caller's stream if the target's stream is complete.
    SendOutcome finishStream(bool isComplete, const EventSplitter &splitter);
    /// Records that the current attempt has received an event or the whole answer.
    void recordBegin();
    /// Records a break of the current attempt before the first event. If the engine has crashed,
    /// its waiting requests become suspects. Returns when that is known.
    void recordBreak();
    /// Returns whether the engine of the current attempt has crashed, and adds this request to the
    /// suspects.
    bool checkCrash();
    /// Returns the remaining time of the quarantine that a part of the prompt is in, or no value.
    std::optional<std::chrono::milliseconds> quarantineTime() const;
    /// Refuses the request because of a part of its prompt.
    void refuseQuarantined(std::chrono::milliseconds remaining);
    /// Reads the rest of a refusal for a short time, so that the connection can be reused.
    void discardRefusal(net::ResponseStream &response);
    /// Reserves memory for `bytes` of the current attempt's response, and waits for it while larger
    /// responses use it. Returns `Wait` if the request ended before, and `Refused` if the response
    /// must be dropped.
    base::MemoryGrant reserveMemory(std::size_t bytes);
    /// Records the time to the first event, or to the whole answer of a plain service, from which
    /// the performance of the target is learned.
    void recordFirstEventTime();
    /// Records the mean time between the events of a complete stream.
    void recordEventInterval();
    /// Records a complete answer, or a fault if further bytes follow it.
    void recordAnswer(const net::ResponseStream &response);
    /// Records what the response tells about the target.
    void recordResponse(const ResponseFields &fields, int status);

    /// Returns true if the request may be sent again after `outcome`. Takes a retry from the
    /// budgets unless no byte was sent.
    bool mayRetry(SendOutcome outcome);
    /// Takes a retry from the budgets of the pool and of the target. Returns false if one is spent.
    bool takeRetry();
    /// Responds with the failure that describes all attempts so far; `lastOutcome` is the outcome
    /// of the last one. Does nothing if the response has started.
    void respondAfterFailure(SendOutcome lastOutcome);
    void respondWithFailure(base::Result code, base::WorkStatus work,
                            std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));
    void sendWithRetries();
    /// Waits until the target accepts another request. Returns false if the caller or the target
    /// has left meanwhile.
    bool awaitSendTime(const dispatch::Placement &placement);
    /// Records that the target is leaving.
    void recordLeaving();
    /// Records the time for which the target wants no requests.
    void recordPause(std::chrono::milliseconds pause);
    /// Records the rate limit that the target states, or that it states none.
    void recordRateLimit(const ResponseFields &fields);
    ChoiceLoad loadOf(const fleet::Target &target) const;
    void logAnswer();
    void logRefusal(const dispatch::Refusal &refusal);
    void logUsageRefusal(const usage::UsageRefusal &refusal, double cost);
    void logDrainRefusal(std::chrono::milliseconds timeout);
    void logSend(const dispatch::Placement &placement, SendOutcome outcome);
    /// Logs that the target closed the connection before the end of its response.
    void logBreak();

    /// Returns true if the request may run more than once.
    bool isRepeatable() const;
    /// Returns the time until the deadline, which is negative after it.
    std::chrono::milliseconds timeLeft() const;
    std::chrono::milliseconds elapsed() const;

    Relay &relay_;
    RelayContext &context_;
    net::Exchange &exchange_;
    boost::asio::yield_context yield_;
    base::MemoryReservation responseMemory_;
    Clock::time_point startedAt_;
    Clock::time_point sentAt_{}; ///< Start of the current attempt.
    CallerFields caller_;
    /// Deployment when the request arrived. Its route, customer and pool hold for all attempts.
    const DeploymentState admissionState_;
    const fleet::Route *route_ = nullptr;
    const fleet::Customer *customer_ = nullptr;
    std::string pool_;
    double chargedUsage_ = 0; ///< Cost that was charged to the customer's usage limit.
    Clock::time_point deadline_;
    net::Cancellation cancellation_;

    /// Deployment on which the current attempt was placed. `target_` and its placement refer to it.
    DeploymentState attemptState_;
    ChoiceLoad choiceLoad_; ///< Load of the target of the current attempt when it was chosen.
    std::vector<std::string> triedTargets_;    ///< Ids of targets that the request was sent to.
    std::vector<std::string> excludedTargets_; ///< Ids of those targets and of unreachable ones.
    std::vector<quarantine::PartKey> sharedParts_; ///< Parts that other requests may share.
    std::size_t crashes_ = 0; ///< Engines that crashed before the first event of an attempt.
    const fleet::Target *target_ = nullptr; ///< Target of the current attempt.
    bool hasTargetResponded_ = false; ///< The head of the current attempt's response has arrived.
    bool hasBegun_ = false; ///< The current attempt has received an event or the whole answer.
    /// Arrival of the first bytes of a stream in the current attempt.
    std::optional<Clock::time_point> firstEventAt_;
    std::size_t eventCount_ = 0;                ///< Events of the current attempt.
    dispatch::InFlightRequest inFlightRequest_; ///< Load of the current attempt on its target.
    bool mayHaveRun_ = false;                  ///< A target has run the request or may have run it.
    bool hasResponseStarted_ = false;          ///< The response head was sent to the caller.
    bool isResponseComplete_ = false;          ///< The caller has a target's whole response.
    std::optional<std::uint64_t> lastEventId_; ///< Id of the last event forwarded to the caller.
    base::Result result_ = base::Result::Ok;   ///< Result for the log and the metrics.
    /// Last server error of a target, passed on if no attempt succeeds.
    std::optional<net::Response> targetFailure_;
};

} // namespace chervilfield::relay
