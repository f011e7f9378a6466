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

/// Virtual clock: runs actions in the order of their times, and of their scheduling at equal times.
class EventQueue
{
public:
    Time now() const { return now_; }

    void schedule(Cost delay, std::function<void()> action)
    {
        const auto ticks = std::chrono::duration_cast<Time::duration>(delay);
        events_.push({ now_ + ticks, sequence_++, std::move(action) });
    }

    /// Runs all events up to `end`.
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

    // The clock starts above zero because Time{} marks unset times.
    Time now_{ std::chrono::seconds(1000) };
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace chervilfield::bench
