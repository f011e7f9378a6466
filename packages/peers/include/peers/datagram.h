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

/// Entries of one load message, or hints of one datagram; more must be split over datagrams.
constexpr std::size_t kMaxLoadEntries = 60;
constexpr std::size_t kMaxPlacementHints = 32;

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

/// A prefix that the sender recently sent to a life of a target, which probably caches it now.
struct PlacementHint
{
    std::uint64_t prefix = 0; ///< Hash of the block chain up to the end of the prefix.
    std::uint64_t target = 0; ///< Hash of the target's name.
    std::uint64_t life = 0;
    bool operator==(const PlacementHint &) const = default;
};

/// Recent placements of the sender. The order of the hints is not kept.
struct PlacementHints
{
    std::vector<PlacementHint> hints;
    bool operator==(const PlacementHints &) const = default;
};

/// Tells which weights one run of an engine loads or has.
struct WeightsNotice
{
    std::string target;
    std::uint64_t startedAt = 0; ///< Of the run, in Unix milliseconds.
    std::string model;
    std::uint64_t version = 0;
    bool isLoading = false; ///< The engine refuses work until it has these weights.
    bool operator==(const WeightsNotice &) const = default;
};

/// Content of one datagram between daemons.
using Datagram =
        std::variant<membership::Packet, LoadReport, LoadSums, PlacementHints, WeightsNotice>;

/// Returns the datagram in the compact protocol of Thrift, or no value if it would exceed
/// `kMaxDatagramBytes` or a limit that the decoder checks.
std::optional<std::string> encode(const Datagram &datagram);

/// Returns the decoded datagram, or no value if the bytes are not a well-formed datagram within
/// all limits. Memory use is bounded by a constant whatever the bytes are.
std::optional<Datagram> decode(std::string_view bytes);

} // namespace chervilfield::peers
