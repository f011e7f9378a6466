#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::streams {

/// Buffer limits of one stream.
struct StreamAssemblerOptions
{
    /// Maximum size of the text that waits for the caller. A token that would exceed it is not
    /// accepted (`AcceptResult::Full`), and the engine connection must not be read meanwhile. The
    /// next token for the caller is always accepted. The limit keeps an open stream under 64 KB of
    /// memory.
    std::size_t maxBufferedBytes = 16'384;
    /// Maximum number of tokens that wait for the caller, with the same exception.
    std::size_t maxBufferedTokens = 512;
};

/// Token to be sent to the caller.
struct Token
{
    std::uint64_t offset = 0;
    std::string text;
    std::size_t attempt = 0; ///< Attempt that produced it; gives engine and life of the event id.

    bool operator==(const Token &) const = default;
};

/// Connection to an engine that produces tokens of the request.
struct StreamAttempt
{
    std::string engine;
    std::string life;
    /// True until the end of the answer is accepted from it, it diverges or it is ended.
    bool isActive = true;
};

/// Result of accepting a token or the end of the answer from an attempt.
enum class AcceptResult {
    Accepted,
    Duplicate, ///< The token or the end is already known; this copy was dropped.
    Inactive,  ///< The attempt is not active; the token or the end was dropped.
    Full,      ///< Read no more from the engine, and offer the token again after `take`.
    Diverged,  ///< It contradicts the known tokens or length; the attempt is now inactive.
};

/// Assembles the answer of one request from the tokens of several attempts (hedges, reattached
/// connections, resumed engines). Each offset is returned exactly once and in order. Tokens may
/// arrive repeatedly, out of order and from attempts that have been cancelled. Not thread-safe.
///
/// Use: call `startAttempt` for each connection, `accept` for each token, `acceptEnd` for the last
/// event and `endAttempt` when the connection closes or is abandoned. Call `take` for the tokens
/// that can be sent to the caller, and send `[DONE]` if and only if `claimTerminator` returns true.
class StreamAssembler
{
public:
    /// `firstOffset` is the first offset that the caller needs: 0, or the one after its
    /// `Last-Event-ID`.
    explicit StreamAssembler(std::uint64_t firstOffset, StreamAssemblerOptions options = {});

    /// Adds an active attempt and returns its number, counted from 0.
    std::size_t startAttempt(std::string engine, std::string life);

    /// Accepts the token at `offset` of the answer.
    AcceptResult accept(std::size_t attempt, std::uint64_t offset, std::string text);

    /// Accepts the end of the answer: `length` is the number of its tokens from offset 0.
    AcceptResult acceptEnd(std::size_t attempt, std::uint64_t length);

    /// Makes an attempt inactive because its connection has closed or it was cancelled or replaced.
    void endAttempt(std::size_t attempt);

    /// Makes all attempts inactive except `attempt`.
    void endOtherAttempts(std::size_t attempt);

    /// Removes and returns the next tokens in order, up to `maxBytes` of text. Returns at least one
    /// token if the next one is known, even if it is larger.
    std::vector<Token> take(std::size_t maxBytes);

    /// Returns true exactly once, after all tokens of a complete answer have been taken.
    bool claimTerminator();

    /// Returns true if and only if the length of the answer and all its tokens are known.
    bool isComplete() const;

    /// Returns the offset from which a new attempt must produce tokens, the first unknown one.
    std::uint64_t resumeOffset() const { return nextOffset_ + inOrder_.size(); }

    /// Returns the first offset that has not been taken.
    std::uint64_t nextOffset() const { return nextOffset_; }

    /// Returns true if and only if at least one attempt is active.
    bool hasActiveAttempt() const;

    /// Returns the attempt with the number that `startAttempt` returned.
    const StreamAttempt &attempt(std::size_t number) const { return attempts_[number]; }

    /// Returns the size of the buffered text, which `take` has not returned yet.
    std::size_t bufferedBytes() const { return bufferedBytes_; }

private:
    bool isActive(std::size_t attempt) const;
    bool canBuffer(std::uint64_t offset, std::size_t size) const;
    bool hasTokenAtOrAfter(std::uint64_t offset) const;
    void moveInOrderTokens();

    StreamAssemblerOptions options_;
    std::vector<StreamAttempt> attempts_;
    std::uint64_t nextOffset_;                  ///< First offset that has not been taken.
    std::deque<Token> inOrder_;                 ///< Consecutive tokens from `nextOffset_`.
    std::map<std::uint64_t, Token> outOfOrder_; ///< Tokens after the first unknown offset.
    std::size_t bufferedBytes_ = 0;
    std::optional<std::uint64_t> answerLength_; ///< In tokens from offset 0; set by `acceptEnd`.
    bool isTerminatorClaimed_ = false;
};

} // namespace chervilfield::streams
