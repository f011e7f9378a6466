#pragma once

#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::membership {

/// EntryAddress is one row of the response of `GET /v1/entries`.
struct EntryAddress
{
    std::string address;
    std::string dataCentre;

    bool operator==(const EntryAddress &) const = default;
};

/// EntryAddressOptions limits the number of addresses that a caller receives.
struct EntryAddressOptions
{
    std::size_t maxEntries = 8;
    /// Rows reserved for other data centres, so that a caller survives the loss of its own.
    std::size_t reservedRemoteEntries = 2;
};

/// Returns the addresses for a caller in order of preference: members of `dataCentre`, then members
/// of other data centres, then suspects. Leaving and dead members are excluded. `callerKey`
/// distributes callers over members of equal preference: the order depends on the key and stays the
/// same for one caller.
std::vector<EntryAddress> entryAddresses(std::span<const Member> members,
                                         std::string_view dataCentre, std::uint64_t callerKey,
                                         const EntryAddressOptions &options = {});

} // namespace chervilfield::membership
