#pragma once

#include <chrono>
#include <cstdint>

namespace chervilfield::bench {

/// The method by which daemons exchange their in-flight work.
enum class ExchangeMethod {
    OwnOnly,           ///< No exchange; each daemon knows only its own work.
    AllToAll,          ///< Each daemon sends its load digest to all others.
    AggregationPoints, ///< One daemon per target sums the digests and returns the sums.
    Grants,  ///< One daemon per target allots the target's capacity for the next interval.
    Perfect, ///< Each daemon knows the queue of each target; the best possible result.
};

/// Results of one simulation.
struct ExchangeResult
{
    double shortP99Ms = 0;             ///< Time to first token of short requests.
    double allP99Ms = 0;               ///< Time to first token of all requests.
    double meanSentBytesPerSecond = 0; ///< Per daemon, with IP and UDP headers.
    double maxTotalBytesPerSecond = 0; ///< Sent and received by the busiest daemon.
    double bytesPerEntry = 0; ///< Encoded size of load messages, without IP and UDP headers.
};

/// Simulates one data centre at design scale: 36 daemons, 86 engines, 560 requests/s.
/// `sendInterval` is the minimum time between two datagrams of one daemon to another, or the
/// interval of the grants.
ExchangeResult simulateExchange(ExchangeMethod method, std::chrono::milliseconds sendInterval,
                                std::uint64_t seed);

} // namespace chervilfield::bench
