#pragma once

#include "routing/types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace chervilfield::bench {

using routing::Cost;
using routing::Time;

/// Event queue of a discrete-event simulation, with a virtual clock. Runs actions in the order of
/// their times; actions with equal times run in the order in which they were scheduled.
class EventQueue
{
public:
    Time now() const { return now_; }

    /// Schedules an action `delay` after the current virtual time.
    void schedule(Cost delay, std::function<void()> action)
    {
        const auto ticks = std::chrono::duration_cast<Time::duration>(delay);
        events_.push({ now_ + ticks, sequence_++, std::move(action) });
    }

    /// Runs all events up to and including `end`, and sets the clock to `end`.
    void runUntil(Time end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }

private:
    struct Event
    {
        Time time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };

    // The clock does not start at zero because Time{} stands for an unset time.
    Time now_{ std::chrono::seconds(1000) };
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace chervilfield::bench
