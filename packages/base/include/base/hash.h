#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilfield::base {

/// Returns the 64-bit XXH3 hash of `data`. It is stable across processes and releases, so values
/// may be compared between daemons.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Mixes two 64-bit values into one. Order matters.
std::uint64_t combineHash(std::uint64_t first, std::uint64_t second);

/// Returns `value` as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace chervilfield::base
