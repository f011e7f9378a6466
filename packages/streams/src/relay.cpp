#include "streams/relay.h"

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
    if (length_ && offset >= *length_) {
        attempts_[attempt].active = false;
        return AcceptResult::Diverged;
    }
    if (offset < resumeOffset() || ahead_.contains(offset))
        return AcceptResult::Duplicate;
    if (!hasRoom(offset, text.size()))
        return AcceptResult::Full;
    bufferedBytes_ += text.size();
    ahead_.emplace(offset, Token{ .offset = offset, .text = std::move(text), .attempt = attempt });
    moveReady();
    return AcceptResult::Accepted;
}

AcceptResult StreamAssembler::acceptEnd(std::size_t attempt, std::uint64_t length)
{
    if (!isActive(attempt))
        return AcceptResult::Inactive;
    attempts_[attempt].active = false;
    if (length_)
        return *length_ == length ? AcceptResult::Duplicate : AcceptResult::Diverged;
    if (hasTokenFrom(length))
        return AcceptResult::Diverged;
    length_ = length;
    return AcceptResult::Accepted;
}

void StreamAssembler::endAttempt(std::size_t attempt)
{
    if (attempt < attempts_.size())
        attempts_[attempt].active = false;
}

void StreamAssembler::endOtherAttempts(std::size_t attempt)
{
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
        if (i != attempt)
            attempts_[i].active = false;
    }
}

std::vector<Token> StreamAssembler::take(std::size_t maxBytes)
{
    std::vector<Token> tokens;
    std::size_t bytes = 0;
    while (!ready_.empty()) {
        const std::size_t size = ready_.front().text.size();
        if (!tokens.empty() && bytes + size > maxBytes)
            break;
        bytes += size;
        bufferedBytes_ -= size;
        ++nextOffset_;
        tokens.push_back(std::move(ready_.front()));
        ready_.pop_front();
    }
    return tokens;
}

bool StreamAssembler::claimTerminator()
{
    if (terminated_ || !isComplete() || !ready_.empty())
        return false;
    terminated_ = true;
    return true;
}

bool StreamAssembler::isComplete() const
{
    return length_ && resumeOffset() == *length_;
}

bool StreamAssembler::hasActiveAttempt() const
{
    return std::ranges::any_of(attempts_, &StreamAttempt::active);
}

bool StreamAssembler::isActive(std::size_t attempt) const
{
    return attempt < attempts_.size() && attempts_[attempt].active;
}

bool StreamAssembler::hasRoom(std::uint64_t offset, std::size_t size) const
{
    // The token that the caller waits for is always accepted: otherwise tokens that arrived ahead
    // of it could fill the buffer and block the stream for ever.
    if (ready_.empty() && offset == nextOffset_)
        return true;
    return bufferedBytes_ + size <= options_.maxBufferedBytes
           && ready_.size() + ahead_.size() < options_.maxBufferedTokens;
}

bool StreamAssembler::hasTokenFrom(std::uint64_t offset) const
{
    return resumeOffset() > offset || (!ahead_.empty() && ahead_.rbegin()->first >= offset);
}

void StreamAssembler::moveReady()
{
    while (!ahead_.empty() && ahead_.begin()->first == resumeOffset()) {
        ready_.push_back(std::move(ahead_.begin()->second));
        ahead_.erase(ahead_.begin());
    }
}

} // namespace chervilfield::streams
