#pragma once

#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::peers {

/// Limits of the bodies of TCP exchanges.
constexpr std::size_t kMaxTransferBytes = 4U << 20U;
constexpr std::size_t kMaxTableMembers = 2048;
constexpr std::size_t kMaxConfigurationEntries = 4096;

/// One entry of the configuration log; the value is the same text as in the table service.
struct ConfigurationEntry
{
    std::uint64_t revision = 0;
    std::string value;
    bool operator==(const ConfigurationEntry &) const = default;
};

/// Entries of the configuration log after a revision, in ascending order. The list may be cut at
/// `kMaxTransferBytes`; the receiver then asks again after the last entry.
struct ConfigurationEntries
{
    std::uint64_t revisionInForce = 0;
    std::vector<ConfigurationEntry> entries;
    bool operator==(const ConfigurationEntries &) const = default;
};

/// Bodies in the compact protocol of Thrift. Decoders return no value for malformed bodies and for
/// those over a limit; memory use is bounded by a small multiple of the size of the body.
std::string encodeTable(const std::vector<membership::Member> &members);
std::optional<std::vector<membership::Member>> decodeTable(std::string_view body);

/// Leaves out the last entries if the body would exceed `kMaxTransferBytes`.
std::string encodeEntries(const ConfigurationEntries &entries);
std::optional<ConfigurationEntries> decodeEntries(std::string_view body);

} // namespace chervilfield::peers
