#pragma once

#include <cstdint>
#include <string_view>

namespace chervilfield::base {

/// Parses a whole number in decimal digits. Returns true and stores the value if and only if all of
/// `text` is the number.
bool parseDecimal(std::string_view text, std::uint64_t &value);

/// As `parseDecimal`, for hexadecimal digits without a prefix.
bool parseHex(std::string_view text, std::uint64_t &value);

} // namespace chervilfield::base
