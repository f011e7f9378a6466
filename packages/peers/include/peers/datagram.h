#pragma once

#include "membership/load_digest.h"
#include "membership/protocol.h"
#include "performance/types.h"
#include "quarantine/types.h"
#include "usage/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chervilfield::peers {

/// Maximum size of a datagram. With the headers of a tunnel it still fits into one IPv6 packet of
/// the minimum MTU, so that it is never fragmented.
constexpr std::size_t kMaxDatagramBytes = 1200;

/// Maximum number of entries in one `LoadReport` or `LoadSums`. The sender splits longer lists over
/// several datagrams.
constexpr std::size_t kMaxLoadEntries = 60;

/// Maximum number of hints in one `PlacementHints`.
constexpr std::size_t kMaxPlacementHints = 32;

/// Maximum number of suspect requests in one `quarantine::CrashReport`.
constexpr std::size_t kMaxSuspectRequests = 24;

/// Maximum number of parts in one `quarantine::CrashReport`, over all its requests.
constexpr std::size_t kMaxSuspectParts = 64;

/// Maximum number of parts in one `InnocentParts`.
constexpr std::size_t kMaxInnocentParts = 100;

/// Maximum number of parts in one `QuarantinedParts`.
constexpr std::size_t kMaxQuarantinedParts = 60;

/// Maximum number of entries in one `PerformanceFigures`; as many as always fit into a datagram.
constexpr std::size_t kMaxPerformanceFigures = 24;

/// Maximum of `performance::SharedFigures::relativeTime`; its minimum is the reciprocal.
constexpr double kMaxRelativeTime = 64;

/// Maximum of `performance::SharedFigures::weight`.
constexpr double kMaxPerformanceWeight = 1e6;

/// Maximum remaining time of a part in `QuarantinedParts`.
constexpr std::chrono::milliseconds kMaxQuarantineTime = std::chrono::hours(1);

/// Maximum number of entries in one `UsageReport`.
constexpr std::size_t kMaxUsageEntries = 40;

/// Maximum number of entries in one `UsageBalances`, which are almost twice as long.
constexpr std::size_t kMaxUsageBalances = 30;

/// Maximum absolute value of a cost, balance or rate in a datagram. Doubles below it count single
/// tokens exactly, and the largest customers stay below it for years.
constexpr double kMaxUsage = 1e15;

/// In-flight work of the sender, sent to an aggregation point. The encoder rounds prefill tokens up
/// to a multiple of 256. A report without entries only asks for the sums.
struct LoadReport
{
    std::string sender;     ///< Member name of the sender.
    std::uint64_t life = 0; ///< Life of the sender's process.
    std::vector<membership::LoadEntry> loads;
    bool operator==(const LoadReport &) const = default;
};

/// Total in-flight work of all daemons except the receiver at each target, sent by an aggregation
/// point.
struct LoadSums
{
    std::vector<membership::LoadEntry> loads;
    bool operator==(const LoadSums &) const = default;
};

/// A prefix that the sender recently sent to a target, which therefore probably caches it.
struct PlacementHint
{
    std::uint64_t prefix = 0; ///< Hash of the prefix, which all daemons compute alike.
    std::uint64_t target = 0; ///< Hash of the name or id of the target.
    std::uint64_t life = 0;   ///< Life of the target that received the prefix.
    bool operator==(const PlacementHint &) const = default;
};

/// Recent placements of the sender. Encoding does not preserve the order of the hints.
struct PlacementHints
{
    std::vector<PlacementHint> hints;
    bool operator==(const PlacementHints &) const = default;
};

/// The weights that one run of an engine is loading, or those that it at least has.
struct WeightsNotice
{
    std::string target;          ///< Id of the engine.
    std::uint64_t startedAt = 0; ///< Start of the run in Unix milliseconds.
    std::string model;
    std::uint64_t version = 0;
    bool isLoading = false; ///< True if the engine refuses requests until it has the weights.
    bool operator==(const WeightsNotice &) const = default;
};

/// The request rate that one run of a target accepts from all daemons together.
struct RateLimitNotice
{
    std::string target;           ///< Id of the target.
    std::uint64_t startedAt = 0;  ///< Start of the run in Unix milliseconds.
    double requestsPerSecond = 0; ///< 0 if the target states no limit any more.
    bool operator==(const RateLimitNotice &) const = default;
};

/// A run of a target that has stated that it is leaving.
struct LeavingNotice
{
    std::string target;          ///< Id of the target.
    std::uint64_t startedAt = 0; ///< Start of the run in Unix milliseconds.
    bool operator==(const LeavingNotice &) const = default;
};

/// Prompt parts on which an engine has begun an answer.
struct InnocentParts
{
    std::vector<quarantine::PartKey> parts;
    bool operator==(const InnocentParts &) const = default;
};

/// A quarantined part as a daemon knows it.
struct SharedQuarantine
{
    quarantine::QuarantinedPart part;
    bool isSaved = false; ///< True if the sender knows that the store has the quarantine.
    bool operator==(const SharedQuarantine &) const = default;
};

/// Quarantined parts that the sender knows. A message without parts asks for those of the receiver.
struct QuarantinedParts
{
    std::vector<SharedQuarantine> parts;
    bool operator==(const QuarantinedParts &) const = default;
};

/// Usage of customers by the sender, sent to their aggregation point.
struct UsageReport
{
    std::string sender;     ///< Member name of the sender.
    std::uint64_t life = 0; ///< Life of the sender's process, to which the costs belong.
    /// Cumulative counters. If a key occurs twice, the first value was accounted for before.
    std::vector<usage::UsageEntry> entries;
    bool operator==(const UsageReport &) const = default;
};

/// Balances of customers, sent by their aggregation point.
struct UsageBalances
{
    /// `includedCost` is negative if the receiver has not reported usage of the customer.
    std::vector<usage::UsageBalance> balances;
    std::uint64_t receiverLife = 0; ///< Life of the receiver in its last report; 0 if none.
    bool operator==(const UsageBalances &) const = default;
};

/// Performance of targets as the sender has observed it itself.
struct PerformanceFigures
{
    std::vector<performance::SharedFigures> figures;
    bool operator==(const PerformanceFigures &) const = default;
};

/// The content of one datagram between daemons.
using Datagram =
        std::variant<membership::Packet, LoadReport, LoadSums, PlacementHints, WeightsNotice,
                     quarantine::CrashReport, InnocentParts, QuarantinedParts, RateLimitNotice,
                     LeavingNotice, UsageReport, UsageBalances, PerformanceFigures>;

/// Encodes the datagram in Thrift's compact protocol. Returns no value if the result would exceed
/// `kMaxDatagramBytes`. Does not check the other limits, which `decode` enforces.
std::optional<std::string> encode(const Datagram &datagram);

/// Decodes a datagram. Returns no value if the bytes are not a well-formed datagram or exceed a
/// limit. Memory use is bounded by a constant for any input.
std::optional<Datagram> decode(std::string_view bytes);

} // namespace chervilfield::peers
