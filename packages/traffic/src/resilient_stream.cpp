#include "traffic/resilient_stream.h"

#include "base/result.h"
#include "net/http_server.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace chervilfield::traffic {

using base::Result;
using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

// A refused connection or a dead engine says so at once; only a silent one waits this long.
constexpr milliseconds kAttachTimeout{ 500 };
constexpr milliseconds kCancelTimeout{ 1000 };

} // namespace

ResilientStream::ResilientStream(const TrafficThread &thread, const RouteTargets &targets,
                                 targets::CompletionCall call, routing::Request request)
    : thread_(thread), targets_(targets), call_(std::move(call)), request_(request),
      next_(call_.resumeFrom)
{
}

ResilientStream::~ResilientStream()
{
    finish(std::nullopt);
}

void ResilientStream::resumeFrom(const ResumePoint &point, const yield_context &yield)
{
    next_ = point.offset;
    const auto info = std::ranges::find(targets_.targets, point.engine, &TargetInfo::name);
    if (info == targets_.targets.end())
        return;
    std::error_code error;
    auto stream = targets::attachCompletion(thread_.client, info->address, call_.requestId, next_,
                                            kAttachTimeout, yield, error);
    if (stream == nullptr || stream->life() != point.life)
        return;
    placement_ = Placement{ .target = *info, .sent = {}, .life = point.life };
    stream_ = std::move(stream);
    attemptHasToken_ = false;
}

std::optional<targets::Token> ResilientStream::next(const yield_context &yield,
                                                    std::error_code &error)
{
    while (next_ < call_.maxTokens || !usage_.has_value()) {
        if (!ensureStream(yield, error))
            return std::nullopt;
        std::error_code failure;
        auto token = stream_->next(waitLimit(), yield, failure);
        if (token.has_value() && token->index == next_) {
            if (!std::exchange(attemptHasToken_, true) && placementOpen_)
                thread_.services.router.firstToken(*placement_);
            ++next_;
            return token;
        }
        if (token.has_value() && token->index < next_)
            continue;
        if (!token.has_value() && !failure && next_ >= call_.maxTokens) {
            usage_ = stream_->usage();
            finish(static_cast<std::uint32_t>(usage_->cachedTokens));
            return std::nullopt;
        }
        if (failure == Result::ProgressTimeout && !reattached_)
            reattach(yield);
        else
            abandon(failure ? failure.message() : "gap in the token numbers");
    }
    return std::nullopt;
}

bool ResilientStream::ensureStream(const yield_context &yield, std::error_code &error)
{
    while (stream_ == nullptr) {
        if (attempts_++ >= thread_.services.options.maxAttempts) {
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
        placementOpen_ = true;
        call_.resumeFrom = next_;
        std::error_code failure;
        auto stream =
                targets::startCompletion(thread_.client, placement_->target.address, call_,
                                         thread_.services.options.progressTimeout, yield, failure);
        if (stream != nullptr) {
            adopt(std::move(stream));
            return true;
        }
        if (failure == Result::TargetUnreachable)
            thread_.services.router.refusedConnection(placement_->target.id);
        abandon(failure.message());
    }
    return true;
}

void ResilientStream::adopt(std::unique_ptr<targets::TokenStream> stream)
{
    stream_ = std::move(stream);
    attemptHasToken_ = false;
    reattached_ = false;
    placement_->life = stream_->life();
    thread_.services.router.sawLife(placement_->target.id, placement_->life);
}

// Replaces a connection that has gone silent; the engine may be well.
void ResilientStream::reattach(const yield_context &yield)
{
    reattached_ = true;
    std::error_code failure;
    auto stream = targets::attachCompletion(thread_.client, placement_->target.address,
                                            call_.requestId, next_, kAttachTimeout, yield, failure);
    if (stream == nullptr || stream->life() != placement_->life) {
        abandon("silent connection");
        return;
    }
    LOG(INFO) << "[traffic] Request " << call_.requestId << " attached again to "
              << placement_->target.name << " at token " << next_ << '.';
    thread_.services.metrics.countResume("silent-connection");
    stream_ = std::move(stream);
}

// Ends the current attempt; the next call of `ensureStream` starts another one elsewhere.
void ResilientStream::abandon(const std::string &reason)
{
    LOG(WARNING) << "[traffic] Request " << call_.requestId << " leaves " << placement_->target.name
                 << " at token " << next_ << ": " << reason;
    if (stream_ != nullptr) {
        thread_.services.metrics.countResume("engine");
        cancel();
    }
    excluded_.push_back(placement_->target.id);
    stream_.reset();
    finish(std::nullopt);
}

void ResilientStream::finish(std::optional<std::uint32_t> cachedTokens)
{
    if (std::exchange(placementOpen_, false))
        thread_.services.router.finished(*placement_, cachedTokens);
}

milliseconds ResilientStream::waitLimit() const
{
    const TrafficOptions &options = thread_.services.options;
    if (attemptHasToken_ || reattached_)
        return options.progressTimeout;
    const auto predicted = placement_->sent.predictedFirstToken * 2;
    return options.firstTokenTimeout + std::chrono::duration_cast<milliseconds>(predicted);
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
