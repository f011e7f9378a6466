#pragma once

#include "membership/protocol.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::membership {

/// WorkClass separates short requests from long ones, whose load is counted apart.
enum class WorkClass : std::uint8_t { Short, Long };

/// Number of work classes; the enum values index arrays.
constexpr std::size_t kWorkClasses = 2;

/// ClassLoad counts the work of one class that was sent to a target and has not ended.
struct ClassLoad
{
    std::uint32_t prefillTokens = 0; ///< Total of the requests without a first token.
    std::uint32_t requests = 0;

    bool operator==(const ClassLoad &) const = default;
};

/// TargetLoad is the work in flight at a target, indexed by `WorkClass`.
struct TargetLoad
{
    std::array<ClassLoad, kWorkClasses> classes;

    bool operator==(const TargetLoad &) const = default;
};

/// TargetKey identifies a target in load digests. Among 860 targets, the probability of a collision
/// is 1e-4; two targets that collide count each other's load as their own.
using TargetKey = std::uint32_t;

/// Returns the key of the target with this name.
TargetKey targetKey(std::string_view targetName);

/// LoadEntry is the load of one target as it is exchanged between daemons.
struct LoadEntry
{
    TargetKey target = 0;
    TargetLoad load;

    bool operator==(const LoadEntry &) const = default;
};

/// LoadDigestOptions controls when loads are sent and dropped. docs/decisions/0020-load-exchange.md
/// has the measurements behind the defaults.
struct LoadDigestOptions
{
    /// Minimum time between two datagrams to the same daemon.
    Duration minSendInterval = std::chrono::milliseconds(100);
    /// A smaller change of `ClassLoad::prefillTokens` is not significant; two prompt blocks.
    std::uint32_t minPrefillTokenChange = 8192;
    /// A smaller change of `ClassLoad::requests` is not significant.
    std::uint32_t minRequestChange = 4;
    /// A change below this share of the last value sent is not significant either.
    double minRelativeChange = 0.1;
    /// Time after which a value is repeated, because datagrams get lost.
    Duration refreshInterval = std::chrono::seconds(5);
    Duration maxAge = std::chrono::seconds(12); ///< Older values are dropped.
};

/// SentLoads records what one daemon has sent to another about a set of targets.
struct SentLoads
{
    struct SentLoad
    {
        TargetLoad load;
        TimePoint sentAt;
    };
    std::map<TargetKey, SentLoad> targets;
    TimePoint lastSent{ -std::chrono::hours(1) }; ///< Time of the last send, of any target.
};

/// Returns the entries of `current` that differ significantly from what was sent or are due to be
/// repeated, and records them as sent. Returns nothing if the last send is less than
/// `minSendInterval` ago. A target that is no longer in `current` counts as idle: it is sent once
/// as idle and then removed. Call this function often, so that a significant change is sent without
/// delay.
std::vector<LoadEntry> takeChanges(SentLoads &sent, std::span<const LoadEntry> current,
                                   TimePoint now, const LoadDigestOptions &options);

/// ReportedLoads is the state of an aggregation point: the work that each daemon has in flight at
/// the targets aggregated here.
struct ReportedLoads
{
    struct Report
    {
        TargetLoad load;
        TimePoint reportedAt;
    };
    struct Reporter
    {
        std::uint64_t life = 0;
        TimePoint lastReport;
        std::map<TargetKey, Report> targets;
        SentLoads sentSums; ///< Sums that were sent back to this daemon.
    };
    std::map<std::string, Reporter, std::less<>> reporters; ///< By member name.
};

/// Stores a report. An empty report only asks for sums. A report of an earlier life is ignored; the
/// first report of a new life replaces everything known about the old one. Reports of further
/// daemons and targets are ignored once `reported` is full.
void recordReport(ReportedLoads &reported, std::string_view reporter, std::uint64_t life,
                  std::span<const LoadEntry> entries, TimePoint now);

/// Returns the sums of the other daemons' load that are due to be sent to `reporter`.
std::vector<LoadEntry> takeSums(ReportedLoads &reported, std::string_view reporter, TimePoint now,
                                const LoadDigestOptions &options);

/// Drops reports that were not repeated within `maxAge`, and daemons that no longer report.
void expireReports(ReportedLoads &reported, TimePoint now, const LoadDigestOptions &options);

/// OthersLoad is the load of all other daemons at one target.
struct OthersLoad
{
    TargetLoad load;
    Duration age{}; ///< Time since the sum arrived.
};

/// ReceivedSums holds the sums that this daemon received from the aggregation points.
struct ReceivedSums
{
    struct Sum
    {
        TargetLoad load;
        TimePoint receivedAt;
    };
    std::map<TargetKey, Sum> targets;
};

/// Stores sums received from an aggregation point. Sums of further targets are ignored once
/// `receivedSums` is full.
void mergeSums(ReceivedSums &receivedSums, std::span<const LoadEntry> sums, TimePoint now);

/// Drops sums that were not repeated within `maxAge`, for example those of ended targets.
void expireSums(ReceivedSums &receivedSums, TimePoint now, const LoadDigestOptions &options);

/// Returns the load of the other daemons at a target, or no value if nothing recent is known. Its
/// age shows how reliable it is: a sum is sent again only when it changes or is due to be repeated.
std::optional<OthersLoad> othersLoad(const ReceivedSums &receivedSums, TargetKey target,
                                     TimePoint now, const LoadDigestOptions &options);

} // namespace chervilfield::membership
