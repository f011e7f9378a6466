#pragma once

#include "base/boot_clock.h"
#include "quarantine/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Detection of prompt parts that crash engines. Uses no sockets; the current time is always passed
/// in.
namespace chervilfield::quarantine {

using Time = base::BootClock::time_point;

/// Returns the key of a prompt part. The value is the same in all processes and releases.
PartKey partKey(std::string_view model, std::string_view partId);

/// Start or early end of a quarantine at this instance.
struct QuarantineChange
{
    QuarantinedPart part;
    bool isQuarantined = false; ///< False if the quarantine was lifted before its end.
    bool isAdopted = false;     ///< The quarantine was taken from another instance or the store.
    std::size_t crashes = 0;    ///< Engine runs in whose crash the part is a suspect.
};

/// Limits of `PartQuarantine`.
struct QuarantineOptions
{
    /// Number of engine runs that a part must explain.
    std::size_t minRuns = 3;
    /// Number of different requests with the part among the suspects of these runs. A single
    /// request may crash several engines for a reason that lies in its last part.
    std::size_t minRequests = 2;
    /// Time between the first and the last crash that a part must explain. Crashes at the same
    /// moment usually have a common cause outside of the requests.
    std::chrono::milliseconds minSpan{ 400 };
    /// Age from which a crash counts, when all instances should have reported their suspects.
    std::chrono::milliseconds settleTime{ 150 };
    /// Time for which a crash counts.
    std::chrono::milliseconds crashLifetime{ 30'000 };
    /// Maximum delay of reports from other instances.
    std::chrono::milliseconds reportDelay{ 500 };
    /// Duration of a quarantine. For the same time after its end, one more crash renews it.
    std::chrono::milliseconds duration{ 600'000 };
    std::size_t maxCrashes = 128; ///< The oldest crash is dropped beyond this number.
    std::size_t maxPartsPerCrash = 512;
};

/// Finds the prompt parts that explain crashes of engines. An engine that crashes makes all parts
/// of its waiting requests suspects. A part that begins an answer afterwards is cleared of the
/// crash, because a deadly part never begins one. The part that explains most of the remaining
/// crashes is quarantined; crashes that it explains accuse no other part. Not safe for concurrent
/// use.
class PartQuarantine
{
public:
    explicit PartQuarantine(QuarantineOptions options = {}) : options_(options) {}

    /// Records a crash that this or another instance has seen. Reports of one run are merged.
    void recordCrash(const CrashReport &report, Time now);

    /// Records that this instance received the first event of a request. Returns those of `parts`
    /// that were suspects or quarantined, which other instances should learn.
    std::vector<PartKey> recordBegin(std::span<const PartKey> parts, Time now);

    /// Records that requests with these parts have begun an answer at another instance.
    void recordInnocent(std::span<const PartKey> parts, Time now);

    /// Records a quarantine of another instance or of the store. Ignores it if the part was cleared
    /// within `QuarantineOptions::crashLifetime`.
    void adopt(const QuarantinedPart &part, Time now);

    /// Returns the longest remaining time of the quarantined parts among `parts`, or no value if
    /// there is none.
    std::optional<std::chrono::milliseconds> remaining(std::span<const PartKey> parts,
                                                       Time now) const;

    /// Returns all parts that are quarantined.
    std::vector<QuarantinedPart> active(Time now) const;

    /// Draws verdicts from the crashes that have come to count, and ends quarantines whose time has
    /// passed. Must be called regularly. Returns the changes since the previous call.
    std::vector<QuarantineChange> update(Time now);

private:
    struct Suspicion
    {
        std::size_t position = 0;            ///< Greatest index of the part in a request.
        std::vector<std::uint64_t> requests; ///< Different requests with the part.
    };
    struct Crash
    {
        EngineRun run;
        Time at{};
        bool isCounted = false; ///< The crash was settled when verdicts were last drawn.
        std::map<PartKey, Suspicion> suspects;
    };
    struct Quarantine
    {
        Time until{};
        bool isAdopted = false;
    };

    Crash &crashOf(const EngineRun &run, Time now);
    /// Clears the parts. Returns those that were suspects or quarantined.
    std::vector<PartKey> clear(std::span<const PartKey> parts, Time now);
    /// Returns the parts that explain the crashes which no part of `known` explains.
    std::vector<PartKey> explain(const std::vector<PartKey> &known, Time now) const;
    /// Returns the part that explains most of `crashes` within the limits, or no value.
    std::optional<PartKey> bestSuspect(const std::vector<const Crash *> &crashes) const;
    /// Returns true if there are crashes with the part, and other parts explain all of them.
    bool isExplainedAway(PartKey part, const std::vector<PartKey> &verdicts) const;
    bool isSettled(const Crash &crash, Time now) const
    {
        return crash.at + options_.settleTime <= now;
    }
    std::size_t crashesWith(PartKey part) const;
    void updateVerdicts(Time now);
    void quarantine(PartKey part, Time until, bool isAdopted, Time now);
    void lift(PartKey part);
    void expire(Time now);

    QuarantineOptions options_;
    std::vector<Crash> crashes_; ///< Oldest first.
    std::map<PartKey, Quarantine> quarantined_;
    std::map<PartKey, Time> lapsed_;                ///< Parts that one crash quarantines again.
    std::unordered_map<PartKey, Time> lastCleared_; ///< By part, within `crashLifetime`.
    std::vector<QuarantineChange> changes_;
};

} // namespace chervilfield::quarantine
