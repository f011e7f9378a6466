#pragma once

#include <chrono>

namespace chervilfield::base {

/// Steady clock that also counts the time during which the machine is suspended, unlike
/// `std::chrono::steady_clock`. For ages and deadlines that hold outside this process too.
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The name is that of the standard clocks.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /// Returns the time since the machine has booted (`CLOCK_BOOTTIME`).
    static time_point now() noexcept;
};

} // namespace chervilfield::base
