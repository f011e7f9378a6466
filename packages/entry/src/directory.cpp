#include "entry/directory.h"

#include "base/hash.h"

#include <algorithm>

namespace chervilfield::entry {

std::vector<net::Address> chooseAddresses(std::vector<net::Address> addresses,
                                          const std::string &dataCentre, std::size_t maxCount)
{
    if (addresses.size() <= maxCount)
        return addresses;
    const std::uint64_t seed = base::hash64(dataCentre);
    std::ranges::partial_sort(
            addresses, addresses.begin() + static_cast<std::ptrdiff_t>(maxCount), {},
            [seed](const net::Address &address) { return base::hash64(toString(address), seed); });
    addresses.resize(maxCount);
    return addresses;
}

} // namespace chervilfield::entry
