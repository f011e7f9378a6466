#include "scheduling/return_schedule.h"

#include "base/hash.h"
#include "internal/values.h"

#include <algorithm>

namespace chervilfield::scheduling {

using detail::atLeastZero;
using detail::boundedWork;
using std::chrono::milliseconds;

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

admission::TimePoint toAdmissionTime(Time time)
{
    return admission::TimePoint(time.time_since_epoch());
}

std::uint64_t toMicroseconds(Seconds time)
{
    return static_cast<std::uint64_t>(boundedWork(time).count() * kMicrosecondsPerSecond);
}

// Returns a value in [0, 1) that differs between the requests of all instances.
double jitterOf(const ScheduledRequest &request)
{
    constexpr std::uint64_t kSteps = 1024;
    const auto time = static_cast<std::uint64_t>(request.arrivedAt.time_since_epoch().count());
    return static_cast<double>(base::combineHash(request.id, time) % kSteps)
           / static_cast<double>(kSteps);
}

// Maps waits to [0, max) and keeps their order: those up to `start` stay, later ones approach
// `max`.
Seconds compress(Seconds wait, Seconds start, Seconds max)
{
    if (wait <= start || max <= start)
        return std::min(wait, max);
    // Hyperbolic, so that waits far beyond the maximum still differ.
    const Seconds range = max - start;
    const double excess = (wait - start) / range;
    return start + range * (excess / (1 + excess));
}

} // namespace

void ReturnSchedule::recordCompleted(Seconds slotTime, Time now)
{
    admission::recordCompleted(rate_, toMicroseconds(slotTime), options_.retryAfter,
                               toAdmissionTime(now));
}

Seconds ReturnSchedule::promisedWork(int level, Time now)
{
    Seconds result{ 0 };
    for (int i = 0; i <= level; ++i) {
        auto &promises = promises_.at(static_cast<std::size_t>(i));
        std::erase_if(promises, [now](const Promise &p) { return p.returnAt <= now; });
        for (const Promise &promise : promises)
            result += promise.work;
    }
    return result;
}

milliseconds ReturnSchedule::retryAfter(const ScheduledRequest &request, Seconds workBefore,
                                        const PoolCapacity &capacity, Time now)
{
    const int level = engineUrgency(request);
    admission::CompletionRate rate = rate_;
    if (rate.tokensPerSecond <= 0)
        rate.tokensPerSecond = atLeastZero(capacity.slots)
                               / std::max(1.0, atLeastZero(capacity.instances))
                               * kMicrosecondsPerSecond;
    const Seconds work = boundedWork(request.expectedWork);
    const Seconds before = boundedWork(workBefore) + promisedWork(level, now);
    const Seconds wait = admission::retryAfter(
            rate, toMicroseconds(before + work * jitterOf(request)), options_.retryAfter, 0);
    const Seconds max =
            std::max(Seconds(0), Seconds(request.deadline - now)) * options_.maxTimeLeftShare;
    const Seconds stated = compress(wait, max * options_.compressionStart, max);
    auto &promises = promises_.at(static_cast<std::size_t>(level));
    if (promises.size() < options_.maxPromises)
        promises.push_back({ now + std::chrono::duration_cast<Time::duration>(stated), work });
    return std::chrono::floor<milliseconds>(stated);
}

} // namespace chervilfield::scheduling
