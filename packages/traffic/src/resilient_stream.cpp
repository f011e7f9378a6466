#include "traffic/resilient_stream.h"

#include "base/result.h"
#include "net/http_server.h"

#include <glog/logging.h>

#include <algorithm>
#include <string>
#include <utility>

namespace chervilfield::traffic {

using base::Result;
using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

// Refused and closed connections fail immediately; only a silent one takes this long.
constexpr milliseconds kAttachTimeout{ 500 };
constexpr milliseconds kCancelTimeout{ 1000 };
// The latency goal is 47 ms between tokens at p95.
constexpr milliseconds kExpectedInterToken{ 47 };

} // namespace

ResilientStream::ResilientStream(const TrafficThread &thread, const RouteTargets &targets,
                                 targets::CompletionCall call, routing::Request request)
    : thread_(thread), targets_(targets), call_(std::move(call)), request_(request),
      assembler_(call_.resumeFrom)
{
}

ResilientStream::~ResilientStream()
{
    endPlacement(std::nullopt);
}

void ResilientStream::resumeFrom(const ResumePoint &point, const yield_context &yield)
{
    assembler_ = streams::StreamAssembler(point.offset);
    const auto info = std::ranges::find(targets_.targets, point.engine, &TargetInfo::id);
    if (info == targets_.targets.end())
        return;
    std::error_code error;
    auto stream = targets::attachCompletion(thread_.client, info->address, call_.requestId,
                                            point.offset, kAttachTimeout, yield, error);
    if (stream == nullptr || stream->life() != point.life)
        return;
    placement_ = Placement{ .target = *info, .life = point.life };
    beginAttempt(std::move(stream));
}

std::optional<streams::Token> ResilientStream::next(const yield_context &yield,
                                                    std::error_code &error)
{
    while (true) {
        auto ready = assembler_.take(1);
        if (!ready.empty())
            return std::move(ready.front());
        if (assembler_.claimTerminator())
            return std::nullopt;
        if (!ensureStream(yield, error))
            return std::nullopt;
        if (!readToken(yield))
            continue;
    }
}

// Records a token for the watchdog. Also reports the first token, and the mean interval at every
// sixteenth one, to the router for the health of the target.
void ResilientStream::countToken()
{
    constexpr std::uint64_t kSampleTokens = 16;
    const auto now = std::chrono::steady_clock::now();
    if (!progress_.hasToken) {
        firstTokenTime_ = now;
        attemptTokenCount_ = 0;
        if (isPlacementOpen_)
            thread_.services.router.recordFirstToken(*placement_);
    }
    streams::recordToken(progress_, now);
    if (attemptTokenCount_ > 0 && attemptTokenCount_ % kSampleTokens == 0 && isPlacementOpen_) {
        const auto elapsed =
                std::chrono::duration_cast<std::chrono::microseconds>(now - firstTokenTime_);
        thread_.services.router.recordInterToken(*placement_, elapsed / attemptTokenCount_);
    }
    ++attemptTokenCount_;
}

// Reads one token of the current attempt into the assembler, or ends the attempt. Returns true if
// and only if the assembler has a new token or the end of the answer.
bool ResilientStream::readToken(const yield_context &yield)
{
    std::error_code failure;
    auto token = stream_->next(tokenTimeout(), yield, failure);
    if (token.has_value()) {
        countToken();
        const auto result = assembler_.accept(attempt_, token->offset, std::move(token->text));
        if (result == streams::AcceptResult::Diverged)
            endAttempt("token offset contradicts the length of the answer");
        return result == streams::AcceptResult::Accepted;
    }
    if (!failure && assembler_.resumeOffset() == call_.maxTokens) {
        usage_ = stream_->usage();
        assembler_.acceptEnd(attempt_, call_.maxTokens);
        endPlacement(static_cast<std::uint32_t>(usage_->cachedTokens));
        return true;
    }
    if (failure == Result::ProgressTimeout && !hasReattached_)
        reattach(yield);
    else
        endAttempt(failure ? failure.message() : "stream ended before the last token");
    return false;
}

bool ResilientStream::ensureStream(const yield_context &yield, std::error_code &error)
{
    while (stream_ == nullptr) {
        if (attemptCount_++ >= thread_.services.options.maxAttempts) {
            error = Result::StreamInterrupted;
            return false;
        }
        request_.excluded = excluded_;
        placement_ = thread_.services.router.place(request_, targets_, error);
        if (error == Result::NoTarget && !excluded_.empty() && placement_ == std::nullopt) {
            // All targets were tried; one of them may have recovered.
            excluded_.clear();
            request_.excluded = {};
            error.clear();
            placement_ = thread_.services.router.place(request_, targets_, error);
        }
        if (!placement_.has_value())
            return false;
        isPlacementOpen_ = true;
        call_.resumeFrom = assembler_.resumeOffset();
        std::error_code failure;
        auto stream =
                targets::startCompletion(thread_.client, placement_->target.address, call_,
                                         thread_.services.options.progressTimeout, yield, failure);
        if (stream != nullptr) {
            acceptStream(std::move(stream));
            return true;
        }
        if (failure == Result::TargetUnreachable)
            thread_.services.router.recordRefusedConnection(placement_->target.id);
        endAttempt(failure.message());
    }
    return true;
}

void ResilientStream::acceptStream(std::unique_ptr<targets::TokenStream> stream)
{
    // The listed prefix belongs to the life on which the decision was based.
    if (std::exchange(placement_->life, stream->life()) != stream->life())
        placement_->listedBlocks = 0;
    thread_.services.router.recordLife(placement_->target.id, placement_->life);
    hasReattached_ = false;
    beginAttempt(std::move(stream));
}

void ResilientStream::beginAttempt(std::unique_ptr<targets::TokenStream> stream)
{
    stream_ = std::move(stream);
    attempt_ = assembler_.startAttempt(placement_->target.name, std::to_string(placement_->life));
    assembler_.endOtherAttempts(attempt_);
    progress_ = streams::startProgress(std::chrono::steady_clock::now());
}

// Replaces a silent connection by a new one to the same engine, which may still be running.
void ResilientStream::reattach(const yield_context &yield)
{
    hasReattached_ = true;
    std::error_code failure;
    auto stream =
            targets::attachCompletion(thread_.client, placement_->target.address, call_.requestId,
                                      assembler_.resumeOffset(), kAttachTimeout, yield, failure);
    if (stream == nullptr || stream->life() != placement_->life) {
        endAttempt("connection is silent and cannot be replaced");
        return;
    }
    LOG(INFO) << "[traffic] Request " << call_.requestId << " attached again to "
              << placement_->target.name << " at token " << assembler_.resumeOffset() << '.';
    thread_.services.metrics.countResume("silent-connection");
    beginAttempt(std::move(stream));
}

// Ends the current attempt; the next call of `ensureStream` starts one at another target.
void ResilientStream::endAttempt(const std::string &reason)
{
    LOG(WARNING) << "[traffic] Request " << call_.requestId << " ends its attempt at "
                 << placement_->target.name << " at token " << assembler_.resumeOffset() << ": "
                 << reason;
    assembler_.endAttempt(attempt_);
    if (stream_ != nullptr) {
        thread_.services.metrics.countResume("engine");
        cancel();
    }
    excluded_.push_back(placement_->target.id);
    stream_.reset();
    endPlacement(std::nullopt);
}

void ResilientStream::endPlacement(std::optional<std::uint32_t> cachedTokens)
{
    if (std::exchange(isPlacementOpen_, false))
        thread_.services.router.endPlacement(*placement_, cachedTokens);
}

streams::ProgressExpectation ResilientStream::expectation() const
{
    using std::chrono::microseconds;
    const auto predicted = placement_->sent.predictedFirstToken;
    return { .firstTokenDelay = std::chrono::duration_cast<microseconds>(predicted),
             .interTokenDelay = kExpectedInterToken };
}

milliseconds ResilientStream::tokenTimeout() const
{
    const TrafficOptions &options = thread_.services.options;
    const auto now = std::chrono::steady_clock::now();
    const auto deadline =
            streams::progressDeadline(progress_, expectation(),
                                      { .minFirstTokenTimeout = options.firstTokenTimeout,
                                        .minInterTokenTimeout = options.progressTimeout });
    return std::max(std::chrono::ceil<milliseconds>(deadline.value_or(now) - now), milliseconds(1));
}

void ResilientStream::cancel()
{
    if (!placement_.has_value())
        return;
    net::spawnCoroutine(thread_.context, "[traffic]",
                        [&client = thread_.client, address = placement_->target.address,
                         id = call_.requestId](const yield_context &yield) {
                            targets::cancelCompletion(client, address, id, kCancelTimeout, yield);
                        });
}

} // namespace chervilfield::traffic
