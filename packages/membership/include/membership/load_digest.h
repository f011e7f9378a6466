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

enum class WorkClass : std::uint8_t { Short, Long };

constexpr std::size_t kWorkClasses = 2;

/// Work of one class that was sent to a target and has not ended.
struct ClassLoad
{
    std::uint32_t prefillTokens = 0; ///< Of requests that have no first token yet.
    std::uint32_t requests = 0;

    bool operator==(const ClassLoad &) const = default;
};

/// Work in flight at a target, indexed by `WorkClass`.
struct TargetLoad
{
    std::array<ClassLoad, kWorkClasses> classes;

    bool operator==(const TargetLoad &) const = default;
};

/// Identifies a target in load digests. Two of 860 targets collide with a probability of 1e-4; the
/// effect is that each counts the other's load as its own.
using TargetKey = std::uint32_t;

TargetKey targetKey(std::string_view targetName);

struct LoadEntry
{
    TargetKey target = 0;
    TargetLoad load;

    bool operator==(const LoadEntry &) const = default;
};

/// The defaults are those measured in docs/decisions/0020-load-exchange.md.
struct LoadDigestOptions
{
    /// Least time between two datagrams to the same daemon.
    Duration minSendInterval = std::chrono::milliseconds(100);
    std::uint32_t minPrefillTokenChange = 8192; ///< Two blocks of the prompt.
    std::uint32_t minRequestChange = 4;
    /// A change is also immaterial below this share of the value sent last.
    double minRelativeChange = 0.1;
    Duration refreshInterval =
            std::chrono::seconds(5);            ///< Repeats a value, because datagrams are lost.
    Duration maxAge = std::chrono::seconds(12); ///< Values that were not repeated are dropped.
};

/// What one daemon has told another about a set of targets.
struct SentLoads
{
    struct Sent
    {
        TargetLoad load;
        TimePoint at;
    };
    std::map<TargetKey, Sent> targets;
    TimePoint last{ -std::chrono::hours(1) }; ///< When anything was sent.
};

/// Returns the entries of `current` that differ materially from what was sent, or are due to be
/// repeated, and records them as sent; nothing if the last ones were sent less than the
/// minSendInterval ago. A target that is no longer in `current` counts as idle; it is sent once as
/// idle and forgotten. Call it often, so that a material change is sent at once.
std::vector<LoadEntry> takeChanges(SentLoads &sent, std::span<const LoadEntry> current,
                                   TimePoint now, const LoadDigestOptions &options);

/// State of a meeting point: what each daemon has in flight at the targets that meet here.
struct ReportedLoads
{
    struct Report
    {
        TargetLoad load;
        TimePoint at;
    };
    struct Reporter
    {
        std::uint64_t life = 0;
        TimePoint lastReport;
        std::map<TargetKey, Report> targets;
        SentLoads sums; ///< What was sent back to this daemon.
    };
    std::map<std::string, Reporter, std::less<>> reporters; ///< By member name.
};

/// Stores a report, which may be empty: it then only asks for sums. The report of an earlier life
/// is ignored; that of a new life replaces everything known about the old one. A full board ignores
/// further daemons and targets.
void recordReport(ReportedLoads &board, std::string_view reporter, std::uint64_t life,
                  std::span<const LoadEntry> entries, TimePoint now);

/// Returns the sums of the other daemons' load that `reporter` should be sent now.
std::vector<LoadEntry> takeSums(ReportedLoads &board, std::string_view reporter, TimePoint now,
                                const LoadDigestOptions &options);

/// Drops reports that were not repeated, and daemons that no longer report.
void expireReports(ReportedLoads &board, TimePoint now, const LoadDigestOptions &options);

/// Load of all other daemons at one target.
struct OthersLoad
{
    TargetLoad load;
    Duration age{}; ///< Time since the sum arrived.
};

/// What this daemon has learned from the meeting points.
struct ReceivedSums
{
    struct Sum
    {
        TargetLoad load;
        TimePoint received;
    };
    std::map<TargetKey, Sum> targets;
};

/// Takes sums from a meeting point. A view that is full ignores further targets.
void mergeSums(ReceivedSums &view, std::span<const LoadEntry> sums, TimePoint now);

/// Drops sums that were not repeated, for example those of ended targets.
void expireSums(ReceivedSums &view, TimePoint now, const LoadDigestOptions &options);

/// Returns the others' load at a target, or no value if nothing recent is known. The age tells how
/// much to trust it: a sum is resent only when it changes or is due to be repeated.
std::optional<OthersLoad> othersLoad(const ReceivedSums &view, TargetKey target, TimePoint now,
                                     const LoadDigestOptions &options);

} // namespace chervilfield::membership
