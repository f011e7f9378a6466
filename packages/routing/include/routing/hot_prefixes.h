#pragma once

#include "routing/types.h"

#include <vector>

namespace chervilfield::routing {

/// Demand for one prefix, averaged over `HotPrefixes::averagingTime`.
struct PrefixDemand
{
    double requests = 0; ///< Requests per second.
    double work = 0;     ///< Engine seconds per second.
};

/// Demand for one prefix since the last digest, in the form that daemons exchange.
struct PrefixIncrement
{
    std::uint64_t prefix = 0;
    float requests = 0;
    float work = 0; ///< Engine seconds.
};

/// Exponentially decaying demand counters per prefix, in a set-associative table of fixed size. A
/// new prefix replaces the entry of its set with the fewest requests. The caller counts its own
/// requests with `countRequest` and the increments of other daemons with `countIncrement`, so that
/// all daemons see the same demand.
struct HotPrefixes
{
    struct Entry
    {
        std::uint64_t prefix = 0;
        Time updated{};           ///< When the counters were last decayed.
        float requests = 0;       ///< Decayed sum of requests.
        float work = 0;           ///< Decayed sum of engine seconds.
        float unsentRequests = 0; ///< Not yet reported to the other daemons.
        float unsentWork = 0;
    };

    std::chrono::milliseconds averagingTime{ 3000 }; ///< Time constant of the decay.
    std::vector<Entry> entries; ///< Sets of `kWays` entries; empty until the first request.
};

/// Counts one request of this daemon under each prefix of its chain. `work` is the engine time that
/// the request is expected to take.
void countRequest(HotPrefixes &hot, std::span<const std::uint64_t> chain, Cost work, Time now);

/// Counts the demand that another daemon reports.
void countIncrement(HotPrefixes &hot, const PrefixIncrement &increment, Time now);

/// Returns the increments since the last call, at most the `limit` with the most work, and marks
/// all increments as sent.
std::vector<PrefixIncrement> takeIncrements(HotPrefixes &hot, std::size_t limit);

/// Returns the `limit` prefixes with the most work, for a daemon that has just started. That daemon
/// has the same averages after it has counted the increments.
std::vector<PrefixIncrement> exportDemand(const HotPrefixes &hot, std::size_t limit, Time now);

/// Returns the demand for `prefix`, or zero if the table does not contain it.
PrefixDemand demandOf(const HotPrefixes &hot, std::uint64_t prefix, Time now);

} // namespace chervilfield::routing
