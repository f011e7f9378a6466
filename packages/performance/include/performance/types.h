#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/// Performance of targets, learned from the times of their answers. Uses no sockets; the current
/// time is always passed in.
namespace chervilfield::performance {

using Time = base::BootClock::time_point;
using Seconds = std::chrono::duration<double>;

/// Times of a request at a target, with the load of the target when the request was sent to it. The
/// load does not include the request. Faults and refusals are not samples.
struct Sample
{
    double uncachedTokens = 0;      ///< Prompt tokens to compute; 0 for a plain service.
    double requestsAtSend = 0;      ///< Requests of all instances at the target.
    double waitingTokensAtSend = 0; ///< Uncached prompt tokens of those without a first event.
    /// Processing time relative to the usual one, as the target reported it; 1 is normal.
    double slowness = 1;
    /// Time from the send to the first event; 0 if the sample has only an event interval.
    Seconds timeToFirstEvent{ 0 };
    /// Mean time between two events of the stream.
    std::optional<Seconds> eventInterval;
    double slots = 0; ///< Requests that the target runs concurrently; 0 if unknown.
    /// The target is in another data centre than this instance, so that the time to the first event
    /// includes the round trip.
    bool isRemote = false;
};

/// Learned performance of one run of a target.
struct TargetFigures
{
    /// Time for the same work under the same load, relative to the pool; exactly 1 without evidence
    /// for a difference.
    double relativeTime = 1;
    /// Number of concurrent requests beyond which more work does not pay off; 0 if that is unknown
    /// or not below the slots.
    double usefulConcurrency = 0;
    double confidence = 0; ///< Between 0 (no evidence) and 1.
};

/// Figures of one run of a target as an instance has observed them itself.
struct SharedFigures
{
    std::uint64_t target = 0;    ///< Hash of the target's id.
    std::uint64_t startedAt = 0; ///< Start of the run in Unix milliseconds.
    double relativeTime = 1;
    /// Opinion of the sender: 0 if it has none, `kUnlimitedConcurrency` if it saw no limit.
    double usefulConcurrency = 0;
    /// Evidence for `relativeTime`: the reciprocal of the variance of its logarithm.
    double weight = 0;
    bool operator==(const SharedFigures &) const = default;
};

/// Value of `SharedFigures::usefulConcurrency` for a target whose work pays off at any load seen.
constexpr double kUnlimitedConcurrency = 4096;

/// One run of a target that is listed.
struct TargetRun
{
    std::string pool;
    std::uint64_t target = 0;    ///< Hash of the target's id.
    std::uint64_t startedAt = 0; ///< Start of the run in Unix milliseconds.
};

/// Change of the steady relative time of a target, for the log.
struct PerformanceChange
{
    std::string pool;
    std::uint64_t target = 0; ///< Hash of the target's id.
    std::uint64_t startedAt = 0;
    double before = 1;
    double relativeTime = 1;
};

/// Parameters of `PerformanceModel`.
struct PerformanceOptions
{
    /// Usual prompt tokens that an engine computes per second. Its error is the same for all
    /// targets and is learned together with the load.
    double prefillRate = 40'000;
    Seconds delayPerRunningRequest{ 0.003 };
    Seconds slotHoldTime{ 0.6 }; ///< Time that a request occupies a slot.
    Seconds minTime{ 0.01 };     ///< Predicted time of a request without work at an idle target.
    /// Time constant of the exponential decay of observed relative times. Targets slow down and
    /// recover within some ten seconds.
    std::chrono::milliseconds decayTime{ 8000 };
    /// The same for times by concurrency, which need more samples and change with the run only.
    std::chrono::milliseconds concurrencyDecayTime{ 60'000 };
    /// The same for the usual times of the pool at this instance.
    std::chrono::milliseconds usualTimeDecayTime{ 20'000 };
    /// Maximum age of the samples of other targets that a sample is compared with. A slow phase of
    /// the instance itself affects all samples of that time.
    std::chrono::milliseconds comparisonAge{ 3000 };
    /// Minimum number of samples of other targets for a comparison.
    std::size_t minComparedSamples = 4;
    /// Smallest difference between targets that counts, in the logarithm of times. Placement can't
    /// make use of smaller ones.
    double minDifference = 0.1;
    /// Standard errors by which the spread of a pool must exceed chance.
    double minPoolErrors = 3;
    /// Standard errors by which a single target must differ from its pool. More than for the pool,
    /// because there are many targets and some times are very long.
    double minTargetErrors = 4;
    /// Number of samples from which a target alone can differ from its pool. With fewer, one very
    /// long time suffices for many standard errors.
    double minSamples = 3;
    /// Maximum weight of the figures of one other instance, so that none determines the result.
    double maxSharedWeight = 40;
    /// Other instances whose figures are remembered per target.
    std::size_t maxSharers = 16;
    std::size_t maxTargets = 2048; ///< Runs that are remembered.
    /// Lower bound of the useful concurrency, as a share of the slots.
    double minUsefulShare = 0.25;
    /// Interval at which figures are computed from the evidence.
    std::chrono::milliseconds refreshInterval{ 200 };
    /// Time for which a difference must last until the steady relative time follows it.
    std::chrono::milliseconds steadyTime{ 3000 };
};

/// Returns the usual time to the first event for the load of `sample`.
Seconds predictedTime(const Sample &sample, const PerformanceOptions &options);

} // namespace chervilfield::performance
