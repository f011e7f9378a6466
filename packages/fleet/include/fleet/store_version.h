#pragma once

#include <compare>
#include <cstdint>

namespace chervilfield::fleet {

/// Highest era that is accepted. Larger values are malformed. Together with the lowest fencing
/// token of an era, it keeps fencing tokens within the integers that every JSON parser represents.
constexpr std::uint64_t kMaxStoreEra = (std::uint64_t(1) << 20U) - 1;

/// A version of the store. The era increases by one each time the store is restored to an older
/// copy, after which it issues the same versions again. Versions of different eras are ordered by
/// the era; 0 is the era of a store that states none.
struct StoreVersion
{
    std::uint64_t era = 0;
    std::uint64_t version = 0;
    auto operator<=>(const StoreVersion &) const = default;
};

} // namespace chervilfield::fleet
