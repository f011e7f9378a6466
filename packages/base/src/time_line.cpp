#include "base/time_line.h"

#include <utility>

namespace chervilfield::base {

TimeLine::TimeLine(std::string instance, std::size_t capacity, HybridClock &clock)
    : instance_(std::move(instance)), capacity_(capacity), clock_(clock)
{
}

void TimeLine::record(std::string part, std::string kind, std::string subject, std::string detail)
{
    const std::lock_guard lock(mutex_);
    if (events_.size() == capacity_)
        events_.pop_front();
    events_.push_back({ .time = clock_.tick(),
                        .instance = instance_,
                        .part = std::move(part),
                        .kind = std::move(kind),
                        .subject = std::move(subject),
                        .detail = std::move(detail) });
}

std::vector<TimeLineEvent> TimeLine::since(HybridTime after) const
{
    const std::lock_guard lock(mutex_);
    std::vector<TimeLineEvent> result;
    for (const TimeLineEvent &event : events_) {
        if (event.time > after)
            result.push_back(event);
    }
    return result;
}

} // namespace chervilfield::base
