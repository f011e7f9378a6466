#pragma once

#include "net/address.h"
#include "net/event_stream.h"
#include "net/http_client.h"

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::targets {

/// Completion request in the form that engines accept.
struct CompletionCall
{
    std::string requestId;
    std::string prompt;
    std::uint64_t maxTokens = 16;
    int priority = 0;      ///< Lower values are served first.
    std::string cacheSalt; ///< Separates customers, weights versions and adapters in the cache.
    std::uint64_t resumeFrom = 0; ///< Number of tokens that the caller already has.
};

/// One generated token.
struct Token
{
    std::uint64_t offset = 0; ///< Position in the complete answer, from 0; `index` on the wire.
    std::string text;
};

/// Token counts that the engine reports at the end of a stream.
struct Usage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Name, process life and weights version that an engine reports.
struct EngineIdentity
{
    std::string engine;
    std::uint64_t life = 0;
    std::string weights;
};

/// Reads the tokens of one request while the engine generates them. The destructor closes the
/// connection unless the stream was read to its end.
class TokenStream
{
public:
    explicit TokenStream(std::unique_ptr<net::ResponseStream> body);

    /// Returns the next token, or no value at the end of the stream or on failure. At the regular
    /// end `usage()` has a value and `error` is not set. On failure sets `error` to
    /// `ProgressTimeout` if no token arrives within `timeout`, `StreamInterrupted` if the
    /// connection ends early or `TargetFailed` if an event is malformed.
    std::optional<Token> next(std::chrono::milliseconds timeout,
                              const boost::asio::yield_context &yield, std::error_code &error);

    /// Returns true if and only if a token is buffered, which `next()` returns without waiting.
    bool hasBufferedToken() const { return !tokens_.empty(); }

    /// Returns the token counts of the request, or no value until the engine has reported them.
    const std::optional<Usage> &usage() const { return usage_; }

    /// Returns the engine's process life from the X-Engine-Life field of the response.
    std::uint64_t life() const { return life_; }

private:
    bool handleEvent(const net::ServerSentEvent &event);

    std::unique_ptr<net::ResponseStream> body_;
    net::EventStreamParser parser_;
    std::deque<Token> tokens_;
    std::optional<Usage> usage_;
    std::uint64_t life_ = 0;
    bool isFinished_ = false;
    bool isMalformed_ = false; ///< An event was malformed; the tokens before it are valid.
};

/// Starts a completion, or attaches to it if the engine already has a request with this id, so that
/// a repeated call does not run twice. `timeout` bounds the wait for the head of the response. On
/// failure returns null and sets `error`, to `TargetUnreachable` if and only if the engine cannot
/// have received the request.
std::unique_ptr<TokenStream> startCompletion(net::HttpClient &client, const net::Address &engine,
                                             const CompletionCall &call,
                                             std::chrono::milliseconds timeout,
                                             const boost::asio::yield_context &yield,
                                             std::error_code &error);

/// Attaches to a request that the engine still has, from token `firstOffset` on. `timeout` bounds
/// the wait for the head of the response. On failure returns null and sets `error`, to `NotFound`
/// if the engine does not know the request.
std::unique_ptr<TokenStream>
attachCompletion(net::HttpClient &client, const net::Address &engine, const std::string &requestId,
                 std::uint64_t firstOffset, std::chrono::milliseconds timeout,
                 const boost::asio::yield_context &yield, std::error_code &error);

/// Asks the engine to stop a request. Failures are ignored, because the engine also stops after it
/// has generated all tokens.
void cancelCompletion(net::HttpClient &client, const net::Address &engine,
                      const std::string &requestId, std::chrono::milliseconds timeout,
                      const boost::asio::yield_context &yield);

/// Requests the engine's identity. On failure returns no value and sets `error`, to `TargetFailed`
/// if the response is malformed.
std::optional<EngineIdentity> fetchIdentity(net::HttpClient &client, const net::Address &engine,
                                            std::chrono::milliseconds timeout,
                                            const boost::asio::yield_context &yield,
                                            std::error_code &error);

} // namespace chervilfield::targets
