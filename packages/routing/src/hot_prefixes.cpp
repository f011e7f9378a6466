#include "routing/hot_prefixes.h"

#include "internal/table.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::routing {

namespace {

/// Returns the factor by which the counters of the entry have decayed since their last update.
float decayFactor(const HotPrefixes &hot, const HotPrefixes::Entry &entry, Time now)
{
    const Cost age = now - entry.updated;
    return static_cast<float>(
            std::exp(-std::max(age.count(), 0.0) / Cost(hot.averagingTime).count()));
}

/// Returns the entry of `prefix`, decayed to `now`. If there is none, replaces the entry of the set
/// with the fewest requests.
HotPrefixes::Entry &decayedEntry(HotPrefixes &hot, std::uint64_t prefix, Time now)
{
    if (hot.entries.empty())
        hot.entries.resize(internal::kSets * internal::kWays);
    HotPrefixes::Entry *leastDemanded = nullptr;
    float leastRequests = 0;
    for (HotPrefixes::Entry &entry : internal::setOf(hot.entries, prefix)) {
        const float factor = decayFactor(hot, entry, now);
        if (entry.prefix == prefix) {
            entry.requests *= factor;
            entry.work *= factor;
            entry.updated = std::max(entry.updated, now);
            return entry;
        }
        if (!leastDemanded || entry.requests * factor < leastRequests) {
            leastDemanded = &entry;
            leastRequests = entry.requests * factor;
        }
    }
    *leastDemanded = { .prefix = prefix, .updated = now };
    return *leastDemanded;
}

} // namespace

void countRequest(HotPrefixes &hot, std::span<const std::uint64_t> chain, Cost work, Time now)
{
    for (const std::uint64_t prefix : chain) {
        HotPrefixes::Entry &entry = decayedEntry(hot, prefix, now);
        const auto seconds = static_cast<float>(work.count());
        entry.requests += 1;
        entry.work += seconds;
        entry.unsentRequests += 1;
        entry.unsentWork += seconds;
    }
}

void countIncrement(HotPrefixes &hot, const PrefixIncrement &increment, Time now)
{
    HotPrefixes::Entry &entry = decayedEntry(hot, increment.prefix, now);
    entry.requests += increment.requests;
    entry.work += increment.work;
}

std::vector<PrefixIncrement> takeIncrements(HotPrefixes &hot, std::size_t limit)
{
    std::vector<PrefixIncrement> increments;
    for (HotPrefixes::Entry &entry : hot.entries) {
        if (entry.unsentRequests > 0)
            increments.push_back({ entry.prefix, entry.unsentRequests, entry.unsentWork });
        entry.unsentRequests = 0;
        entry.unsentWork = 0;
    }
    limit = std::min(limit, increments.size());
    std::ranges::partial_sort(increments, increments.begin() + static_cast<std::ptrdiff_t>(limit),
                              std::ranges::greater(), &PrefixIncrement::work);
    increments.resize(limit);
    return increments;
}

std::vector<PrefixIncrement> exportDemand(const HotPrefixes &hot, std::size_t limit, Time now)
{
    std::vector<PrefixIncrement> demand;
    for (const HotPrefixes::Entry &entry : hot.entries) {
        const float factor = decayFactor(hot, entry, now);
        if (entry.requests * factor > 0)
            demand.push_back({ entry.prefix, entry.requests * factor, entry.work * factor });
    }
    limit = std::min(limit, demand.size());
    std::ranges::partial_sort(demand, demand.begin() + static_cast<std::ptrdiff_t>(limit),
                              std::ranges::greater(), &PrefixIncrement::work);
    demand.resize(limit);
    return demand;
}

PrefixDemand demandOf(const HotPrefixes &hot, std::uint64_t prefix, Time now)
{
    if (hot.entries.empty())
        return {};
    for (const HotPrefixes::Entry &entry : internal::setOf(hot.entries, prefix)) {
        if (entry.prefix != prefix)
            continue;
        const double perSecond = decayFactor(hot, entry, now) / Cost(hot.averagingTime).count();
        return { entry.requests * perSecond, entry.work * perSecond };
    }
    return {};
}

} // namespace chervilfield::routing
