#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <mutex>

namespace chervilfield::base {

/// Timestamp of a hybrid logical clock (Kulkarni et al. 2014). Consists of the wall time in
/// milliseconds and a counter that orders events within one millisecond and across skewed clocks.
struct HybridTime
{
    std::int64_t wallMs = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/// Returns a timestamp later than `last` for a local event at wall time `now`.
HybridTime advance(HybridTime last, std::chrono::system_clock::time_point now);

/// Returns a timestamp later than `last` and `remote` for a message received at wall time `now`.
HybridTime merge(HybridTime last, HybridTime remote, std::chrono::system_clock::time_point now);

/// Hybrid logical clock of one process. Thread-safe.
class HybridClock
{
public:
    /// Returns the timestamp of a local event or of a message to send.
    HybridTime tick();
    /// Returns the timestamp of the receipt of a message that carries `remote`.
    HybridTime observe(HybridTime remote);

private:
    std::mutex mutex_;
    HybridTime last_;
};

} // namespace chervilfield::base
