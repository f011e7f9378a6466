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

constexpr milliseconds kDefaultTimeout{ 60'000 }; ///< Timeout of a caller that states none.

// Removes the request from the load of its target when the attempt ends, however it ends.
class InFlightGuard
{
public:
    InFlightGuard(dispatch::TargetTracker &targetTracker, const fleet::Target &target,
                  dispatch::InFlightRequest &inFlightRequest)
        : targetTracker_(targetTracker), target_(target), inFlightRequest_(inFlightRequest)
    {
    }
    ~InFlightGuard()
    {
        targetTracker_.endRequest(target_, inFlightRequest_, dispatch::Time::clock::now());
    }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
    dispatch::TargetTracker &targetTracker_;
    const fleet::Target &target_;
    dispatch::InFlightRequest &inFlightRequest_;
};

} // namespace

Relay::Flow::Flow(Relay &relay, net::Exchange &exchange, boost::asio::yield_context yield)
    : relay_(relay), context_(relay.context_), exchange_(exchange), yield_(yield),
      responseMemory_(relay.responseMemory_), startedAt_(Clock::now()),
      caller_(context_.codec.decodeRequest(exchange.request())),
      admissionState_(context_.deploymentState()), attemptState_(admissionState_)
{
}

milliseconds Relay::Flow::timeLeft() const
{
    return duration_cast<milliseconds>(deadline_ - Clock::now());
}

milliseconds Relay::Flow::elapsed() const
{
    return duration_cast<milliseconds>(Clock::now() - startedAt_);
}

bool Relay::Flow::isRepeatable() const
{
    return route_->kind == fleet::RequestKind::Idempotent
           || (route_->kind == fleet::RequestKind::Stream && route_->isResumable);
}

bool Relay::Flow::admit()
{
    if (!admissionState_.view || !admissionState_.view->isComplete()) {
        respondWithFailure(Result::NotReady, WorkStatus::NotRun,
                           context_.options.notReadyRetryAfter);
        return false;
    }
    const net::Request &request = exchange_.request();
    const auto host = net::findHeader(request.headers, "Host").value_or("");
    route_ = admissionState_.view->findRoute(host, net::pathOf(request.target));
    if (route_ == nullptr) {
        if (admissionState_.isFresh)
            respondWithFailure(Result::UnknownPath, WorkStatus::NotRun);
        else
            respondWithFailure(Result::NotReady, WorkStatus::NotRun,
                               context_.options.notReadyRetryAfter);
        return false;
    }
    if (!authenticate())
        return false;
    milliseconds timeout = caller_.timeout.value_or(kDefaultTimeout);
    if (route_->timeout > milliseconds::zero())
        timeout = std::min(timeout, route_->timeout);
    deadline_ = startedAt_ + timeout;
    if (admissionState_.drainSchedule
        && !canAccept(*admissionState_.drainSchedule, timeout, startedAt_)) {
        logDrainRefusal(timeout);
        respondWithFailure(Result::ShuttingDown, WorkStatus::NotRun,
                           context_.options.drainRetryAfter);
        return false;
    }
    if (timeout <= milliseconds::zero()) {
        respondWithFailure(Result::DeadlineUnreachable, WorkStatus::NotRun);
        return false;
    }
    if (!chargeUsage())
        return false;
    for (std::size_t i = 0; i + 1 < caller_.promptParts.size(); ++i)
        sharedParts_.push_back(quarantine::partKey(caller_.model, caller_.promptParts[i].id));
    choosePool();
    return true;
}

bool Relay::Flow::authenticate()
{
    const fleet::View &view = *admissionState_.view;
    if (caller_.apiKey)
        customer_ = view.findCustomer(*caller_.apiKey);
    // A request with an unknown key is not anonymous on any route: the key may be a new one of an
    // isolated customer, whose prompts others must not share, or one that was removed.
    const bool mayBeAnonymous = route_->allowsAnonymous || view.configuration().customers.empty();
    if (customer_ != nullptr || (!caller_.apiKey && mayBeAnonymous))
        return true;
    if (admissionState_.isFresh)
        respondWithFailure(Result::Unauthorized, WorkStatus::NotRun);
    else
        respondWithFailure(Result::NotReady, WorkStatus::NotRun,
                           context_.options.notReadyRetryAfter);
    return false;
}

bool Relay::Flow::chargeUsage()
{
    if (customer_ == nullptr || !customer_->usageLimit || context_.usageLimiter == nullptr)
        return true;
    const fleet::UsageLimit &limit = *customer_->usageLimit;
    const double cost = usage::requestCost(limit, caller_.statedTokens);
    const auto refusal = context_.usageLimiter->admit(customer_->name, limit, cost, startedAt_);
    if (!refusal) {
        chargedUsage_ = cost;
        return true;
    }
    logUsageRefusal(*refusal, cost);
    respondWithFailure(Result::UsageLimitReached, WorkStatus::NotRun, refusal->retryAfter);
    return false;
}

void Relay::Flow::refundUsage()
{
    if (chargedUsage_ > 0 && !mayHaveRun_)
        context_.usageLimiter->refund(customer_->name, *customer_->usageLimit, chargedUsage_,
                                      Clock::now());
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

static_assert(dispatch::PlacementOptions{}.longPromptThresholdTokens
                      == scheduling::kLongPromptTokens,
              "Placement and urgency must agree which prompts are long.");

scheduling::ScheduledRequest Relay::Flow::scheduledRequest() const
{
    const bool hasOwnPriority = customer_ != nullptr && customer_->priority;
    return { .priority = hasOwnPriority ? *customer_->priority : route_->priority,
             .promptTokens = static_cast<double>(caller_.promptTokens),
             .arrivedAt = startedAt_,
             .goalAt = startedAt_ + route_->latencyGoal,
             .deadline = deadline_,
             .hasStarted = hasResponseStarted_,
             .customer = customer_ == nullptr ? std::string() : customer_->name };
}

dispatch::PlacementRequest Relay::Flow::placementRequest() const
{
    return { .model = caller_.model,
             .cacheScope = admissionState_.view->cacheScope(customer_),
             .parts = caller_.promptParts,
             .promptTokens = caller_.promptTokens,
             .maxOutputTokens = caller_.maxOutputTokens,
             .latencyGoal = route_->latencyGoal,
             .timeLeft = timeLeft(),
             .excluded = excludedTargets_ };
}

std::optional<dispatch::Placement> Relay::Flow::place()
{
    auto acceptance = dispatch::Acceptance::InTime;
    auto result = tryPlace(acceptance);
    const auto waitUntil = waitDeadline();
    while (const auto *refusal = std::get_if<dispatch::Refusal>(&result)) {
        if (!refusal->mayWait || cancellation_.cancelled() || quarantineTime())
            break;
        if (Clock::now() < waitUntil)
            waitForCapacity();
        else
            acceptance = dispatch::Acceptance::Late;
        result = tryPlace(acceptance);
    }
    if (const auto remaining = quarantineTime()) {
        refuseQuarantined(*remaining);
        return std::nullopt;
    }
    if (const auto *refusal = std::get_if<dispatch::Refusal>(&result)) {
        logRefusal(*refusal);
        if (!mayHaveRun_ && !hasResponseStarted_ && !targetFailure_)
            respondWithFailure(refusal->code, WorkStatus::NotRun, refusal->retryAfter);
        else
            respondAfterFailure(SendOutcome::Unknown);
        return std::nullopt;
    }
    auto placement = std::get<dispatch::Placement>(result);
    choiceLoad_ = loadOf(attemptState_.view->targets()[placement.target]);
    context_.placer.recordSent(placementRequest(), placement, *attemptState_.view, Clock::now());
    return placement;
}

std::variant<dispatch::Placement, dispatch::Refusal>
Relay::Flow::tryPlace(dispatch::Acceptance acceptance)
{
    // Targets may have left, and newer weights may have been set, since the attempt before.
    const DeploymentState latest = context_.deploymentState();
    if (latest.view->isComplete())
        attemptState_ = latest;
    return context_.placer.place(placementRequest(), pool_, *attemptState_.view, acceptance,
                                 Clock::now());
}

Relay::Flow::ChoiceLoad Relay::Flow::loadOf(const fleet::Target &target) const
{
    const auto now = Clock::now();
    const auto &targetTracker = context_.placer.targetTracker();
    ChoiceLoad load{ .requests = targetTracker.estimatedRequests(target, now),
                     .queuedTokens = targetTracker.estimatedWaitingTokens(target, now) };
    if (const auto *status = targetTracker.find(target)) {
        load.inFlight = status->inFlight;
        load.rateLimit = status->rateLimit.requestsPerSecond;
        if (status->reportedAt != dispatch::Time{})
            load.reportAge = duration_cast<milliseconds>(now - status->reportedAt);
    }
    return load;
}

Relay::Flow::Clock::time_point Relay::Flow::waitDeadline() const
{
    const auto maxWait = duration_cast<milliseconds>(
            std::chrono::duration<double, std::milli>(route_->latencyGoal)
            * context_.options.maxWaitGoalFactor);
    return std::min(startedAt_ + maxWait, deadline_);
}

void Relay::Flow::waitForCapacity()
{
    boost::asio::steady_timer timer(yield_.get_executor(), context_.options.waitPollInterval);
    boost::system::error_code ignored;
    timer.async_wait(yield_[ignored]);
}

bool Relay::Flow::needsCacheKey() const
{
    const bool isIsolated = customer_ != nullptr && customer_->isolatesCache;
    return !caller_.model.empty() || !caller_.promptParts.empty() || isIsolated;
}

net::Request Relay::Flow::forwardedRequest(const dispatch::Placement &placement) const
{
    const net::Request &original = exchange_.request();
    const dispatch::PlacementRequest request = placementRequest();
    ForwardFields fields{ .target = target_->id,
                          .timeLeft =
                                  std::min(timeLeft(), placement.timeLimit.value_or(timeLeft())),
                          .customer = customer_ == nullptr ? std::string() : customer_->name,
                          .cacheKey = {},
                          .weights = placement.weights,
                          .cacheSource = placement.cacheSource,
                          .cacheStore = placement.cacheStore,
                          .urgency = scheduling::engineUrgency(scheduledRequest()),
                          .lastEventId = caller_.lastEventId };
    if (needsCacheKey())
        fields.cacheKey = base::toHex(dispatch::prefixHash(request, 0, placement.weights));
    if (lastEventId_)
        fields.lastEventId = std::to_string(*lastEventId_);
    return { .method = original.method,
             .target = original.target,
             .headers = context_.codec.encodeTargetHeaders(original, fields),
             .idempotent = isRepeatable(),
             .sharedBody = exchange_.sharedBody() };
}

milliseconds Relay::Flow::headTimeout() const
{
    const bool mayTryAnother = isRepeatable() && triedTargets_.size() < route_->maxTargets
                               && route_->kind == fleet::RequestKind::Idempotent;
    if (!mayTryAnother || route_->latencyGoal <= milliseconds::zero())
        return timeLeft();
    const auto goalTimeout = duration_cast<milliseconds>(
            std::chrono::duration<double, std::milli>(route_->latencyGoal)
            * context_.options.headTimeoutGoalFactor);
    return std::min(timeLeft(), goalTimeout);
}

net::ExchangeOptions Relay::Flow::exchangeOptions() const
{
    const auto reuseTime = relay_.reuseTimes_.find(target_->id);
    net::ExchangeOptions options{ .headTimeout = headTimeout(),
                                  .connectTimeout =
                                          std::min(timeLeft(), context_.options.connectTimeout),
                                  .maxIdleTime = reuseTime == relay_.reuseTimes_.end()
                                                         ? context_.options.defaultReuseTime
                                                         : reuseTime->second };
    // Without an id, a late response to an earlier request cannot be told from the own one.
    if (caller_.requestId.empty())
        options.maxIdleTime = milliseconds(0);
    options.isOwnResponse = [this](const net::Headers &headers) {
        // Targets repeat the request id in each response. A response without this id does not
        // belong to the request.
        return context_.codec.decodeResponse(headers).requestId == caller_.requestId;
    };
    return options;
}

SendOutcome Relay::Flow::send(const dispatch::Placement &placement)
{
    target_ = &attemptState_.view->targets()[placement.target];
    inFlightRequest_ = placement.inFlightRequest;
    firstEventAt_.reset();
    eventCount_ = 0;
    hasTargetResponded_ = false;
    hasBegun_ = false;
    responseMemory_.resize(targetFailure_ ? targetFailure_->body.size() : 0);
    const InFlightGuard inFlightGuard(context_.placer.targetTracker(), *target_, inFlightRequest_);
    excludedTargets_.push_back(target_->id);
    net::ExchangeOptions options = exchangeOptions();
    if (route_->kind != fleet::RequestKind::NonIdempotent)
        options.cancellation = &cancellation_;
    std::error_code error;
    const auto response = context_.client.openOnce(target_->address, forwardedRequest(placement),
                                                   options, yield_, error);
    if (response != nullptr) {
        triedTargets_.push_back(target_->id);
        hasTargetResponded_ = true;
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
    triedTargets_.push_back(target_->id);
    targetTracker.recordFault(*target_,
                              error == Result::ProgressTimeout ? dispatch::Fault::Timeout
                                                               : dispatch::Fault::Broken,
                              Clock::now());
    return SendOutcome::Unknown;
}

bool Relay::Flow::takeRetry()
{
    const auto now = std::chrono::steady_clock::now();
    const auto poolOptions = relay_.poolRetryOptions();
    const auto &targetOptions = context_.options.retryBudget;
    auto &pool =
            admission::budgetOf(relay_.poolRetryBudgets_, base::hash64(pool_), poolOptions, now);
    auto &target = admission::budgetOf(relay_.targetRetryBudgets_, base::hash64(target_->id),
                                       targetOptions, now);
    return !admission::takeRetry(pool, poolOptions, target, targetOptions, now);
}

bool Relay::Flow::mayRetry(SendOutcome outcome)
{
    if (timeLeft() <= milliseconds::zero())
        return false;
    switch (outcome) {
    case SendOutcome::NotSent:
        return true;
    case SendOutcome::NotRun:
        return triedTargets_.size() < route_->maxTargets && takeRetry();
    case SendOutcome::Unknown:
    case SendOutcome::Failed:
        return isRepeatable() && crashes_ < context_.options.maxCrashesPerRequest
               && triedTargets_.size() < route_->maxTargets && takeRetry();
    case SendOutcome::Answered:
    case SendOutcome::Cancelled:
        break;
    }
    return false;
}

void Relay::Flow::respondAfterFailure(SendOutcome lastOutcome)
{
    if (hasResponseStarted_)
        return; // Closing the connection without the end of the stream shows the interruption.
    if (targetFailure_) {
        std::error_code error;
        exchange_.respond(*targetFailure_, yield_, error);
        hasResponseStarted_ = true;
        return;
    }
    if (mayHaveRun_ || lastOutcome == SendOutcome::Unknown) {
        const bool isLate = timeLeft() <= milliseconds::zero();
        respondWithFailure(isLate ? Result::RouteTimeout : Result::TargetFailed,
                           WorkStatus::Unknown);
        return;
    }
    const Result code = lastOutcome == SendOutcome::NotSent ? Result::NoTarget : Result::Overloaded;
    respondWithFailure(code, WorkStatus::NotRun, context_.options.notReadyRetryAfter);
}

void Relay::Flow::respondWithFailure(Result code, WorkStatus work, milliseconds retryAfter)
{
    result_ = code;
    std::error_code error;
    exchange_.respond(context_.codec.encodeFailure({ .code = code,
                                                     .work = work,
                                                     .retryAfter = retryAfter,
                                                     .requestId = caller_.requestId }),
                      yield_, error);
    hasResponseStarted_ = true;
}

void Relay::Flow::sendWithRetries()
{
    const auto now = std::chrono::steady_clock::now();
    const auto retryOptions = relay_.poolRetryOptions();
    admission::creditFirstAttempt(
            admission::budgetOf(relay_.poolRetryBudgets_, base::hash64(pool_), retryOptions, now),
            retryOptions, now);
    while (!cancellation_.cancelled()) {
        const auto placement = place();
        if (!placement)
            return;
        if (!awaitSendTime(*placement))
            continue;
        sentAt_ = Clock::now();
        const SendOutcome outcome = send(*placement);
        logSend(*placement, outcome);
        if (outcome == SendOutcome::Unknown && result_ != Result::ProgressTimeout) {
            logBreak();
            recordBreak();
        }
        context_.metrics.countSend(pool_, result_);
        mayHaveRun_ =
                mayHaveRun_ || (outcome != SendOutcome::NotSent && outcome != SendOutcome::NotRun);
        if (outcome == SendOutcome::Answered || outcome == SendOutcome::Cancelled)
            return;
        if (!mayRetry(outcome))
            return respondAfterFailure(outcome);
        if (hasResponseStarted_)
            context_.metrics.countResume();
    }
}

bool Relay::Flow::awaitSendTime(const dispatch::Placement &placement)
{
    if (placement.sendDelay <= milliseconds::zero())
        return true;
    boost::asio::steady_timer timer(yield_.get_executor(), placement.sendDelay);
    boost::system::error_code ignored;
    timer.async_wait(yield_[ignored]);
    const fleet::Target &target = attemptState_.view->targets()[placement.target];
    const fleet::ViewPtr latestView = context_.deploymentState().view;
    const fleet::Target *latest = latestView->findTarget(target.key);
    const bool isReady = latest != nullptr && latest->startedAt == target.startedAt
                         && latest->state == fleet::TargetState::Ready
                         && !context_.placer.targetTracker().isLeaving(*latest)
                         && !context_.placer.targetTracker().isPaused(*latest, Clock::now());
    if (isReady && !cancellation_.cancelled())
        return true;
    context_.placer.targetTracker().endRequest(target, placement.inFlightRequest, Clock::now());
    return false;
}

void Relay::Flow::run()
{
    context_.metrics.requestStarted();
    exchange_.watchPeer([this] { cancellation_.cancel(); });
    if (admit())
        sendWithRetries();
    refundUsage();
    if (cancellation_.cancelled() && !isResponseComplete_)
        result_ = Result::RequestCancelled;
    context_.metrics.observeAnswerTime(pool_, Clock::now() - startedAt_);
    context_.metrics.countAnswer(result_);
    context_.metrics.requestEnded();
    logAnswer();
}

bool canAccept(const DrainSchedule &drainSchedule, milliseconds timeout,
               base::BootClock::time_point now)
{
    return now <= drainSchedule.acceptUntil || now + timeout <= drainSchedule.exitAt;
}

Relay::Relay(RelayContext context)
    : context_(std::move(context)),
      responseMemory_(context_.options.responseMemoryBytes, context_.options.smallResponseBytes),
      random_(std::random_device{}())
{
}

admission::RetryBudgetOptions Relay::poolRetryOptions() const
{
    const RelayOptions &options = context_.options;
    if (!options.poolRetryBudget)
        return options.retryBudget;
    return admission::shareOf(*options.poolRetryBudget,
                              context_.placer.targetTracker().instanceShare().knownInstances);
}

void Relay::serve(net::Exchange &exchange, boost::asio::yield_context yield)
{
    Flow(*this, exchange, yield).run();
}

} // namespace chervilfield::relay
