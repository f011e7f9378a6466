#pragma once

#include "routing/types.h"

#include <array>
#include <vector>

namespace chervilfield::routing {

/// One prefix that a daemon sent to a life of a target, as daemons exchange it.
struct PlacementHint
{
    std::uint64_t prefix = 0;
    TargetId target = 0;
    std::uint64_t life = 0;
};

/// Where this daemon, and others as far as they tell, recently sent each prefix. An entry is a hint
/// that the target still caches the prefix; the hint weakens with age at a rate that follows the
/// hits that engines report.
struct RecentPlacements
{
    static constexpr std::size_t kTargets = 3;

    struct Placement
    {
        TargetId target = 0;
        std::uint64_t life = 0;
        Time time{};
        Time sharedAt{}; ///< When a daemon last told the others.
    };
    struct Entry
    {
        std::uint64_t prefix = 0;
        std::array<Placement, kTargets> placements{}; ///< Latest first; `Time{}` marks a free one.
    };

    /// Mean time that a block stays cached after its last use, corrected by `correctLifetime`.
    Cost lifetime{ 5 };
    /// The same placement is told at most this often by all daemons together.
    std::chrono::milliseconds shareInterval{ 1000 };
    std::vector<Entry> entries; ///< Sets of entries; empty until the first placement.
    std::vector<PlacementHint> unsentHints;
};

/// Records that a request with `chain` was sent to a life of a target.
void recordPlacement(RecentPlacements &recent, std::span<const std::uint64_t> chain,
                     TargetId target, std::uint64_t life, Time now);

/// Returns at most `limit` placements that the other daemons do not know, oldest first, and forgets
/// to tell the rest: a hint is worth little once it is late.
std::vector<PlacementHint> takeHints(RecentPlacements &recent, std::size_t limit);

/// Records placements by another daemon.
void mergeHints(RecentPlacements &recent, std::span<const PlacementHint> hints, Time now);

/// Returns placements used within the lifetime, latest first, for a daemon that has just started.
std::vector<PlacementHint> exportHints(const RecentPlacements &recent, std::size_t limit, Time now);

/// Returns the recent placements of `prefix`; those with `time == Time{}` are unused.
std::array<RecentPlacements::Placement, RecentPlacements::kTargets>
placementsOf(const RecentPlacements &recent, std::uint64_t prefix);

/// Returns the probability that a block used `age` ago is still cached.
double survivalProbability(const RecentPlacements &recent, Cost age);

/// Corrects the lifetime by one answer: `predicted`, `reported` and `possible` are the cached
/// tokens that the decision expected, that the engine found, and that complete blocks hold.
void correctLifetime(RecentPlacements &recent, double predicted, double reported, double possible);

} // namespace chervilfield::routing
