#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace chervilfield::prefix {

/// Returns the score of `node` for `key` in rendezvous (highest random weight) hashing.
std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t node);

/// Moves the nodes with the highest scores for `key` to the front of `nodes`, highest first, and
/// returns the first `count` of them (all if there are fewer). The result does not depend on the
/// order of `nodes` before the call; the removal of a node does not change the order of the others.
std::span<std::uint64_t> highestScores(std::uint64_t key, std::span<std::uint64_t> nodes,
                                       std::size_t count);

} // namespace chervilfield::prefix
