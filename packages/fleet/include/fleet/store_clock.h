#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <optional>

namespace chervilfield::fleet {

/// Converts times of the store's steady clock to the clock of this instance. A response that was
/// held up, or that is read after the process was stopped, tells by its store time when it was
/// made.
class StoreClock
{
public:
    using TimePoint = base::BootClock::time_point;

    /// Records that the store's clock showed `storeTime` in the response to a request sent at
    /// `sentAt`.
    void observe(std::chrono::milliseconds storeTime, TimePoint sentAt);

    /// Returns a time that is not after the moment at which the store's clock showed `storeTime`.
    /// It is earlier by at most the time that the fastest recent response took. At least one
    /// response must have been observed.
    TimePoint earliestLocalTime(std::chrono::milliseconds storeTime) const;

private:
    /// Upper bound of the difference between the store's clock and the clock of this instance.
    struct Window
    {
        TimePoint startedAt{};
        std::chrono::nanoseconds maxOffset{};
    };

    /// Bounds of the current period and of the one before. Older ones are dropped because the two
    /// clocks drift apart.
    std::optional<Window> current_;
    std::optional<Window> previous_;
};

} // namespace chervilfield::fleet
