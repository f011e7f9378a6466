#pragma once

#include <chrono>
#include <cstdint>

namespace chervilfield::bench {

enum class ExchangeMethod {
    OwnOnly,       ///< Each daemon knows only its own work.
    AllToAll,      ///< Each daemon sends its digest to all others.
    MeetingPoints, ///< Digests are summed by one daemon per target and the sums sent back.
    Grants,        ///< One daemon per target distributes its capacity for the next interval.
    Perfect,       ///< Each daemon knows the queue of each target; a bound.
};

struct ExchangeResult
{
    double shortP99Ms = 0; ///< Time to first token of short work.
    double allP99Ms = 0;
    double sentMean = 0;      ///< Bytes sent per daemon and second, with IP and UDP headers.
    double bothMax = 0;       ///< Bytes sent and received per second by the busiest daemon.
    double bytesPerEntry = 0; ///< Encoded size of load messages, without IP and UDP headers.
};

/// Simulates one data centre at design scale: 36 daemons, 86 engines, 560 requests/s. `spacing` is
/// the least time between two datagrams of one daemon to another, or the interval of the grants.
ExchangeResult simulateExchange(ExchangeMethod method, std::chrono::milliseconds spacing,
                                std::uint64_t seed);

} // namespace chervilfield::bench
