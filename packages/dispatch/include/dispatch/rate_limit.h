#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <cstddef>

namespace chervilfield::dispatch {

/// The instances that share the limits of the targets.
struct InstanceShare
{
    std::size_t instances = 1; ///< Number of instances, at least 1.
    std::size_t index = 0;     ///< Position of this instance in their order.
    /// Number of instances with those that do not respond, at least 1. An instance that is cut off
    /// takes all others for dead, although they serve requests.
    std::size_t knownInstances = 1;
};

/// Request rate that a target accepts from all instances together, and the place of this instance
/// in its share of it. The share is a series of permits at equal intervals, each for one request.
/// The permits of instances that learn of the limit at the same time alternate in the order of the
/// instances. At any time, the unused permits of all of them are at most what the limit allows in
/// `RateLimitOptions::permitLifetime`.
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
    /// Time for which an unused permit can be used. It bounds the requests that arrive at once
    /// after a pause.
    std::chrono::milliseconds permitLifetime{ 1000 };
    /// Lower bound of the limit. Without any request, its end would not be noticed.
    double minRequestsPerSecond = 0.1;
};

/// Records a limit that was stated at `now`.
void stateLimit(RateLimit &limit, double requestsPerSecond, const InstanceShare &share,
                base::BootClock::time_point now, const RateLimitOptions &options = {});

/// Returns the requests per second that this instance may send.
double permittedRate(const RateLimit &limit, const InstanceShare &share,
                     const RateLimitOptions &options = {});

/// Returns the time from which this instance may send the next request, at least `now`.
base::BootClock::time_point nextSendTime(const RateLimit &limit, const InstanceShare &share,
                                         base::BootClock::time_point now,
                                         const RateLimitOptions &options = {});

/// Uses up the next permit.
void takePermit(RateLimit &limit, const InstanceShare &share, base::BootClock::time_point now,
                const RateLimitOptions &options = {});

} // namespace chervilfield::dispatch
