#pragma once

#include "performance/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilfield::performance {

namespace detail {

/// Exponentially decayed mean.
struct DecayedMean
{
    double sum = 0;
    double weight = 0;
    double squaredWeight = 0; ///< Decayed sum of the squares of the weights.
    Time at{};

    double weightAt(Time now, Seconds decayTime) const;
    /// Returns the number of equally weighted values whose mean has the same variance, decayed
    /// since the last value.
    double effectiveCount(Time now, Seconds decayTime) const;
    double mean() const { return weight > 0 ? sum / weight : 0; }
    void add(double value, double valueWeight, Time now, Seconds decayTime);
};

/// Decayed times of answers by concurrency, in buckets that double in width.
struct ConcurrencyCurve
{
    static constexpr std::size_t kBuckets = 8;
    std::array<DecayedMean, kBuckets> logTimes;
    std::array<DecayedMean, kBuckets> logConcurrencies;
};

} // namespace detail

/// Learns the performance of targets relative to their pool. Each observed time is divided by the
/// time predicted for its load and by the same ratio of the other targets that this instance
/// observed at the same time, so that neither the load nor a slow instance counts against a target.
/// Differences that chance explains are left out. Not safe for concurrent use.
class PerformanceModel
{
public:
    explicit PerformanceModel(PerformanceOptions options = {}) : options_(options) {}

    /// Records a sample. Ignores invalid samples and those of a previous run.
    void record(const std::string &pool, std::uint64_t target, std::uint64_t startedAt,
                const Sample &sample, Time now);

    /// Returns the figures of a run of a target with `slots` slots. They are at most
    /// `refreshInterval` old.
    TargetFigures figures(const std::string &pool, std::uint64_t target, std::uint64_t startedAt,
                          double slots, Time now) const;

    /// Returns the relative time in coarse steps with hysteresis, for decisions that are costly to
    /// reverse.
    double steadyRelativeTime(const std::string &pool, std::uint64_t target,
                              std::uint64_t startedAt, Time now) const;

    /// Returns true if figures of any target of the pool differ from the usual ones.
    bool hasDifferences(const std::string &pool, Time now) const;

    /// Returns the own observations of at most `limit` targets, in turn.
    std::vector<SharedFigures> takeShared(std::size_t limit, Time now);

    /// Records the observations of another instance, which replace its earlier ones. `sender`
    /// identifies the instance, for instance by a hash of its address. Ignores invalid figures and
    /// those of unknown runs.
    void mergeShared(std::uint64_t sender, std::span<const SharedFigures> figures, Time now);

    /// Replaces the known runs. New runs start without observations.
    void retain(std::span<const TargetRun> runs, Time now);

    /// Returns the changes of steady relative times since the previous call, at most 64.
    std::vector<PerformanceChange> takeChanges();

    std::size_t targetCount() const;

private:
    /// Evidence of another instance.
    struct SharedEvidence
    {
        std::uint64_t sender = 0;
        double logTime = 0;
        double usefulConcurrency = 0;
        double weight = 0;
        Time at{};
    };
    struct TargetState
    {
        std::uint64_t startedAt = 0;
        detail::DecayedMean logTime; ///< Own observations, relative to other targets.
        detail::ConcurrencyCurve curve;
        std::vector<SharedEvidence> shared;
        Time sharedAt{}; ///< When the own observations were last taken for sharing.
        /// Results of the latest refresh.
        double estimatedLogTime = 0; ///< Including differences that chance may explain.
        double logRelativeTime = 0;
        double usefulConcurrency = 0;
        double confidence = 0;
        int steadyLevel = 0;
        Time steadySince{}; ///< When the relative time was last close to that level.
    };
    /// A recent sample, for comparison with those of other targets.
    struct RecentSample
    {
        std::uint64_t target = 0;
        std::uint64_t startedAt = 0;
        double logRatio = 0; ///< To the usual time of the pool at this instance.
        Time at{};
    };
    /// First events of targets in this data centre and in others, and event intervals.
    static constexpr std::size_t kKinds = 3;
    static constexpr std::size_t kTokenClasses = 5;
    static constexpr std::size_t kLoadClasses = 8;
    struct Pool
    {
        std::unordered_map<std::uint64_t, TargetState> targets;
        /// Logarithms of the ratio of observed to predicted times, by kind, tokens and load.
        std::array<detail::DecayedMean, kKinds * kTokenClasses * kLoadClasses> usual;
        std::array<detail::DecayedMean, kKinds> usualOfKind;
        std::deque<RecentSample> recent; ///< Oldest first.
        std::size_t compared = 0;        ///< Number of samples in `recent` that were compared.
        detail::DecayedMean variance;    ///< Squared deviations of single samples.
        double usefulConcurrency = 0;    ///< Median of the targets.
        bool hasDifferences = false;
        Time refreshedAt{};
    };
    /// Evidence of all instances about one target.
    struct Estimate
    {
        std::uint64_t target = 0;
        TargetState *state = nullptr;
        double logTime = 0;
        double weight = 0;
    };

    double varianceOf(const Pool &pool) const;
    double evidence(const TargetState &state, double variance, Time now) const;
    void observe(Pool &pool, std::uint64_t target, const TargetState &state, std::size_t kind,
                 const Sample &sample, double logRatio, Time now);
    void compareRecent(Pool &pool, Time now);
    void compare(Pool &pool, std::size_t index);
    Estimate combine(TargetState &state, double sampleVariance, Time now) const;
    double combineConcurrency(const TargetState &state, double variance, Time now) const;
    void refresh(const std::string &name, Pool &pool, Time now) const;
    void updateSteadyLevel(const std::string &pool, std::uint64_t target, TargetState &state,
                           Time now) const;
    TargetState *addTarget(Pool &pool, std::uint64_t target, std::uint64_t startedAt);
    const TargetState *find(const std::string &pool, std::uint64_t target, std::uint64_t startedAt,
                            Time now) const;

    PerformanceOptions options_;
    /// Mutable because reading refreshes the results, at most every `refreshInterval`.
    mutable std::unordered_map<std::string, Pool> pools_;
    mutable std::vector<PerformanceChange> changes_;
};

} // namespace chervilfield::performance
