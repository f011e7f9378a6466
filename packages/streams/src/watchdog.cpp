#include "streams/watchdog.h"

#include <algorithm>

namespace chervilfield::streams {

namespace {

using std::chrono::microseconds;

microseconds tolerated(microseconds expected, double factor, microseconds least, microseconds most)
{
    const double scaled = factor * static_cast<double>(expected.count());
    // Compared before the conversion: a huge estimate would overflow the integer.
    if (scaled >= static_cast<double>(most.count()))
        return most;
    return std::max(least, microseconds(static_cast<microseconds::rep>(scaled)));
}

} // namespace

Progress startProgress(SteadyTime now)
{
    return { .since = now, .hasToken = false, .suspended = std::nullopt };
}

void recordToken(Progress &progress, SteadyTime now)
{
    progress.since = now;
    progress.hasToken = true;
    if (progress.suspended)
        progress.suspended = now;
}

void suspend(Progress &progress, SteadyTime now)
{
    if (!progress.suspended)
        progress.suspended = now;
}

void unsuspend(Progress &progress, SteadyTime now)
{
    if (!progress.suspended)
        return;
    progress.since += now - *progress.suspended;
    progress.suspended.reset();
}

std::optional<SteadyTime> progressDeadline(const Progress &progress,
                                           const ProgressExpectation &expectation,
                                           const WatchdogOptions &options)
{
    if (progress.suspended)
        return std::nullopt;
    if (progress.hasToken) {
        return progress.since
               + tolerated(expectation.interToken, options.factor, options.minInterToken,
                           options.maxInterToken);
    }
    return progress.since
           + tolerated(expectation.firstToken, options.factor, options.minFirstToken,
                       options.maxFirstToken);
}

ProgressVerdict judge(const Progress &progress, const ProgressExpectation &expectation,
                      const WatchdogOptions &options, SteadyTime now)
{
    const std::optional<SteadyTime> deadline = progressDeadline(progress, expectation, options);
    if (!deadline || now < *deadline)
        return ProgressVerdict::OnTime;
    return progress.hasToken ? ProgressVerdict::NextTokenLate : ProgressVerdict::FirstTokenLate;
}

} // namespace chervilfield::streams
