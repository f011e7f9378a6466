#pragma once

#include "relay/event_splitter.h"
#include "relay/relay.h"

#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::relay {

/// What became of one send of a request to a target.
enum class SendOutcome {
    Answered,  ///< The caller has the whole answer, or the stream cannot go on.
    NotSent,   ///< No byte was sent.
    NotRun,    ///< The target states that it did not run the request.
    Unknown,   ///< The request was sent and may have run.
    Failed,    ///< The target ran the request and answered with an error of its own.
    Cancelled, ///< The caller has gone.
};

/// One request of a caller on its way through the system.
class Relay::Flow
{
public:
    Flow(Relay &relay, net::Exchange &exchange, boost::asio::yield_context yield);

    void run();

private:
    using Clock = std::chrono::steady_clock;

    /// Checks the request against the view; answers it and returns false if it is not allowed.
    bool admit();
    bool authenticate();
    void choosePool();
    dispatch::PlacementRequest workRequest() const;
    std::optional<dispatch::Placement> place();
    std::variant<dispatch::Placement, dispatch::Refusal> tryPlace(dispatch::Acceptance acceptance);
    /// Returns when the request stops to wait for a target that answers in time.
    Clock::time_point waitLimit() const;
    void waitForRoom();
    /// Sends the request to its next target.
    SendOutcome send(const dispatch::Placement &placement);
    net::Request forwardedRequest(const dispatch::Placement &placement) const;
    net::ExchangeOptions exchangeOptions() const;
    std::chrono::milliseconds headTimeout() const;
    SendOutcome receive(net::ResponseStream &response);
    SendOutcome receiveWhole(net::ResponseStream &response, const ResponseFields &fields);
    SendOutcome receiveStream(net::ResponseStream &response, const ResponseFields &fields);
    /// Sends complete events to the caller. Returns false if the stream cannot go on.
    bool deliver(EventSplitter &splitter, const net::ResponseStream &response);
    SendOutcome endStream(bool isComplete, const EventSplitter &splitter);
    void learn(const ResponseFields &fields, int status);

    /// Returns true if the request may be sent once more after `outcome`.
    bool mayRepeat(SendOutcome outcome);
    bool takeRetry();
    void answerFailure(SendOutcome last);
    void fail(base::Result code, base::WorkStatus work,
              std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));
    void sendUntilAnswered();
    void logAnswer();
    void logRefusal(const dispatch::Refusal &refusal);
    void logDeparture(std::chrono::milliseconds patience);
    void logSend(const dispatch::Placement &placement, SendOutcome outcome, Clock::time_point at);

    bool isRepeatable() const;
    std::chrono::milliseconds left() const;
    std::chrono::milliseconds elapsed() const;

    Relay &relay_;
    RelayContext &context_;
    net::Exchange &exchange_;
    boost::asio::yield_context yield_;
    Clock::time_point started_;
    CallerFields caller_;
    DeploymentState deploymentState_;
    const fleet::Route *route_ = nullptr;
    const fleet::Customer *customer_ = nullptr;
    std::string pool_;
    Clock::time_point deadline_;
    net::Cancellation cancellation_;

    std::vector<std::string> tried_;                ///< Targets that the request was sent to.
    std::vector<std::string> avoided_;              ///< Those and the ones without a connection.
    const fleet::Target *target_ = nullptr;         ///< Of the send in progress.
    std::optional<Clock::time_point> firstEventAt_; ///< Of the send in progress.
    dispatch::InFlightRequest flight_;              ///< Of the send in progress.
    bool mayHaveRun_ = false;
    bool hasStarted_ = false; ///< The head of the answer was sent to the caller.
    bool isFinished_ = false;
    std::optional<std::uint64_t> lastEvent_;
    base::Result result_ = base::Result::Ok;     ///< For the log and the metrics.
    std::optional<net::Response> targetFailure_; ///< A target's own error, to pass on if need be.
};

} // namespace chervilfield::relay
