#include "fleet/store_clock.h"

#include <algorithm>

namespace chervilfield::fleet {

namespace {

constexpr std::chrono::seconds kWindowLength{ 60 };

} // namespace

void StoreClock::observe(std::chrono::milliseconds storeTime, TimePoint sentAt)
{
    // The response was made after the request was sent, so the offset is at most this.
    const std::chrono::nanoseconds offset = storeTime - sentAt.time_since_epoch();
    if (!current_ || sentAt - current_->startedAt >= kWindowLength) {
        previous_ = current_;
        current_ = Window{ .startedAt = sentAt, .maxOffset = offset };
        return;
    }
    current_->maxOffset = std::min(current_->maxOffset, offset);
}

StoreClock::TimePoint StoreClock::earliestLocalTime(std::chrono::milliseconds storeTime) const
{
    std::chrono::nanoseconds offset = current_->maxOffset;
    if (previous_)
        offset = std::min(offset, previous_->maxOffset);
    return TimePoint(std::chrono::duration_cast<TimePoint::duration>(storeTime - offset));
}

} // namespace chervilfield::fleet
