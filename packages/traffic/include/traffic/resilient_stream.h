#pragma once

#include "routing/types.h"
#include "streams/stream_assembler.h"
#include "streams/watchdog.h"
#include "targets/engine_client.h"
#include "traffic/services.h"

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::traffic {

/// Position at which a caller resumes an answer, with the engine and life that sent the last event.
struct ResumePoint
{
    routing::TargetId engine = 0;
    std::uint64_t life = 0;
    std::uint64_t offset = 0; ///< Index of the first token that the caller lacks.
};

/// Reads the tokens of one answer, each offset exactly once and in order, across failures of
/// engines and connections. A silent connection is replaced by a new one to the same engine, a
/// failed engine by another with the same weights, which continues after the last consecutive token
/// received.
class ResilientStream
{
public:
    /// `thread`, `targets` and the chain of `request` must outlive the stream.
    ResilientStream(const TrafficThread &thread, const RouteTargets &targets,
                    targets::CompletionCall call, routing::Request request);
    ~ResilientStream();
    ResilientStream(const ResilientStream &) = delete;
    ResilientStream &operator=(const ResilientStream &) = delete;

    /// Resumes an answer of which the caller has the first `point.offset` tokens. Call it before
    /// `next()`. If the engine life of `point` cannot be reached, `next()` continues the answer at
    /// another engine.
    void resumeFrom(const ResumePoint &point, const boost::asio::yield_context &yield);

    /// Returns the next token, or no value at the end of the answer. On failure returns no value
    /// and sets `error` to `StreamInterrupted` after the last permitted attempt, or to the code of
    /// the router's decision.
    std::optional<streams::Token> next(const boost::asio::yield_context &yield,
                                       std::error_code &error);

    /// Returns true if and only if the current connection has a buffered token. `next()` then
    /// returns without waiting, unless that token is a duplicate.
    bool hasBufferedToken() const { return stream_ != nullptr && stream_->hasBufferedToken(); }

    /// Returns the token counts that the last engine reported; valid after the end of the answer.
    const std::optional<targets::Usage> &usage() const { return usage_; }

    /// Returns the engine of the latest attempt. Valid after `next()` has returned a token.
    routing::TargetId engine() const { return placement_->target.id; }
    /// Returns the life of that engine.
    std::uint64_t life() const { return placement_->life; }

    /// Asks the engine to stop, without waiting for its response. Call it when the caller has
    /// disconnected.
    void cancel();

private:
    bool ensureStream(const boost::asio::yield_context &yield, std::error_code &error);
    void reattach(const boost::asio::yield_context &yield);
    void endAttempt(const std::string &reason);
    bool readToken(const boost::asio::yield_context &yield);
    void countToken();
    void endPlacement(std::optional<std::uint32_t> cachedTokens);
    streams::ProgressExpectation expectation() const;
    std::chrono::milliseconds tokenTimeout() const;
    void acceptStream(std::unique_ptr<targets::TokenStream> stream);
    void beginAttempt(std::unique_ptr<targets::TokenStream> stream);

    const TrafficThread &thread_;
    const RouteTargets &targets_;
    targets::CompletionCall call_;
    routing::Request request_;
    std::vector<routing::TargetId> excluded_;
    std::optional<Placement> placement_;
    bool isPlacementOpen_ = false; ///< `placement_` was made by the router and has not ended.
    std::unique_ptr<targets::TokenStream> stream_;
    std::optional<targets::Usage> usage_;
    streams::StreamAssembler assembler_;
    std::size_t attempt_ = 0; ///< Number of the current attempt in the assembler.
    streams::Progress progress_;
    bool hasReattached_ = false; ///< A silent connection of `placement_` was already replaced.
    std::uint64_t attemptTokenCount_ = 0;                  ///< Tokens since `firstTokenTime_`.
    std::chrono::steady_clock::time_point firstTokenTime_; ///< First token of the connection.
    int attemptCount_ = 0; ///< Placements so far, limited by `TrafficOptions::maxAttempts`.
};

} // namespace chervilfield::traffic
