#pragma once

#include "membership/member.h"
#include "peers/datagram.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace chervilfield::peers {

/// Limits on the bandwidth of performance figures.
struct PerformanceExchangeOptions
{
    /// Maximum bytes per second to all daemons together, with IP and UDP headers. The share of the
    /// control traffic that learned performance is worth.
    double maxBytesPerSecond = 1000;
    std::chrono::milliseconds interval{ 1000 }; ///< Minimum time between two sends.
    /// Maximum number of daemons that the same figures are sent to.
    std::size_t maxReceivers = 3;
};

/// Sends learned performance of targets to a few random daemons, so that a daemon that has just
/// started does not learn from scratch and all learn from more observations than their own. All
/// functions run on the control I/O thread.
class PerformanceExchange
{
public:
    using Clock = std::chrono::steady_clock;
    /// Sends a datagram to a numeric "ip:port" address.
    using Send = std::function<void(const std::string &address, const Datagram &)>;

    /// `self` is the member name of this daemon. `seed` initializes the random choices.
    PerformanceExchange(std::string self, std::uint64_t seed, Send send,
                        PerformanceExchangeOptions options = {});

    /// Returns true if figures should be collected for `send`.
    bool isDue(Clock::time_point now);

    /// Sends the figures to as many random members as the limits allow.
    void send(const std::vector<membership::Member> &members, const PerformanceFigures &figures,
              Clock::time_point now);

    /// Maximum number of figures for one call of `send`. Receivers reject a longer list.
    static constexpr std::size_t kMaxFigures = kMaxPerformanceFigures;

private:
    void refill(Clock::time_point now);

    std::string self_;
    Send send_;
    PerformanceExchangeOptions options_;
    std::mt19937_64 random_;
    double budgetBytes_ = 0; ///< Bytes in the token bucket.
    Clock::time_point refilledAt_{};
    Clock::time_point sentAt_{};
};

} // namespace chervilfield::peers
