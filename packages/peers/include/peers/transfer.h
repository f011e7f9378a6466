#pragma once

#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::peers {

/// Limits on the body of a request or response between peers over TCP.
constexpr std::size_t kMaxTransferBytes = 4U << 20U;
constexpr std::size_t kMaxTableMembers = 2048;
constexpr std::size_t kMaxConfigurationEntries = 4096;

/// One entry of the configuration log. The value is the text that the table service stores.
struct ConfigurationEntry
{
    std::uint64_t revision = 0;
    std::string value;
    bool operator==(const ConfigurationEntry &) const = default;
};

/// Entries of the configuration log after a revision, in ascending order of revisions. The list may
/// be truncated to fit `kMaxTransferBytes`; the receiver then asks for the entries after the last
/// one.
struct ConfigurationEntries
{
    std::uint64_t revisionInForce = 0;
    std::vector<ConfigurationEntry> entries;
    bool operator==(const ConfigurationEntries &) const = default;
};

/// Encodes the member table in Thrift's compact protocol.
std::string encodeTable(const std::vector<membership::Member> &members);

/// Decodes a member table. Returns no value if the body is malformed or exceeds a limit. Memory use
/// is bounded by a small multiple of the size of the body.
std::optional<std::vector<membership::Member>> decodeTable(std::string_view body);

/// Encodes the entries in Thrift's compact protocol. Omits the last entries if the body would
/// exceed `kMaxTransferBytes` or the list `kMaxConfigurationEntries`.
std::string encodeEntries(const ConfigurationEntries &entries);

/// Decodes configuration entries. Returns no value if the body is malformed, exceeds a limit or is
/// not in ascending order of revisions. Memory use is bounded as for `decodeTable`.
std::optional<ConfigurationEntries> decodeEntries(std::string_view body);

} // namespace chervilfield::peers
