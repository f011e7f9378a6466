#include "streams/stream_assembler.h"

#include <algorithm>
#include <utility>

namespace chervilfield::streams {

StreamAssembler::StreamAssembler(std::uint64_t firstOffset, StreamAssemblerOptions options)
    : options_(options), nextOffset_(firstOffset)
{
}

std::size_t StreamAssembler::startAttempt(std::string engine, std::string life)
{
    attempts_.push_back({ std::move(engine), std::move(life), true });
    return attempts_.size() - 1;
}

AcceptResult StreamAssembler::accept(std::size_t attempt, std::uint64_t offset, std::string text)
{
    if (!isActive(attempt))
        return AcceptResult::Inactive;
    if (answerLength_ && offset >= *answerLength_) {
        attempts_[attempt].isActive = false;
        return AcceptResult::Diverged;
    }
    if (offset < resumeOffset() || outOfOrder_.contains(offset))
        return AcceptResult::Duplicate;
    if (!canBuffer(offset, text.size()))
        return AcceptResult::Full;
    bufferedBytes_ += text.size();
    outOfOrder_.emplace(offset,
                        Token{ .offset = offset, .text = std::move(text), .attempt = attempt });
    moveInOrderTokens();
    return AcceptResult::Accepted;
}

AcceptResult StreamAssembler::acceptEnd(std::size_t attempt, std::uint64_t length)
{
    if (!isActive(attempt))
        return AcceptResult::Inactive;
    attempts_[attempt].isActive = false;
    if (answerLength_)
        return *answerLength_ == length ? AcceptResult::Duplicate : AcceptResult::Diverged;
    if (hasTokenAtOrAfter(length))
        return AcceptResult::Diverged;
    answerLength_ = length;
    return AcceptResult::Accepted;
}

void StreamAssembler::endAttempt(std::size_t attempt)
{
    if (attempt < attempts_.size())
        attempts_[attempt].isActive = false;
}

void StreamAssembler::endOtherAttempts(std::size_t attempt)
{
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
        if (i != attempt)
            attempts_[i].isActive = false;
    }
}

std::vector<Token> StreamAssembler::take(std::size_t maxBytes)
{
    std::vector<Token> tokens;
    std::size_t bytes = 0;
    while (!inOrder_.empty()) {
        const std::size_t size = inOrder_.front().text.size();
        if (!tokens.empty() && bytes + size > maxBytes)
            break;
        bytes += size;
        bufferedBytes_ -= size;
        ++nextOffset_;
        tokens.push_back(std::move(inOrder_.front()));
        inOrder_.pop_front();
    }
    return tokens;
}

bool StreamAssembler::claimTerminator()
{
    if (isTerminatorClaimed_ || !isComplete() || !inOrder_.empty())
        return false;
    isTerminatorClaimed_ = true;
    return true;
}

bool StreamAssembler::isComplete() const
{
    return answerLength_ && resumeOffset() == *answerLength_;
}

bool StreamAssembler::hasActiveAttempt() const
{
    return std::ranges::any_of(attempts_, &StreamAttempt::isActive);
}

bool StreamAssembler::isActive(std::size_t attempt) const
{
    return attempt < attempts_.size() && attempts_[attempt].isActive;
}

bool StreamAssembler::canBuffer(std::uint64_t offset, std::size_t size) const
{
    // The next token for the caller is always accepted: otherwise tokens with higher offsets could
    // fill the buffer and block the stream for ever.
    if (inOrder_.empty() && offset == nextOffset_)
        return true;
    return bufferedBytes_ + size <= options_.maxBufferedBytes
           && inOrder_.size() + outOfOrder_.size() < options_.maxBufferedTokens;
}

bool StreamAssembler::hasTokenAtOrAfter(std::uint64_t offset) const
{
    return resumeOffset() > offset
           || (!outOfOrder_.empty() && outOfOrder_.rbegin()->first >= offset);
}

void StreamAssembler::moveInOrderTokens()
{
    while (!outOfOrder_.empty() && outOfOrder_.begin()->first == resumeOffset()) {
        inOrder_.push_back(std::move(outOfOrder_.begin()->second));
        outOfOrder_.erase(outOfOrder_.begin());
    }
}

} // namespace chervilfield::streams
