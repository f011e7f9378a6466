#pragma once

#include <chrono>
#include <optional>

namespace chervilfield::streams {

using SteadyTime = std::chrono::steady_clock::time_point;

/// What the router expects of an attempt, from its cost model.
struct ProgressExpectation
{
    std::chrono::microseconds firstTokenDelay{ 0 }; ///< From dispatch to the first token.
    std::chrono::microseconds interTokenDelay{ 0 }; ///< Between two tokens.
};

/// Tolerance of the watchdog. A deadline is `toleranceFactor` times the expectation, within the
/// bounds.
struct WatchdogOptions
{
    double toleranceFactor = 4.0;
    std::chrono::milliseconds minFirstTokenTimeout{ 500 };
    std::chrono::milliseconds maxFirstTokenTimeout{ 60'000 };
    std::chrono::milliseconds minInterTokenTimeout{ 400 };
    std::chrono::milliseconds maxInterTokenTimeout{ 5'000 };
};

/// Progress of one attempt.
struct Progress
{
    SteadyTime waitingSince; ///< Dispatch, last token or end of the last suspension, whichever was
                             ///< last.
    bool hasToken = false;
    std::optional<SteadyTime> suspendedAt; ///< Set while tokens are not read from the engine.
};

enum class ProgressStatus { OnTime, FirstTokenLate, NextTokenLate };

/// Starts the watch of an attempt that is dispatched at `now`.
Progress startProgress(SteadyTime now);

/// Records a token.
void recordToken(Progress &progress, SteadyTime now);

/// Stops the watch while the caller is too slow to take tokens: the engine is not to blame.
void suspendProgress(Progress &progress, SteadyTime now);

/// Continues the watch. The time of the suspension does not count.
void resumeProgress(Progress &progress, SteadyTime now);

/// Returns the time at which the attempt is late, or nothing while the watchdog is suspended. Set a
/// timer for it and ask `checkProgress` when it expires.
std::optional<SteadyTime> progressDeadline(const Progress &progress,
                                           const ProgressExpectation &expectation,
                                           const WatchdogOptions &options);

/// Returns whether the attempt is late at `now`.
ProgressStatus checkProgress(const Progress &progress, const ProgressExpectation &expectation,
                             const WatchdogOptions &options, SteadyTime now);

} // namespace chervilfield::streams
