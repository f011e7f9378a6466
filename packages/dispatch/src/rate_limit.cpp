#include "dispatch/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::dispatch {

using Clock = base::BootClock;

namespace {

using Seconds = std::chrono::duration<double>;

Seconds permitInterval(double requestsPerSecond, std::size_t instances,
                       const RateLimitOptions &options)
{
    const double rate =
            std::max(requestsPerSecond, options.minRequestsPerSecond) * options.usedShare;
    return Seconds(static_cast<double>(std::max<std::size_t>(instances, 1)) / rate);
}

// Returns the begin of the first unused permit that has not expired.
Clock::time_point firstPermit(const RateLimit &limit, Seconds interval, Clock::time_point now,
                              const RateLimitOptions &options)
{
    const auto oldest = now - options.permitLifetime;
    if (limit.nextPermitAt >= oldest)
        return limit.nextPermitAt;
    const double expired = std::ceil(Seconds(oldest - limit.nextPermitAt) / interval);
    return limit.nextPermitAt + std::chrono::duration_cast<Clock::duration>(interval * expired);
}

} // namespace

void stateLimit(RateLimit &limit, double requestsPerSecond, std::size_t instances, double phase,
                Clock::time_point now, const RateLimitOptions &options)
{
    const Seconds interval = permitInterval(requestsPerSecond, instances, options);
    const auto toDuration = [](Seconds time) {
        return std::chrono::duration_cast<Clock::duration>(time);
    };
    if (limit.requestsPerSecond <= 0)
        limit.nextPermitAt = now + toDuration(interval * phase);
    else if (requestsPerSecond > limit.requestsPerSecond)
        limit.nextPermitAt = std::min(limit.nextPermitAt, now + toDuration(interval));
    limit.requestsPerSecond = std::max(requestsPerSecond, options.minRequestsPerSecond);
    limit.statedAt = now;
}

double permittedRate(const RateLimit &limit, std::size_t instances, const RateLimitOptions &options)
{
    return 1 / permitInterval(limit.requestsPerSecond, instances, options).count();
}

Clock::time_point nextSendTime(const RateLimit &limit, std::size_t instances, Clock::time_point now,
                               const RateLimitOptions &options)
{
    if (limit.requestsPerSecond <= 0)
        return now;
    const Seconds interval = permitInterval(limit.requestsPerSecond, instances, options);
    return std::max(now, firstPermit(limit, interval, now, options));
}

void takePermit(RateLimit &limit, std::size_t instances, Clock::time_point now,
                const RateLimitOptions &options)
{
    if (limit.requestsPerSecond <= 0)
        return;
    const Seconds interval = permitInterval(limit.requestsPerSecond, instances, options);
    limit.nextPermitAt = firstPermit(limit, interval, now, options)
                         + std::chrono::duration_cast<Clock::duration>(interval);
}

} // namespace chervilfield::dispatch
