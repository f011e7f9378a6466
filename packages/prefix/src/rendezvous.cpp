#include "prefix/rendezvous.h"

#include "base/hash.h"

#include <algorithm>

namespace chervilfield::prefix {

std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t node)
{
    return base::combineHash(key, node);
}

std::span<std::uint64_t> highestScores(std::uint64_t key, std::span<std::uint64_t> nodes,
                                       std::size_t count)
{
    count = std::min(count, nodes.size());
    std::ranges::partial_sort(nodes, nodes.begin() + static_cast<std::ptrdiff_t>(count),
                              [key](std::uint64_t a, std::uint64_t b) {
                                  const std::uint64_t scoreA = rendezvousScore(key, a);
                                  const std::uint64_t scoreB = rendezvousScore(key, b);
                                  return scoreA != scoreB ? scoreA > scoreB : a > b;
                              });
    return nodes.first(count);
}

} // namespace chervilfield::prefix
