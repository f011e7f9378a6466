#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <mutex>

namespace chervilfield::base {

/// A time stamp of a hybrid logical clock (Kulkarni et al. 2014): wall time in milliseconds and a
/// counter that orders events within one millisecond and across skewed clocks.
struct HybridTime
{
    std::int64_t wallMs = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/// Returns the successor of `last` for a local event at wall time `now`.
HybridTime advance(HybridTime last, std::chrono::system_clock::time_point now);

/// Returns a stamp later than both `last` and `remote`, for a message received at wall time `now`.
HybridTime merge(HybridTime last, HybridTime remote, std::chrono::system_clock::time_point now);

/// Hybrid logical clock of one process. Call `tick()` for a local event or before sending a message
/// and `observe()` with the stamp of each message received. Safe to use from several threads.
class HybridClock
{
public:
    HybridTime tick();
    HybridTime observe(HybridTime remote);

private:
    std::mutex mutex_;
    HybridTime last_;
};

} // namespace chervilfield::base
