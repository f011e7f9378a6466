#pragma once

#include <chrono>
#include <optional>

namespace chervilfield::streams {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Delays that the router's cost model predicts for an attempt.
struct ProgressExpectation
{
    std::chrono::microseconds firstTokenDelay{ 0 }; ///< Time from dispatch to the first token.
    std::chrono::microseconds interTokenDelay{ 0 }; ///< Time between two tokens.
};

/// Tolerance of the watchdog. The timeout for a token is `toleranceFactor` times the expected
/// delay, clamped to the minimum and maximum.
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
    /// Time of the dispatch or of the last token, moved forward by the length of each suspension.
    SteadyTime waitingSince;
    bool hasToken = false;
    std::optional<SteadyTime> suspendedAt; ///< Set while no tokens are read from the engine.
};

/// Whether an attempt meets its deadline, and which token it waits for if not.
enum class ProgressStatus { OnTime, FirstTokenLate, NextTokenLate };

/// Returns the progress of an attempt that is dispatched at `now`.
Progress startProgress(SteadyTime now);

/// Records that a token arrived at `now`. The wait for the next one starts.
void recordToken(Progress &progress, SteadyTime now);

/// Suspends the watchdog while the caller is too slow to take tokens, which is not the engine's
/// fault.
void suspendProgress(Progress &progress, SteadyTime now);

/// Resumes the watchdog. The time of the suspension does not count as delay.
void resumeProgress(Progress &progress, SteadyTime now);

/// Returns the time at which the attempt becomes late, or no value while the watchdog is suspended.
/// Set a timer for it and call `checkProgress` when it expires.
std::optional<SteadyTime> progressDeadline(const Progress &progress,
                                           const ProgressExpectation &expectation,
                                           const WatchdogOptions &options);

/// Returns whether the attempt is late at `now`.
ProgressStatus checkProgress(const Progress &progress, const ProgressExpectation &expectation,
                             const WatchdogOptions &options, SteadyTime now);

} // namespace chervilfield::streams
