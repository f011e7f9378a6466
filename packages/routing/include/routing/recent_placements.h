#pragma once

#include "routing/types.h"

#include <array>
#include <vector>

namespace chervilfield::routing {

/// Placement of one prefix on a life of a target, in the form that daemons exchange.
struct PlacementHint
{
    std::uint64_t prefix = 0;
    TargetId target = 0;
    std::uint64_t life = 0;
};

/// Targets to which this daemon, and other daemons according to their hints, recently sent each
/// prefix. A placement is a hint that the target still caches the prefix. Its weight falls with
/// age, at a rate that is adjusted to the cache hits that engines report.
struct RecentPlacements
{
    static constexpr std::size_t kTargets = 3; ///< Placements stored per prefix.

    struct Placement
    {
        TargetId target = 0;
        std::uint64_t life = 0;
        Time time{};
        Time sharedAt{}; ///< When a daemon last sent the placement to the others.
    };
    struct Entry
    {
        std::uint64_t prefix = 0;
        /// Latest first; `Time{}` marks an unused one.
        std::array<Placement, kTargets> placements{};
    };

    /// Mean time that a block stays cached after its last use, as estimated by `correctLifetime`.
    Cost lifetime{ 5 };
    /// Minimum time between two hints about the same placement, over all daemons.
    std::chrono::milliseconds shareInterval{ 1000 };
    std::vector<Entry> entries; ///< Sets of `kWays` entries; empty until the first placement.
    std::vector<PlacementHint> unsentHints; ///< Oldest first.
};

/// Records that a request with `chain` was sent to a life of a target.
void recordPlacement(RecentPlacements &recent, std::span<const std::uint64_t> chain,
                     TargetId target, std::uint64_t life, Time now);

/// Returns at most `limit` placements that the other daemons do not know, oldest first. The rest is
/// discarded without being sent, because a late hint has little value.
std::vector<PlacementHint> takeHints(RecentPlacements &recent, std::size_t limit);

/// Records the placements that another daemon reports.
void mergeHints(RecentPlacements &recent, std::span<const PlacementHint> hints, Time now);

/// Returns at most `limit` placements used within the lifetime, latest first, for a daemon that has
/// just started.
std::vector<PlacementHint> exportHints(const RecentPlacements &recent, std::size_t limit, Time now);

/// Returns the recent placements of `prefix`, latest first; those with `time == Time{}` are unused.
std::array<RecentPlacements::Placement, RecentPlacements::kTargets>
placementsOf(const RecentPlacements &recent, std::uint64_t prefix);

/// Returns the probability that a block last used `age` ago is still cached.
double survivalProbability(const RecentPlacements &recent, Cost age);

/// Adjusts the estimated lifetime by the result of one request: `predicted` is the number of cached
/// tokens that the decision expected, `reported` the number that the engine found, and `possible`
/// the number of tokens in complete blocks.
void correctLifetime(RecentPlacements &recent, double predicted, double reported, double possible);

} // namespace chervilfield::routing
