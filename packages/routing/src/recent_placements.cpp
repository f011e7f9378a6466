#include "routing/recent_placements.h"

#include "internal/table.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::routing {

namespace {

constexpr Cost kMinLifetime{ 0.5 };
constexpr Cost kMaxLifetime{ 30 };
// Lifetime change by one prediction: a miss weighs more than a hit because a wrong hint costs a
// full prefill, a missing one only a longer queue.
constexpr double kMissFactor = 0.95;
constexpr double kHitFactor = 1.02;

} // namespace

void recordPlacement(RecentPlacements &recent, std::span<const std::uint64_t> chain,
                     TargetId target, std::uint64_t life, Time now)
{
    if (recent.entries.empty())
        recent.entries.resize(internal::kSets * internal::kWays);
    for (const std::uint64_t prefix : chain) {
        const auto set = internal::setOf(recent.entries, prefix);
        auto entry = std::ranges::find(set, prefix, &RecentPlacements::Entry::prefix);
        if (entry == set.end()) {
            entry = std::ranges::min_element(
                    set, {}, [](const RecentPlacements::Entry &e) { return e.placements[0].time; });
            *entry = { .prefix = prefix };
        }
        auto &placements = entry->placements;
        const auto same =
                std::ranges::find(placements, target, &RecentPlacements::Placement::target);
        const auto end = same == placements.end() ? placements.end() : same + 1;
        std::shift_right(placements.begin(), end, 1);
        placements[0] = { .target = target, .life = life, .time = now };
    }
}

std::array<RecentPlacements::Placement, RecentPlacements::kTargets>
placementsOf(const RecentPlacements &recent, std::uint64_t prefix)
{
    if (recent.entries.empty())
        return {};
    const auto set = internal::setOf(recent.entries, prefix);
    const auto entry = std::ranges::find(set, prefix, &RecentPlacements::Entry::prefix);
    if (entry == set.end())
        return {};
    return entry->placements;
}

double survival(const RecentPlacements &recent, Cost age)
{
    return std::exp(-std::max(age.count(), 0.0) / recent.lifetime.count());
}

void correctLifetime(RecentPlacements &recent, Cost age, double predicted, double reported)
{
    if (predicted <= 0)
        return;
    if (reported < predicted / 2)
        recent.lifetime *= kMissFactor;
    else if (age > recent.lifetime / 4)
        recent.lifetime *= kHitFactor;
    recent.lifetime = std::clamp(recent.lifetime, kMinLifetime, kMaxLifetime);
}

} // namespace chervilfield::routing
