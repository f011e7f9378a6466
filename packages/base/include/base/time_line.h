#pragma once

#include "base/hybrid_clock.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace chervilfield::base {

/// One event of the time line that `chervilfieldctl timeline` merges over all processes.
struct TimeLineEvent
{
    HybridTime time;
    std::string instance; ///< Name of the instance that recorded the event.
    std::string part;     ///< Part of the daemon: "http", "control", "orders", ...
    std::string kind;     ///< Stable identifier such as "config-applied" or "target-left".
    std::string subject;  ///< What the event concerns: a request id, a target, a revision.
    std::string detail;   ///< Free text for people; never a prompt, an answer or an API key.
};

/// Bounded log of recent events of one process. When it is full, the oldest event is dropped.
/// Safe to use from several threads.
class TimeLine
{
public:
    TimeLine(std::string instance, std::size_t capacity, HybridClock &clock);

    /// Stamps and appends an event.
    void record(std::string part, std::string kind, std::string subject, std::string detail = {});

    /// Returns the events with a stamp later than `after`, oldest first.
    std::vector<TimeLineEvent> since(HybridTime after) const;

private:
    std::string instance_;
    std::size_t capacity_;
    HybridClock &clock_;
    mutable std::mutex mutex_;
    std::deque<TimeLineEvent> events_;
};

} // namespace chervilfield::base
