#pragma once

#include "base/hybrid_clock.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace chervilfield::base {

/// Event of a time line. `chervilfieldctl timeline` merges the time lines of all instances.
struct TimeLineEvent
{
    HybridTime time;
    std::string instance; ///< Name of the instance that recorded the event.
    std::string part;     ///< Component of the daemon, such as "http", "control" or "orders".
    std::string kind;     ///< Identifier, such as "config-applied" or "target-left".
    std::string subject;  ///< Request id, target, revision or other subject of the event.
    std::string detail;   ///< Free text. Must not contain prompts, answers or API keys.
};

/// Bounded log of the recent events of one process. When it is full, each new event replaces the
/// oldest one. Thread-safe.
class TimeLine
{
public:
    /// `capacity` is the maximum number of events. `clock` must outlive the time line.
    TimeLine(std::string instance, std::size_t capacity, HybridClock &clock);

    /// Appends an event with the current timestamp of the clock.
    void record(std::string part, std::string kind, std::string subject, std::string detail = {});

    /// Returns the events with a timestamp later than `after`, oldest first.
    std::vector<TimeLineEvent> since(HybridTime after) const;

private:
    std::string instance_;
    std::size_t capacity_;
    HybridClock &clock_;
    mutable std::mutex mutex_;
    std::deque<TimeLineEvent> events_;
};

} // namespace chervilfield::base
