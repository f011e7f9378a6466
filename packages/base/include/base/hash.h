#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilfield::base {

/// Returns the 64-bit XXH3 hash of `data`. The value is the same in all processes and releases, so
/// that instances may compare hashes.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Combines two 64-bit values into one hash. The result depends on the order.
std::uint64_t combineHash(std::uint64_t first, std::uint64_t second);

/// Formats `value` as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace chervilfield::base
