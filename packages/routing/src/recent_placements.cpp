#include "routing/recent_placements.h"

#include "internal/table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilfield::routing {

namespace {

constexpr Cost kMinLifetime{ 0.5 };
constexpr Cost kMaxLifetime{ 30 };
// Relative change of the lifetime after a prediction that was wrong by the whole prompt. Small
// enough that a single request has little effect, large enough to follow a change of demand within
// seconds.
constexpr double kLearningRate = 0.05;

// Bounds the memory when hints are not fetched with `takeHints`.
constexpr std::size_t kMaxUnsentHints = 1024;

/// Returns the placement of the prefix on the target, moved to the front of its entry. If there is
/// none, replaces the oldest placement of the entry, or the oldest entry of the set.
RecentPlacements::Placement &latestPlacement(RecentPlacements &recent, const PlacementHint &hint)
{
    if (recent.entries.empty())
        recent.entries.resize(internal::kSets * internal::kWays);
    const auto set = internal::setOf(recent.entries, hint.prefix);
    auto entry = std::ranges::find(set, hint.prefix, &RecentPlacements::Entry::prefix);
    if (entry == set.end()) {
        entry = std::ranges::min_element(
                set, {}, [](const RecentPlacements::Entry &e) { return e.placements[0].time; });
        *entry = { .prefix = hint.prefix };
    }
    auto &placements = entry->placements;
    auto placement =
            std::ranges::find(placements, hint.target, &RecentPlacements::Placement::target);
    if (placement == placements.end()) {
        placement = placements.end() - 1;
        *placement = { .target = hint.target, .life = hint.life };
    }
    if (placement->life != hint.life)
        *placement = { .target = hint.target, .life = hint.life };
    std::rotate(placements.begin(), placement, placement + 1);
    return placements.front();
}

} // namespace

void recordPlacement(RecentPlacements &recent, std::span<const std::uint64_t> chain,
                     TargetId target, std::uint64_t life, Time now)
{
    for (const std::uint64_t prefix : chain) {
        RecentPlacements::Placement &placement =
                latestPlacement(recent, { .prefix = prefix, .target = target, .life = life });
        placement.time = now;
        if (now - placement.sharedAt < recent.shareInterval)
            continue;
        placement.sharedAt = now;
        recent.unsentHints.push_back({ .prefix = prefix, .target = target, .life = life });
    }
    if (recent.unsentHints.size() > kMaxUnsentHints)
        recent.unsentHints.erase(recent.unsentHints.begin(),
                                 recent.unsentHints.end()
                                         - static_cast<std::ptrdiff_t>(kMaxUnsentHints));
}

std::vector<PlacementHint> takeHints(RecentPlacements &recent, std::size_t limit)
{
    std::vector<PlacementHint> hints = std::move(recent.unsentHints);
    recent.unsentHints.clear();
    hints.resize(std::min(hints.size(), limit));
    return hints;
}

void mergeHints(RecentPlacements &recent, std::span<const PlacementHint> hints, Time now)
{
    for (const PlacementHint &hint : hints) {
        RecentPlacements::Placement &placement = latestPlacement(recent, hint);
        placement.time = now;
        placement.sharedAt = now;
    }
}

std::vector<PlacementHint> exportHints(const RecentPlacements &recent, std::size_t limit, Time now)
{
    struct Aged
    {
        Time time;
        PlacementHint hint;
    };
    std::vector<Aged> aged;
    for (const RecentPlacements::Entry &entry : recent.entries) {
        for (const RecentPlacements::Placement &placement : entry.placements) {
            if (placement.time != Time{} && now - placement.time < recent.lifetime)
                aged.push_back({ placement.time,
                                 { .prefix = entry.prefix,
                                   .target = placement.target,
                                   .life = placement.life } });
        }
    }
    std::ranges::sort(aged, std::ranges::greater(), &Aged::time);
    std::vector<PlacementHint> hints;
    for (std::size_t i = 0; i < std::min(limit, aged.size()); ++i)
        hints.push_back(aged[i].hint);
    return hints;
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

double survivalProbability(const RecentPlacements &recent, Cost age)
{
    // Engines evict the least recently used block, so almost all blocks used within the lifetime
    // are still cached and almost no older ones.
    const double relative = std::max(age.count(), 0.0) / recent.lifetime.count();
    return 1 / (1 + std::pow(relative, 4));
}

void correctLifetime(RecentPlacements &recent, double predicted, double reported, double possible)
{
    if (possible <= 0)
        return;
    const double error = std::clamp((reported - predicted) / possible, -1.0, 1.0);
    recent.lifetime =
            std::clamp(recent.lifetime * (1 + kLearningRate * error), kMinLifetime, kMaxLifetime);
}

} // namespace chervilfield::routing
