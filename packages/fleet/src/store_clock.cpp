#include "fleet/store_clock.h"

#include <algorithm>

namespace chervilfield::fleet {

namespace {

constexpr std::chrono::seconds kWindowLength{ 60 };
constexpr std::chrono::milliseconds kResolution{ 1 }; // Of the store times in responses.

} // namespace

void StoreClock::dropInvalidWindows(std::chrono::nanoseconds minOffset, TimePoint now)
{
    for (std::optional<Window> *window : { &current_, &previous_ }) {
        const bool isValid = *window && now - (*window)->startedAt < 2 * kWindowLength
                             && (*window)->maxOffset >= minOffset;
        if (!isValid)
            window->reset();
    }
}

StoreClock::TimePoint StoreClock::observe(std::chrono::milliseconds storeTime, TimePoint sentAt,
                                          TimePoint receivedAt)
{
    // The response was made after the request was sent and before it was received.
    const std::chrono::nanoseconds maxOffset = storeTime + kResolution - sentAt.time_since_epoch();
    dropInvalidWindows(storeTime - receivedAt.time_since_epoch(), receivedAt);
    if (!current_ || sentAt - current_->startedAt >= kWindowLength) {
        previous_ = current_;
        current_ = Window{ .startedAt = sentAt, .maxOffset = maxOffset };
    }
    current_->maxOffset = std::min(current_->maxOffset, maxOffset);
    const auto offset =
            previous_ ? std::min(current_->maxOffset, previous_->maxOffset) : current_->maxOffset;
    const TimePoint earliest(std::chrono::duration_cast<TimePoint::duration>(storeTime - offset));
    return std::clamp(earliest, sentAt, std::max(sentAt, receivedAt));
}

} // namespace chervilfield::fleet
