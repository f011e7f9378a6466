#pragma once

#include "admission/types.h"

namespace chervilfield::admission {

struct RetryAfterOptions
{
    std::chrono::milliseconds least{ 100 };
    std::chrono::milliseconds most{ 30'000 };
    std::chrono::milliseconds rateMemory{ 2'000 }; ///< Time over which the drain rate is averaged.
    double spread =
            0.5; ///< Greatest random extension, so that refused callers do not return at once.
};

/// Rate at which admitted work ends, as an exponentially weighted average.
struct DrainRate
{
    double tokensPerSecond = 0;
    double sinceLast = 0;
    TimePoint updatedAt{};
};

/// Notes that `tokens` of work ended.
void recordDrained(DrainRate &rate, std::uint64_t tokens, const RetryAfterOptions &options,
                   TimePoint now);

/// Returns the time after which `wanted` tokens are expected to be free, if `excess` tokens must
/// end first. `random` is any hash of the request; it spreads callers over the spread interval.
std::chrono::milliseconds retryAfter(const DrainRate &rate, std::uint64_t excess,
                                     const RetryAfterOptions &options, std::uint64_t random);

/// Returns the value of the `Retry-After` header: whole seconds, rounded up, at least 1.
std::chrono::seconds retryAfterHeader(std::chrono::milliseconds wait);

} // namespace chervilfield::admission
