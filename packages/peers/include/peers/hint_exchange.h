#pragma once

#include "membership/member.h"
#include "peers/datagram.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace chervilfield::peers {

/// Limits on the bandwidth of placement hints.
struct HintExchangeOptions
{
    /// Maximum bytes of hints per second to all daemons together, with IP and UDP headers. With 360
    /// daemons, membership and load messages take up to 13 KB/s of the 18 KB/s allowed for control
    /// traffic.
    double maxBytesPerSecond = 4000;
    double maxBurstBytes = 4000; ///< Capacity of the token bucket.
};

/// Sends hints about recent placements of prefixes to the other daemons, so that they find prefixes
/// that are cached away from their rendezvous homes. Daemons in the same data centre are served
/// first; hints that exceed the bandwidth limit are dropped. All functions run on the control I/O
/// thread.
class HintExchange
{
public:
    using Clock = std::chrono::steady_clock;
    /// Sends a datagram to a numeric "ip:port" address.
    using Send = std::function<void(const std::string &address, const Datagram &)>;

    /// `self` and `dataCentre` are the member name and the data centre of this daemon.
    HintExchange(std::string self, std::string dataCentre, Send send,
                 HintExchangeOptions options = {});

    /// Sends the hints to as many members as the bandwidth limit allows.
    void send(const std::vector<membership::Member> &members, const PlacementHints &hints,
              Clock::time_point now);

    /// Maximum number of hints for one call of `send`. Receivers reject a longer list.
    static constexpr std::size_t kMaxHints = kMaxPlacementHints;

private:
    std::vector<std::string> receivers(const std::vector<membership::Member> &members);

    std::string self_;
    std::string dataCentre_;
    Send send_;
    HintExchangeOptions options_;
    double budgetBytes_ = 0; ///< Bytes in the token bucket.
    Clock::time_point refilledAt_{};
    /// Index of the member that is served first in each group, modulo the size of the group.
    std::size_t rotation_ = 0;
};

} // namespace chervilfield::peers
