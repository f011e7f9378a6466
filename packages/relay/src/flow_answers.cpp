#include "flow.h"

#include <algorithm>
#include <utility>

namespace chervilfield::relay {

using base::Result;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

bool isSuccess(int status)
{
    return status >= kOk && status < kMultipleChoices;
}

// Returns true for the statuses that tell a caller that its request has not run.
bool promisesNotRun(int status)
{
    constexpr int kRequestTimeout = 408;
    constexpr int kMisdirected = 421;
    constexpr int kTooManyRequests = 429;
    return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests
           || status == kUnavailable;
}

bool isEventStream(const net::Headers &headers)
{
    return net::findHeader(headers, "Content-Type").value_or("").starts_with("text/event-stream");
}

} // namespace

void Relay::Flow::recordResponse(const ResponseFields &fields, int status)
{
    auto &targetTracker = context_.placer.targetTracker();
    const auto now = Clock::now();
    if (fields.load)
        targetTracker.recordReport(*target_, *fields.load, now);
    if (fields.weights && !caller_.model.empty())
        targetTracker.recordWeights(*target_, caller_.model, *fields.weights, now);
    if (fields.isLeaving)
        recordLeaving();
    if (fields.retryAfter && status == kUnavailable)
        recordPause(*fields.retryAfter);
    recordRateLimit(fields);
    if (fields.keepAlive) {
        // Targets join and leave under new ids, so the map is cleared when it grows too large. A
        // lost entry costs at most a new connection.
        constexpr std::size_t kMaxReuseTimes = 4096;
        if (relay_.reuseTimes_.size() > kMaxReuseTimes)
            relay_.reuseTimes_.clear();
        relay_.reuseTimes_[target_->id] = duration_cast<milliseconds>(
                std::chrono::duration<double, std::milli>(*fields.keepAlive)
                * context_.options.keepAliveShare);
    }
    if (fields.isNotRun)
        targetTracker.recordFault(*target_, dispatch::Fault::Refused, now);
    else if (status >= kServerError)
        targetTracker.recordFault(*target_, dispatch::Fault::Failed, now);
}

void Relay::Flow::recordLeaving()
{
    if (!context_.placer.targetTracker().recordLeaving(target_->id, target_->startedAt,
                                                       Clock::now()))
        return;
    context_.log.write("placement", "target-leaving",
                       { { "target", target_->id },
                         { "started_at", target_->startedAt },
                         { "from_peer", false } });
    // The other instances know a change of the registration from the store.
    const fleet::ViewPtr latestView = context_.deploymentState().view;
    const fleet::Target *latest = latestView->findTarget(target_->key);
    const bool isRegisteredReady = latest != nullptr && latest->startedAt == target_->startedAt
                                   && latest->state == fleet::TargetState::Ready;
    if (isRegisteredReady && context_.targetLeaving)
        context_.targetLeaving(*target_);
}

void Relay::Flow::recordPause(milliseconds pause)
{
    auto &targetTracker = context_.placer.targetTracker();
    const auto now = Clock::now();
    // Requests that were on their way get the same answer.
    if (!targetTracker.isPaused(*target_, now))
        context_.log.write("placement", "target-paused",
                           { { "target", target_->id }, { "pause_ms", pause } });
    targetTracker.recordPause(*target_, pause, now);
}

void Relay::Flow::recordRateLimit(const ResponseFields &fields)
{
    auto &targetTracker = context_.placer.targetTracker();
    // Only an answer of the target itself shows that it states no limit.
    if ((!fields.rateLimit && !fields.isSigned)
        || !targetTracker.recordRateLimit(*target_, fields.rateLimit, sentAt_, Clock::now()))
        return;
    const double requestsPerSecond = targetTracker.find(*target_)->rateLimit.requestsPerSecond;
    context_.log.write("placement", "rate-limit-changed",
                       { { "target", target_->id }, { "per_second", requestsPerSecond } });
    if (context_.rateLimitChanged)
        context_.rateLimitChanged({ .target = *target_, .requestsPerSecond = requestsPerSecond });
}

void Relay::Flow::discardRefusal(net::ResponseStream &response)
{
    const auto deadline = std::min(deadline_, Clock::now() + context_.options.connectTimeout);
    std::size_t size = 0;
    std::string ignored;
    std::error_code error;
    auto left = duration_cast<milliseconds>(deadline - Clock::now());
    while (left > milliseconds::zero() && size <= context_.options.maxAnswerBytes
           && response.read(ignored, left, yield_, error)) {
        size += ignored.size();
        ignored.clear();
        left = duration_cast<milliseconds>(deadline - Clock::now());
    }
    if (size > context_.options.maxAnswerBytes)
        context_.placer.targetTracker().recordFault(*target_, dispatch::Fault::Broken,
                                                    Clock::now());
}

SendOutcome Relay::Flow::receive(net::ResponseStream &response)
{
    const ResponseFields fields = context_.codec.decodeResponse(response.headers());
    recordResponse(fields, response.status());
    // A success is an answer, whatever else the target states.
    if (fields.isNotRun && !isSuccess(response.status())) {
        discardRefusal(response);
        result_ = Result::Overloaded;
        return SendOutcome::NotRun;
    }
    // A response to HEAD describes a stream without its events.
    const bool hasContent = exchange_.request().method != "HEAD";
    if (isSuccess(response.status()) && isEventStream(response.headers()) && hasContent)
        return receiveStream(response, fields);
    if (hasResponseStarted_)
        return rejectResumption(response);
    return receiveWhole(response, fields);
}

SendOutcome Relay::Flow::rejectResumption(const net::ResponseStream &response)
{
    if (isSuccess(response.status()))
        context_.placer.targetTracker().recordFault(*target_, dispatch::Fault::Broken,
                                                    Clock::now());
    result_ = Result::StreamInterrupted;
    return SendOutcome::Failed;
}

void Relay::Flow::recordAnswer(const net::ResponseStream &response)
{
    auto &targetTracker = context_.placer.targetTracker();
    if (response.hasSurplusBytes())
        targetTracker.recordFault(*target_, dispatch::Fault::Broken, Clock::now());
    else
        targetTracker.recordSuccess(*target_, Clock::now());
}

void Relay::Flow::recordFirstEventTime()
{
    if (!context_.options.recordsTimes)
        return;
    const auto now = Clock::now();
    context_.placer.targetTracker().recordTimes(*target_, inFlightRequest_,
                                                { .timeToFirstEvent = now - sentAt_ }, now);
}

void Relay::Flow::recordEventInterval()
{
    if (!context_.options.recordsTimes || eventCount_ < 2 || !firstEventAt_)
        return;
    const auto now = Clock::now();
    const dispatch::Seconds total = now - *firstEventAt_;
    context_.placer.targetTracker().recordTimes(
            *target_, inFlightRequest_,
            { .eventInterval = total / static_cast<double>(eventCount_ - 1) }, now);
}

base::MemoryGrant Relay::Flow::reserveMemory(std::size_t bytes)
{
    // The last server error is kept until the caller has a response.
    const std::size_t total = bytes + (targetFailure_ ? targetFailure_->body.size() : 0);
    auto grant = responseMemory_.resize(total);
    while (grant == base::MemoryGrant::Wait && timeLeft() > milliseconds::zero()
           && !cancellation_.cancelled()) {
        // The target keeps the bytes that are not read meanwhile.
        waitForCapacity();
        grant = responseMemory_.resize(total);
    }
    if (grant != base::MemoryGrant::Granted)
        context_.log.write("relay", "response-memory-used-up",
                           { { "target", target_->id },
                             { "bytes", total },
                             { "used", relay_.responseMemory_.usedBytes() } });
    return grant;
}

SendOutcome Relay::Flow::receiveWhole(net::ResponseStream &response, const ResponseFields &fields)
{
    net::Response whole{ .status = response.status(),
                         .headers = context_.codec.encodeCallerHeaders(response.headers()) };
    cancellation_.setAbort([&response] { response.abort(); });
    std::error_code error;
    auto grant = base::MemoryGrant::Granted;
    while (!error && timeLeft() > milliseconds::zero()
           && response.read(whole.body, timeLeft(), yield_, error)) {
        grant = reserveMemory(whole.body.size());
        if (whole.body.size() > context_.options.maxAnswerBytes
            || grant != base::MemoryGrant::Granted)
            error = Result::BodyTooLarge;
    }
    cancellation_.setAbort({});
    auto &targetTracker = context_.placer.targetTracker();
    const bool isIncomplete = error || timeLeft() <= milliseconds::zero();
    if (isIncomplete || (isSuccess(whole.status) && !fields.isSigned)) {
        if (cancellation_.cancelled() && route_->kind != fleet::RequestKind::NonIdempotent)
            return SendOutcome::Cancelled;
        // A target that states a length is not at fault if there is no memory for it.
        const bool isTargetAtFault = grant == base::MemoryGrant::Granted
                                     || (grant == base::MemoryGrant::Refused
                                         && !net::findHeader(response.headers(), "Content-Length"));
        if (isTargetAtFault)
            targetTracker.recordFault(*target_, dispatch::Fault::Broken, Clock::now());
        result_ = error ? base::toResult(error) : Result::TargetFailed;
        return SendOutcome::Unknown;
    }
    if (promisesNotRun(whole.status) && !isRepeatable()) {
        // The target does not state that the request has not run, so the caller must not be told.
        targetTracker.recordFault(*target_, dispatch::Fault::Failed, Clock::now());
        result_ = Result::TargetFailed;
        return SendOutcome::Failed;
    }
    if (whole.status >= kServerError) {
        targetFailure_ = std::move(whole);
        result_ = Result::TargetFailed;
        return SendOutcome::Failed;
    }
    recordAnswer(response);
    if (caller_.model.empty() && isSuccess(whole.status))
        recordFirstEventTime();
    // An error may be returned before the engine begins on the prompt.
    if (isSuccess(whole.status))
        recordBegin();
    std::error_code callerError;
    exchange_.respond(whole, yield_, callerError);
    hasResponseStarted_ = true;
    isResponseComplete_ = !callerError;
    result_ = callerError ? Result::RequestCancelled : Result::Ok;
    return SendOutcome::Answered;
}

bool Relay::Flow::forwardEvents(EventSplitter &splitter, const net::ResponseStream &response)
{
    std::error_code error;
    while (const auto event = splitter.next()) {
        recordBegin();
        if (++eventCount_ == 1)
            recordFirstEventTime();
        if (event->id && lastEventId_ && *event->id <= *lastEventId_)
            continue;
        if (!hasResponseStarted_) {
            hasResponseStarted_ = true;
            context_.metrics.observeTimeToFirstEvent(pool_, Clock::now() - startedAt_);
            exchange_.startStream(response.status(),
                                  context_.codec.encodeCallerHeaders(response.headers()), yield_,
                                  error);
        }
        if (!error)
            exchange_.write(event->bytes, yield_, error);
        if (error)
            return false;
        if (event->id)
            lastEventId_ = event->id;
    }
    return true;
}

SendOutcome Relay::Flow::receiveStream(net::ResponseStream &response, const ResponseFields &fields)
{
    auto &targetTracker = context_.placer.targetTracker();
    if (!fields.isSigned) {
        targetTracker.recordFault(*target_, dispatch::Fault::Broken, Clock::now());
        result_ = Result::TargetFailed;
        return SendOutcome::Unknown;
    }
    cancellation_.setAbort([&response] { response.abort(); });
    EventSplitter splitter;
    std::string bytes;
    std::error_code error;
    bool isCallerConnected = true;
    while (isCallerConnected && timeLeft() > milliseconds::zero()
           && response.read(bytes, timeLeft(), yield_, error)) {
        if (inFlightRequest_.waitingTokens > 0)
            targetTracker.recordFirstEvent(*target_, inFlightRequest_);
        if (!firstEventAt_)
            firstEventAt_ = Clock::now();
        splitter.feed(bytes);
        bytes.clear();
        isCallerConnected = forwardEvents(splitter, response);
        if (splitter.pendingBytes() > context_.options.maxEventBytes
            || reserveMemory(splitter.pendingBytes()) != base::MemoryGrant::Granted) {
            error = Result::BodyTooLarge;
            break;
        }
    }
    cancellation_.setAbort({});
    if (!isCallerConnected || cancellation_.cancelled()) {
        response.abort();
        result_ = Result::RequestCancelled;
        return SendOutcome::Cancelled;
    }
    const bool isComplete = !error && timeLeft() > milliseconds::zero();
    if (isComplete && !splitter.hasPartialEvent()) {
        recordAnswer(response);
        recordEventInterval();
    } else {
        targetTracker.recordFault(*target_, dispatch::Fault::Broken, Clock::now());
    }
    return finishStream(isComplete, splitter);
}

SendOutcome Relay::Flow::finishStream(bool isComplete, const EventSplitter &splitter)
{
    if (!isComplete || splitter.hasPartialEvent() || !hasResponseStarted_) {
        result_ = Result::StreamInterrupted;
        return SendOutcome::Unknown;
    }
    std::error_code error;
    exchange_.finish(yield_, error);
    isResponseComplete_ = !error;
    result_ = error ? Result::RequestCancelled : Result::Ok;
    return SendOutcome::Answered;
}

} // namespace chervilfield::relay
