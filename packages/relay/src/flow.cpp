#include "flow.h"

#include "base/hash.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace chervilfield::relay {

using base::Result;
using base::WorkStatus;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLongestWait{ 60'000 }; ///< Of a caller that states no time.

// Keeps a decision's in-flight counts right whatever way the send ends.
class InFlight
{
public:
    InFlight(dispatch::TargetTracker &targetTracker, const fleet::Target &target,
             dispatch::InFlightRequest &flight)
        : targetTracker_(targetTracker), target_(target), flight_(flight)
    {
    }
    ~InFlight() { targetTracker_.endRequest(target_, flight_, dispatch::Time::clock::now()); }
    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;

private:
    dispatch::TargetTracker &targetTracker_;
    const fleet::Target &target_;
    dispatch::InFlightRequest &flight_;
};

} // namespace

Relay::Flow::Flow(Relay &relay, net::Exchange &exchange, boost::asio::yield_context yield)
    : relay_(relay), context_(relay.context_), exchange_(exchange), yield_(yield),
      started_(Clock::now()), caller_(context_.codec.decodeRequest(exchange.request())),
      deploymentState_(context_.deploymentState())
{
}

milliseconds Relay::Flow::left() const
{
    return duration_cast<milliseconds>(deadline_ - Clock::now());
}

milliseconds Relay::Flow::elapsed() const
{
    return duration_cast<milliseconds>(Clock::now() - started_);
}

bool Relay::Flow::isRepeatable() const
{
    return route_->kind == fleet::RequestKind::Idempotent
           || (route_->kind == fleet::RequestKind::Stream && route_->isResumable);
}

bool Relay::Flow::admit()
{
    if (!deploymentState_.view || !deploymentState_.view->isComplete()) {
        fail(Result::NotReady, WorkStatus::NotRun, context_.options.notReadyRetryAfter);
        return false;
    }
    const net::Request &request = exchange_.request();
    const auto host = net::findHeader(request.headers, "Host").value_or("");
    route_ = deploymentState_.view->findRoute(host, net::pathOf(request.target));
    if (route_ == nullptr) {
        if (deploymentState_.isFresh)
            fail(Result::UnknownPath, WorkStatus::NotRun);
        else
            fail(Result::NotReady, WorkStatus::NotRun, context_.options.notReadyRetryAfter);
        return false;
    }
    if (!authenticate())
        return false;
    milliseconds patience = caller_.timeout.value_or(kLongestWait);
    if (route_->timeout > milliseconds::zero())
        patience = std::min(patience, route_->timeout);
    deadline_ = started_ + patience;
    if (deploymentState_.drainSchedule
        && !canAccept(*deploymentState_.drainSchedule, patience, started_)) {
        logDeparture(patience);
        fail(Result::ShuttingDown, WorkStatus::NotRun, context_.options.drainRetryAfter);
        return false;
    }
    if (patience <= milliseconds::zero()) {
        fail(Result::DeadlineUnreachable, WorkStatus::NotRun);
        return false;
    }
    choosePool();
    return true;
}

bool Relay::Flow::authenticate()
{
    if (!caller_.apiKey.empty())
        customer_ = deploymentState_.view->findCustomer(caller_.apiKey);
    if (customer_ != nullptr || route_->allowsAnonymous
        || deploymentState_.view->configuration().customers.empty())
        return true;
    if (deploymentState_.isFresh)
        fail(Result::Unauthorized, WorkStatus::NotRun);
    else
        fail(Result::NotReady, WorkStatus::NotRun, context_.options.notReadyRetryAfter);
    return false;
}

void Relay::Flow::choosePool()
{
    double total = 0;
    for (const fleet::PoolShare &share : route_->pools)
        total += share.weight;
    double draw = std::uniform_real_distribution<double>(0, total)(relay_.random_);
    for (const fleet::PoolShare &share : route_->pools) {
        pool_ = share.pool;
        draw -= share.weight;
        if (draw < 0)
            return;
    }
}

dispatch::PlacementRequest Relay::Flow::workRequest() const
{
    return { .model = caller_.model,
             .cacheScope = customer_ != nullptr && customer_->isolatesCache ? customer_->name
                                                                            : std::string(),
             .parts = caller_.promptParts,
             .promptTokens = caller_.promptTokens,
             .outputTokens = caller_.maxOutputTokens,
             .latencyGoal = route_->latencyGoal,
             .timeLeft = left(),
             .excluded = avoided_ };
}

std::optional<dispatch::Placement> Relay::Flow::place()
{
    auto acceptance = dispatch::Acceptance::InTime;
    auto result = tryPlace(acceptance);
    const auto waitUntil = waitLimit();
    while (const auto *refusal = std::get_if<dispatch::Refusal>(&result)) {
        if (!refusal->mayWait || cancellation_.cancelled())
            break;
        if (Clock::now() < waitUntil)
            waitForRoom();
        else
            acceptance = dispatch::Acceptance::Late;
        result = tryPlace(acceptance);
    }
    if (const auto *refusal = std::get_if<dispatch::Refusal>(&result)) {
        logRefusal(*refusal);
        if (!mayHaveRun_ && !hasStarted_ && !targetFailure_)
            fail(refusal->code, WorkStatus::NotRun, refusal->retryAfter);
        else
            answerFailure(SendOutcome::Unknown);
        return std::nullopt;
    }
    auto placement = std::get<dispatch::Placement>(result);
    context_.placer.recordSent(workRequest(), placement, *deploymentState_.view, Clock::now());
    return placement;
}

std::variant<dispatch::Placement, dispatch::Refusal>
Relay::Flow::tryPlace(dispatch::Acceptance acceptance)
{
    return context_.placer.place(workRequest(), pool_, *deploymentState_.view, acceptance,
                                 Clock::now());
}

Relay::Flow::Clock::time_point Relay::Flow::waitLimit() const
{
    const auto share = duration_cast<milliseconds>(
            std::chrono::duration<double, std::milli>(route_->latencyGoal)
            * context_.options.maxWaitGoalFactor);
    return std::min(started_ + share, deadline_);
}

void Relay::Flow::waitForRoom()
{
    boost::asio::steady_timer timer(yield_.get_executor(), context_.options.waitPollInterval);
    boost::system::error_code ignored;
    timer.async_wait(yield_[ignored]);
}

net::Request Relay::Flow::forwardedRequest(const dispatch::Placement &placement) const
{
    const net::Request &original = exchange_.request();
    const dispatch::PlacementRequest work = workRequest();
    ForwardFields fields{ .target = target_->id,
                          .timeLeft = std::min(left(), placement.timeLimit.value_or(left())),
                          .customer = customer_ == nullptr ? std::string() : customer_->name,
                          .cacheKey = {},
                          .weights = placement.weights,
                          .cacheSource = placement.cacheSource,
                          .cacheStore = placement.cacheStore,
                          .priority = route_->priority,
                          .lastEventId = caller_.lastEventId };
    if (customer_ != nullptr && customer_->priority)
        fields.priority = *customer_->priority;
    if (!caller_.model.empty())
        fields.cacheKey = base::toHex(dispatch::prefixHash(work, 0, placement.weights));
    if (lastEvent_)
        fields.lastEventId = std::to_string(*lastEvent_);
    return { .method = original.method,
             .target = original.target,
             .headers = context_.codec.encodeTargetHeaders(original, fields),
             .body = original.body,
             .idempotent = isRepeatable() };
}

milliseconds Relay::Flow::headTimeout() const
{
    const bool mayTryAnother = isRepeatable() && tried_.size() < route_->maxTargets
                               && route_->kind == fleet::RequestKind::Idempotent;
    if (!mayTryAnother || route_->latencyGoal <= milliseconds::zero())
        return left();
    const auto overdue = duration_cast<milliseconds>(
            std::chrono::duration<double, std::milli>(route_->latencyGoal)
            * context_.options.headTimeoutGoalFactor);
    return std::min(left(), overdue);
}

net::ExchangeOptions Relay::Flow::exchangeOptions() const
{
    const auto reuse = relay_.reuse_.find(target_->id);
    net::ExchangeOptions options{ .headTimeout = headTimeout(),
                                  .connectTimeout =
                                          std::min(left(), context_.options.connectTimeout),
                                  .reuseWithin = reuse == relay_.reuse_.end()
                                                         ? context_.options.defaultReuseTime
                                                         : reuse->second };
    options.belongs = [this](const net::Headers &headers) {
        // Targets repeat the id in each answer; one without it answers no request.
        return context_.codec.decodeResponse(headers).requestId == caller_.requestId;
    };
    return options;
}

SendOutcome Relay::Flow::send(const dispatch::Placement &placement)
{
    target_ = &deploymentState_.view->targets()[placement.target];
    flight_ = placement.inFlightRequest;
    firstEventAt_.reset();
    const InFlight counted(context_.placer.targetTracker(), *target_, flight_);
    avoided_.push_back(target_->id);
    net::ExchangeOptions options = exchangeOptions();
    if (route_->kind != fleet::RequestKind::NonIdempotent)
        options.cancellation = &cancellation_;
    std::error_code error;
    const auto response = context_.client.openOnce(target_->address, forwardedRequest(placement),
                                                   options, yield_, error);
    if (response != nullptr) {
        tried_.push_back(target_->id);
        return receive(*response);
    }
    auto &targetTracker = context_.placer.targetTracker();
    result_ = base::toResult(error);
    if (error == Result::RequestCancelled)
        return SendOutcome::Cancelled;
    if (error == Result::TargetUnreachable) {
        targetTracker.recordFault(*target_, dispatch::Fault::Unreachable, Clock::now());
        return SendOutcome::NotSent;
    }
    tried_.push_back(target_->id);
    targetTracker.recordFault(*target_,
                              error == Result::ProgressTimeout ? dispatch::Fault::Timeout
                                                               : dispatch::Fault::Broken,
                              Clock::now());
    return SendOutcome::Unknown;
}

bool Relay::Flow::takeRetry()
{
    const auto now = Clock::now();
    const auto &options = context_.options.retryBudget;
    auto &pool = admission::budgetOf(relay_.poolRetries_, base::hash64(pool_), options, now);
    auto &target =
            admission::budgetOf(relay_.targetRetries_, base::hash64(target_->id), options, now);
    return !admission::takeRetry(pool, target, options, now);
}

bool Relay::Flow::mayRepeat(SendOutcome outcome)
{
    if (left() <= milliseconds::zero())
        return false;
    switch (outcome) {
    case SendOutcome::NotSent:
        return true;
    case SendOutcome::NotRun:
        return tried_.size() < route_->maxTargets && takeRetry();
    case SendOutcome::Unknown:
    case SendOutcome::Failed:
        return isRepeatable() && tried_.size() < route_->maxTargets && takeRetry();
    case SendOutcome::Answered:
    case SendOutcome::Cancelled:
        break;
    }
    return false;
}

void Relay::Flow::answerFailure(SendOutcome last)
{
    if (hasStarted_)
        return; // The connection closes without the end of the stream.
    if (targetFailure_) {
        std::error_code error;
        exchange_.respond(*targetFailure_, yield_, error);
        hasStarted_ = true;
        return;
    }
    if (mayHaveRun_ || last == SendOutcome::Unknown) {
        const bool isLate = left() <= milliseconds::zero();
        fail(isLate ? Result::RouteTimeout : Result::TargetFailed, WorkStatus::Unknown);
        return;
    }
    const Result code = last == SendOutcome::NotSent ? Result::NoTarget : Result::Overloaded;
    fail(code, WorkStatus::NotRun, context_.options.notReadyRetryAfter);
}

void Relay::Flow::fail(Result code, WorkStatus work, milliseconds retryAfter)
{
    result_ = code;
    std::error_code error;
    exchange_.respond(context_.codec.encodeFailure({ .code = code,
                                                     .work = work,
                                                     .retryAfter = retryAfter,
                                                     .requestId = caller_.requestId }),
                      yield_, error);
    hasStarted_ = true;
}

void Relay::Flow::sendUntilAnswered()
{
    const auto now = Clock::now();
    admission::creditFirstAttempt(admission::budgetOf(relay_.poolRetries_, base::hash64(pool_),
                                                      context_.options.retryBudget, now),
                                  context_.options.retryBudget, now);
    while (!cancellation_.cancelled()) {
        const auto placement = place();
        if (!placement)
            return;
        const auto sentAt = Clock::now();
        const SendOutcome outcome = send(*placement);
        logSend(*placement, outcome, sentAt);
        context_.metrics.countSend(pool_, result_);
        mayHaveRun_ =
                mayHaveRun_ || outcome == SendOutcome::Unknown || outcome == SendOutcome::Failed;
        if (outcome == SendOutcome::Answered || outcome == SendOutcome::Cancelled)
            return;
        if (!mayRepeat(outcome))
            return answerFailure(outcome);
        if (hasStarted_)
            context_.metrics.countResume();
    }
}

void Relay::Flow::run()
{
    context_.metrics.requestStarted();
    exchange_.watchPeer([this] { cancellation_.cancel(); });
    if (admit())
        sendUntilAnswered();
    if (cancellation_.cancelled() && !isFinished_)
        result_ = Result::RequestCancelled;
    context_.metrics.observeAnswerTime(pool_, Clock::now() - started_);
    context_.metrics.countAnswer(result_);
    context_.metrics.requestEnded();
    logAnswer();
}

bool canAccept(const DrainSchedule &drainSchedule, milliseconds patience,
               std::chrono::steady_clock::time_point now)
{
    return now <= drainSchedule.acceptUntil || now + patience <= drainSchedule.exitAt;
}

Relay::Relay(RelayContext context) : context_(std::move(context)), random_(std::random_device{}())
{
}

void Relay::serve(net::Exchange &exchange, boost::asio::yield_context yield)
{
    Flow(*this, exchange, yield).run();
}

} // namespace chervilfield::relay
