#pragma once

#include <cstdint>
#include <string_view>

namespace chervilfield::base {

/// Parses an unsigned decimal number. Returns true if and only if all of `text` is the number;
/// `value` is valid only then.
bool parseDecimal(std::string_view text, std::uint64_t &value);

/// As `parseDecimal()`, for a hexadecimal number without a prefix.
bool parseHex(std::string_view text, std::uint64_t &value);

} // namespace chervilfield::base
