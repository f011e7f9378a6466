#pragma once

#include "membership/member.h"
#include "peers/datagram.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace chervilfield::peers {

struct HintExchangeOptions
{
    /// Bytes of hints sent per second to all daemons together. Membership and load take up to
    /// 13 KB/s of the 18 KB/s for control at 360 daemons.
    double maxBytesPerSecond = 4000;
    double maxBurstBytes = 4000;
};

/// Tells the other daemons which prefixes this one recently sent where, so that they find cached
/// prefixes that moved away from their homes. Daemons of the same data centre come first; what the
/// budget does not cover is not sent. All functions run on the control I/O thread.
class HintExchange
{
public:
    using Clock = std::chrono::steady_clock;
    using Send = std::function<void(const std::string &address, const Datagram &)>;

    HintExchange(std::string self, std::string dataCentre, Send send,
                 HintExchangeOptions options = {});

    /// Sends the hints to as many members as the budget allows.
    void send(const std::vector<membership::Member> &members, const PlacementHints &hints,
              Clock::time_point now);

    /// Most hints that `send` takes at a time.
    static constexpr std::size_t kMaxHints = kMaxPlacementHints;

private:
    std::vector<std::string> receivers(const std::vector<membership::Member> &members);

    std::string self_;
    std::string dataCentre_;
    Send send_;
    HintExchangeOptions options_;
    double budget_ = 0;
    Clock::time_point refilled_{};
    std::size_t rotation_ = 0;
};

} // namespace chervilfield::peers
