#pragma once

#include "membership/load_digest.h"
#include "membership/protocol.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chervilfield::peers {

/// Largest datagram. It fits into one IPv6 packet of the least MTU with the headers of a tunnel.
constexpr std::size_t kMaxDatagramBytes = 1200;

/// Entries of one load message or rows of hot prefixes; more must be split over datagrams.
constexpr std::size_t kMaxLoadEntries = 60;
constexpr std::size_t kMaxHotPrefixes = 64;

/// In-flight work of the sender, for a meeting point. Prefill tokens are rounded up to units of
/// 256 tokens.
struct LoadReport
{
    std::string sender;
    std::uint64_t life = 0;
    std::vector<membership::LoadEntry> loads;
    bool operator==(const LoadReport &) const = default;
};

/// In-flight work of all daemons but the receiver, from a meeting point.
struct LoadSums
{
    std::vector<membership::LoadEntry> loads;
    bool operator==(const LoadSums &) const = default;
};

struct HotPrefix
{
    std::uint64_t hash = 0; ///< Hash of the block chain up to the end of the prefix.
    std::uint32_t requestsPerMinute = 0;
    bool operator==(const HotPrefix &) const = default;
};

/// The prefixes that the sender sees most often.
struct HotPrefixes
{
    std::string sender;
    std::vector<HotPrefix> prefixes;
    bool operator==(const HotPrefixes &) const = default;
};

/// Content of one datagram between daemons.
using Datagram = std::variant<membership::Packet, LoadReport, LoadSums, HotPrefixes>;

/// Returns the datagram in the compact protocol of Thrift, or no value if it would exceed
/// `kMaxDatagramBytes` or a limit that the decoder checks.
std::optional<std::string> encode(const Datagram &datagram);

/// Returns the decoded datagram, or no value if the bytes are not a well-formed datagram within
/// all limits. Memory use is bounded by a constant whatever the bytes are.
std::optional<Datagram> decode(std::string_view bytes);

} // namespace chervilfield::peers
