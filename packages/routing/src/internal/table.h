#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace chervilfield::routing::internal {

/// Dimensions of the set-associative tables keyed by prefix.
inline constexpr std::size_t kSets = 2048;
inline constexpr std::size_t kWays = 4;

/// Returns the set of `entries` that can contain `prefix`. `entries` has `kSets * kWays` elements.
template<typename Entries>
auto setOf(Entries &entries, std::uint64_t prefix)
{
    return std::span(entries).subspan((prefix % kSets) * kWays, kWays);
}

} // namespace chervilfield::routing::internal
