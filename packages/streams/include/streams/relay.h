#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::streams {

/// Limits of one relayed stream.
struct StreamAssemblerOptions
{
    /// Tokens are refused, and the engine connection is to be read no further, while this many
    /// bytes of text wait for the caller. The limit keeps an open stream under 64 KB of memory.
    std::size_t maxBufferedBytes = 16'384;
    std::size_t maxBufferedTokens = 512;
};

/// A token to be sent to the caller.
struct Token
{
    std::uint64_t offset = 0;
    std::string text;
    std::size_t attempt = 0; ///< The attempt that produced it; its engine and life go into the id.

    bool operator==(const Token &) const = default;
};

/// One connection to an engine that produces tokens of the request.
struct StreamAttempt
{
    std::string engine;
    std::string life;
    bool active = true;
};

/// What became of a token or an end that an attempt reported.
enum class AcceptResult {
    Accepted,
    Duplicate, ///< The offset is already known; this copy was dropped.
    Inactive,  ///< The attempt was cancelled, replaced or has failed; the token was dropped.
    Full,      ///< Offer the token again after `take`; until then read no more from the engine.
    Diverged,  ///< It contradicts the known length of the answer; the attempt is now inactive.
};

/// Assembles the answer of one request from the tokens of several attempts (hedges, reattached
/// connections, resumed engines). Each offset is handed out exactly once and in order. Tokens may
/// arrive repeated, out of order and from attempts that have been cancelled. Not thread-safe.
///
/// Use: `startAttempt` for each connection, `accept` for each token, `finish` for the last event,
/// `end` when the connection closes or is given up; `take` what can be sent to the caller; send
/// `[DONE]` if and only if `claimTerminator` returns true.
class StreamAssembler
{
public:
    /// `firstOffset` is the first offset that the caller needs: 0, or the one after its
    /// `Last-Event-ID`.
    explicit StreamAssembler(std::uint64_t firstOffset, StreamAssemblerOptions options = {});

    /// Adds an active attempt and returns its number.
    std::size_t startAttempt(std::string engine, std::string life);

    /// Accepts the token at `offset` of the answer.
    AcceptResult accept(std::size_t attempt, std::uint64_t offset, std::string text);

    /// Accepts the end of the answer: `length` is the number of its tokens from offset 0.
    AcceptResult acceptEnd(std::size_t attempt, std::uint64_t length);

    /// Makes an attempt inactive: its connection has closed, or it was cancelled or replaced.
    void endAttempt(std::size_t attempt);

    /// Makes all attempts inactive except `attempt`.
    void endOtherAttempts(std::size_t attempt);

    /// Removes and returns the tokens that are next in order, up to `maxBytes` of text but at least
    /// one if there is one.
    std::vector<Token> take(std::size_t maxBytes);

    /// Returns true exactly once: when all tokens of a finished answer have been taken.
    bool claimTerminator();

    /// Returns true if and only if the length is known and all tokens are known.
    bool isComplete() const;

    /// Returns the offset from which a new attempt must produce tokens: the first unknown one.
    std::uint64_t resumeOffset() const { return nextOffset_ + ready_.size(); }

    /// Returns the first offset that was not taken.
    std::uint64_t nextOffset() const { return nextOffset_; }

    bool hasActiveAttempt() const;
    const StreamAttempt &attempt(std::size_t number) const { return attempts_[number]; }
    std::size_t bufferedBytes() const { return bufferedBytes_; }

private:
    bool isActive(std::size_t attempt) const;
    bool hasRoom(std::uint64_t offset, std::size_t size) const;
    bool hasTokenFrom(std::uint64_t offset) const;
    void moveReady();

    StreamAssemblerOptions options_;
    std::vector<StreamAttempt> attempts_;
    std::uint64_t nextOffset_;             ///< First offset that was not taken.
    std::deque<Token> ready_;              ///< Consecutive tokens from `nextOffset_`.
    std::map<std::uint64_t, Token> ahead_; ///< Tokens after the first unknown offset.
    std::size_t bufferedBytes_ = 0;
    std::optional<std::uint64_t> length_;
    bool terminated_ = false;
};

} // namespace chervilfield::streams
