#include "streams/watchdog.h"

#include <algorithm>

namespace chervilfield::streams {

namespace {

using std::chrono::microseconds;

/// Returns `factor` times `expected`, clamped to the two limits.
microseconds boundedTimeout(microseconds expected, double factor, microseconds minTimeout,
                            microseconds maxTimeout)
{
    const double scaled = factor * static_cast<double>(expected.count());
    // The limit is applied before the conversion, which would overflow for a huge estimate.
    if (scaled >= static_cast<double>(maxTimeout.count()))
        return maxTimeout;
    return std::max(minTimeout, microseconds(static_cast<microseconds::rep>(scaled)));
}

} // namespace

Progress startProgress(SteadyTime now)
{
    return { .waitingSince = now, .hasToken = false, .suspendedAt = std::nullopt };
}

void recordToken(Progress &progress, SteadyTime now)
{
    progress.waitingSince = now;
    progress.hasToken = true;
    if (progress.suspendedAt)
        progress.suspendedAt = now;
}

void suspendProgress(Progress &progress, SteadyTime now)
{
    if (!progress.suspendedAt)
        progress.suspendedAt = now;
}

void resumeProgress(Progress &progress, SteadyTime now)
{
    if (!progress.suspendedAt)
        return;
    progress.waitingSince += now - *progress.suspendedAt;
    progress.suspendedAt.reset();
}

std::optional<SteadyTime> progressDeadline(const Progress &progress,
                                           const ProgressExpectation &expectation,
                                           const WatchdogOptions &options)
{
    if (progress.suspendedAt)
        return std::nullopt;
    if (progress.hasToken) {
        return progress.waitingSince
               + boundedTimeout(expectation.interTokenDelay, options.toleranceFactor,
                                options.minInterTokenTimeout, options.maxInterTokenTimeout);
    }
    return progress.waitingSince
           + boundedTimeout(expectation.firstTokenDelay, options.toleranceFactor,
                            options.minFirstTokenTimeout, options.maxFirstTokenTimeout);
}

ProgressStatus checkProgress(const Progress &progress, const ProgressExpectation &expectation,
                             const WatchdogOptions &options, SteadyTime now)
{
    const std::optional<SteadyTime> deadline = progressDeadline(progress, expectation, options);
    if (!deadline || now < *deadline)
        return ProgressStatus::OnTime;
    return progress.hasToken ? ProgressStatus::NextTokenLate : ProgressStatus::FirstTokenLate;
}

} // namespace chervilfield::streams
