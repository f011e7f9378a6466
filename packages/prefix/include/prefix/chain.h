#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervilfield::prefix {

/// Assumed mean length of a token.
inline constexpr std::size_t kBytesPerToken = 4;
/// Size of a block, the unit in which prefixes are compared.
inline constexpr std::size_t kBlockTokens = 4096;
inline constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;

/// Scope in which cached blocks are valid. Blocks of two scopes that differ in any field never
/// match.
struct Scope
{
    std::string_view customer;
    std::string_view model;
    std::string_view weights; ///< Version of the weights.
    std::string_view adapter; ///< Empty if the model runs without an adapter.
};

/// Returns the seed of all chains in `scope`.
std::uint64_t chainSeed(const Scope &scope);

/// Returns the hash of each complete block of `prompt`, in order. Element i depends on `seed` and
/// on blocks 0 to i, so equal elements mean equal prefixes. A remainder shorter than `kBlockBytes`
/// has no element.
std::vector<std::uint64_t> blockChain(std::string_view prompt, std::uint64_t seed);

/// Returns the estimated number of tokens of a prompt of `bytes` bytes, rounded up.
constexpr std::uint32_t estimateTokens(std::size_t bytes)
{
    return static_cast<std::uint32_t>((bytes + kBytesPerToken - 1) / kBytesPerToken);
}

} // namespace chervilfield::prefix
