#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace chervilfield::standins {

/// A number of slots that coroutines of one thread take in order of priority, then of arrival.
class PrioritySlots
{
public:
    PrioritySlots(boost::asio::io_context &context, std::size_t slots);

    /// Waits for a free slot. A lower `priority` value goes first.
    void acquire(int priority, boost::asio::yield_context yield);
    void release();

    std::size_t waitingCount() const { return waiters_.size(); }

private:
    struct Position
    {
        int priority;
        std::uint64_t sequence;
        auto operator<=>(const Position &) const = default;
    };

    boost::asio::io_context &context_;
    std::size_t free_;
    std::uint64_t nextSequence_ = 0;
    std::map<Position, boost::asio::steady_timer *> waiters_;
};

} // namespace chervilfield::standins
