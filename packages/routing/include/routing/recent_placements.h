#pragma once

#include "routing/types.h"

#include <array>
#include <vector>

namespace chervilfield::routing {

/// Where this daemon recently sent each prefix. An entry is a hint that the target still caches the
/// prefix; the hint weakens with age at a rate that follows the hits that engines report.
struct RecentPlacements
{
    static constexpr std::size_t kTargets = 3;

    struct Placement
    {
        TargetId target = 0;
        std::uint64_t life = 0;
        Time time{};
    };
    struct Entry
    {
        std::uint64_t prefix = 0;
        std::array<Placement, kTargets> placements{}; ///< Latest first; `Time{}` marks a free one.
    };

    /// Mean time that a block stays cached after its last use, corrected by `correctLifetime`.
    Cost lifetime{ 5 };
    std::vector<Entry> entries; ///< Sets of entries; empty until the first placement.
};

/// Records that a request with `chain` was sent to a life of a target.
void recordPlacement(RecentPlacements &recent, std::span<const std::uint64_t> chain,
                     TargetId target, std::uint64_t life, Time now);

/// Returns the recent placements of `prefix`; those with `time == Time{}` are unused.
std::array<RecentPlacements::Placement, RecentPlacements::kTargets>
placementsOf(const RecentPlacements &recent, std::uint64_t prefix);

/// Returns the probability that a block used `age` ago is still cached.
double survival(const RecentPlacements &recent, Cost age);

/// Corrects the lifetime by one prediction from a placement of the given age: `predicted` and
/// `reported` are cached tokens.
void correctLifetime(RecentPlacements &recent, Cost age, double predicted, double reported);

} // namespace chervilfield::routing
