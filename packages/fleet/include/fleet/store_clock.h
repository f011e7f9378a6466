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

    /// Records a response in which the store's clock showed `storeTime`. Returns a time that is not
    /// after the moment at which the response was made, between `sentAt` and `receivedAt`. It is
    /// earlier by at most the time that the fastest recent response took.
    TimePoint observe(std::chrono::milliseconds storeTime, TimePoint sentAt, TimePoint receivedAt);

private:
    /// Upper bound of the difference between the store's clock and the clock of this instance.
    struct Window
    {
        TimePoint startedAt{};
        std::chrono::nanoseconds maxOffset{};
    };

    /// Drops bounds that are too old, because the two clocks drift apart, and those that the
    /// response contradicts, because the store's clock has jumped.
    void dropInvalidWindows(std::chrono::nanoseconds minOffset, TimePoint now);

    std::optional<Window> current_;
    std::optional<Window> previous_;
};

} // namespace chervilfield::fleet
