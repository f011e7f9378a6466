#include "base/numbers.h"

#include <charconv>

namespace chervilfield::base {

namespace {

bool parseNumber(std::string_view text, int radix, std::uint64_t &value)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, radix);
    return result.ec == std::errc() && result.ptr == end;
}

} // namespace

bool parseDecimal(std::string_view text, std::uint64_t &value)
{
    return parseNumber(text, 10, value);
}

bool parseHex(std::string_view text, std::uint64_t &value)
{
    return parseNumber(text, 16, value);
}

} // namespace chervilfield::base
