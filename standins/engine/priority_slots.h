#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace chervilfield::standins {

/// Semaphore for coroutines of one thread that grants slots in order of priority, then of arrival.
class PrioritySlots
{
public:
    PrioritySlots(boost::asio::io_context &context, std::size_t slots);

    /// Waits for a free slot and takes it. Lower values of `priority` are served first.
    void acquire(int priority, boost::asio::yield_context yield);
    /// Returns a slot that `acquire` has taken.
    void release();

    /// Returns the number of coroutines that wait for a slot.
    std::size_t waitingCount() const { return waiters_.size(); }

private:
    /// Place in the waiting order.
    struct Position
    {
        int priority;
        std::uint64_t sequence;
        auto operator<=>(const Position &) const = default;
    };

    boost::asio::io_context &context_;
    std::size_t freeSlots_;
    std::uint64_t nextSequence_ = 0;
    std::map<Position, boost::asio::steady_timer *> waiters_;
};

} // namespace chervilfield::standins
