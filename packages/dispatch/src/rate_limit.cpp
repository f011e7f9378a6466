#include "dispatch/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::dispatch {

using Clock = base::BootClock;

namespace {

using Seconds = std::chrono::duration<double>;

Seconds permitInterval(double requestsPerSecond, const InstanceShare &share,
                       const RateLimitOptions &options)
{
    return Seconds(static_cast<double>(share.instances)
                   / std::max(requestsPerSecond, options.minRequestsPerSecond));
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

void stateLimit(RateLimit &limit, double requestsPerSecond, const InstanceShare &share,
                Clock::time_point now, const RateLimitOptions &options)
{
    const Seconds interval = permitInterval(requestsPerSecond, share, options);
    const auto toDuration = [](Seconds time) {
        return std::chrono::duration_cast<Clock::duration>(time);
    };
    const double phase = static_cast<double>(share.index) / static_cast<double>(share.instances);
    if (limit.requestsPerSecond <= 0)
        limit.nextPermitAt = now + toDuration(interval * phase);
    else if (requestsPerSecond > limit.requestsPerSecond)
        limit.nextPermitAt = std::min(limit.nextPermitAt, now + toDuration(interval));
    limit.requestsPerSecond = std::max(requestsPerSecond, options.minRequestsPerSecond);
    limit.statedAt = now;
}

double permittedRate(const RateLimit &limit, const InstanceShare &share,
                     const RateLimitOptions &options)
{
    return 1 / permitInterval(limit.requestsPerSecond, share, options).count();
}

Clock::time_point nextSendTime(const RateLimit &limit, const InstanceShare &share,
                               Clock::time_point now, const RateLimitOptions &options)
{
    if (limit.requestsPerSecond <= 0)
        return now;
    const Seconds interval = permitInterval(limit.requestsPerSecond, share, options);
    return std::max(now, firstPermit(limit, interval, now, options));
}

void takePermit(RateLimit &limit, const InstanceShare &share, Clock::time_point now,
                const RateLimitOptions &options)
{
    if (limit.requestsPerSecond <= 0)
        return;
    const Seconds interval = permitInterval(limit.requestsPerSecond, share, options);
    limit.nextPermitAt = firstPermit(limit, interval, now, options)
                         + std::chrono::duration_cast<Clock::duration>(interval);
}

} // namespace chervilfield::dispatch
