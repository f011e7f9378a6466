#pragma once

#include "net/address.h"

#include <cstddef>
#include <string>
#include <vector>

/// Which addresses callers are told to use.
namespace chervilfield::entry {

/// Returns at most `most` of the addresses. All instances of a data centre choose the same ones as
/// long as they know the same: callers close their connections to an address that is missing from
/// the next answer, whichever instance gives it. Data centres choose different ones.
std::vector<net::Address> chooseAddresses(std::vector<net::Address> addresses,
                                          const std::string &dataCentre, std::size_t maxCount);

} // namespace chervilfield::entry
