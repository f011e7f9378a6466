#pragma once

#include "routing/types.h"

#include <vector>

namespace chervilfield::routing {

/// Demand for one prefix, averaged over a few seconds.
struct PrefixDemand
{
    double requests = 0; ///< Requests per second.
    double work = 0;     ///< Engine seconds per second.
};

/// Demand for one prefix since the last digest, as daemons exchange it.
struct PrefixIncrement
{
    std::uint64_t prefix = 0;
    float requests = 0;
    float work = 0; ///< Engine seconds.
};

/// Decaying demand counters per prefix, in a table of fixed size in which the least demanded entry
/// of a set gives way. Count the daemon's own requests with `countRequest` and the increments of
/// other daemons with `countIncrement`, so that all daemons see the same demand.
struct HotPrefixes
{
    struct Entry
    {
        std::uint64_t prefix = 0;
        Time updated{};
        float requests = 0;
        float work = 0;
        float unsentRequests = 0;
        float unsentWork = 0;
    };

    std::chrono::milliseconds averagingTime{ 3000 };
    std::vector<Entry> entries; ///< Sets of `kWays` entries; empty until the first count.
};

/// Counts one request of this daemon under each prefix of its chain. `work` is the engine time that
/// the request is expected to take.
void countRequest(HotPrefixes &hot, std::span<const std::uint64_t> chain, Cost work, Time now);

/// Counts what another daemon reports.
void countIncrement(HotPrefixes &hot, const PrefixIncrement &increment, Time now);

/// Returns the largest increments since the last call, at most `limit`, and marks them as sent.
std::vector<PrefixIncrement> takeIncrements(HotPrefixes &hot, std::size_t limit);

/// Returns the `limit` most demanded prefixes as increments that give another daemon the same
/// averages when it counts them; for a daemon that has just started.
std::vector<PrefixIncrement> exportDemand(const HotPrefixes &hot, std::size_t limit, Time now);

/// Returns the demand for `prefix`, zero if it is not in the table.
PrefixDemand demandOf(const HotPrefixes &hot, std::uint64_t prefix, Time now);

} // namespace chervilfield::routing
