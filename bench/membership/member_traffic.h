#pragma once

#include <cstddef>
#include <cstdint>

namespace chervilfield::bench {

/// Cost of the membership protocol. Bytes are those sent per daemon, with IP and UDP headers.
struct TrafficResult
{
    double steadyBytesPerSecond = 0;    ///< Without changes of the members.
    double churnBytesPerSecond = 0;     ///< With one restart of a member every 10 s.
    double massStartBytesPerSecond = 0; ///< All members start at once; mean of the first 10 s.
    double massStartSeconds = 0;        ///< Time until all member tables are complete.
    double cpuCores = 0;                ///< Upper bound of the steady use per daemon, with codec.
};

/// Simulates the protocol with `members` daemons on a virtual clock with 1% loss of datagrams.
TrafficResult measureTraffic(std::size_t members, std::uint64_t seed);

} // namespace chervilfield::bench
