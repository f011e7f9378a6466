#pragma once

#include <cstddef>
#include <cstdint>

namespace chervilfield::bench {

/// Traffic of the membership protocol, sent per daemon and second with IP and UDP headers.
struct TrafficResult
{
    double steadyBytes = 0; ///< No change.
    double churnBytes = 0;  ///< One restart of a member every 10 s.
    double herdBytes = 0;   ///< All start at once: mean of the first 10 s.
    double herdSeconds = 0; ///< Until all tables are complete.
    double cpuShare = 0;    ///< Of a core, steady, with encoding and decoding; an upper bound.
};

/// Runs the protocol of `members` daemons on a virtual clock with 1% loss.
TrafficResult measureTraffic(std::size_t members, std::uint64_t seed);

} // namespace chervilfield::bench
