#pragma once

#include "net/address.h"

#include <cstddef>
#include <string>
#include <vector>

/// Selection of the instance addresses that are returned to callers.
namespace chervilfield::entry {

/// Returns at most `maxCount` of the addresses. Instances of one data centre that know the same
/// addresses choose the same ones, because callers close their connections to an address that is
/// missing from the next response, whichever instance sends it. Data centres choose different ones.
std::vector<net::Address> chooseAddresses(std::vector<net::Address> addresses,
                                          const std::string &dataCentre, std::size_t maxCount);

} // namespace chervilfield::entry
