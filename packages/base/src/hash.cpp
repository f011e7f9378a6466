#include "base/hash.h"

#include <xxhash.h>

namespace chervilfield::base {

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t combineHash(std::uint64_t first, std::uint64_t second)
{
    // The finalizer of SplitMix64: each input bit affects every output bit.
    std::uint64_t mixed = first + 0x9e3779b97f4a7c15ULL * (second | 1U) + second;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

std::string toHex(std::uint64_t value)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 0; i < text.size(); ++i)
        text[text.size() - 1 - i] = kDigits[(value >> (4 * i)) & 0xfU];
    return text;
}

} // namespace chervilfield::base
