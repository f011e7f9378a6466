#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <cstddef>

namespace chervilfield::dispatch {

/// Request rate that a target accepts from all instances together, and the place of this instance
/// in its share of it. The share is a series of permits at equal intervals, each for one request.
/// Instances need not agree on anything but their number: at any time, the unused permits of all of
/// them are at most what the limit allows in `RateLimitOptions::permitLifetime`.
struct RateLimit
{
    double requestsPerSecond = 0; ///< 0 if the target states no limit.
    /// When the limit was last stated, by the target or by another instance.
    base::BootClock::time_point statedAt{};
    base::BootClock::time_point nextPermitAt{}; ///< Begin of the next unused permit.
};

/// Parameters of the share of one instance.
struct RateLimitOptions
{
    /// Share of the limit that the instances use. The rest is for requests of instances that do not
    /// know the limit yet, and for permits of several instances at the same time.
    double usedShare = 0.9;
    /// Time for which an unused permit can be used. It bounds the requests that arrive at once
    /// after a pause.
    std::chrono::milliseconds permitLifetime{ 1000 };
    /// Lower bound of the limit. Without any request, its end would not be noticed.
    double minRequestsPerSecond = 0.1;
};

/// Records a limit that was stated at `now`. `phase`, from 0 to 1, places the first permit within
/// the interval; it should be random, so that the permits of the instances are spread evenly.
void stateLimit(RateLimit &limit, double requestsPerSecond, std::size_t instances, double phase,
                base::BootClock::time_point now, const RateLimitOptions &options = {});

/// Returns the requests per second that this instance may send.
double permittedRate(const RateLimit &limit, std::size_t instances,
                     const RateLimitOptions &options = {});

/// Returns the time from which this instance may send the next request, at least `now`.
base::BootClock::time_point nextSendTime(const RateLimit &limit, std::size_t instances,
                                         base::BootClock::time_point now,
                                         const RateLimitOptions &options = {});

/// Uses up the next permit.
void takePermit(RateLimit &limit, std::size_t instances, base::BootClock::time_point now,
                const RateLimitOptions &options = {});

} // namespace chervilfield::dispatch
