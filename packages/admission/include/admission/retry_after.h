#pragma once

#include "admission/types.h"

namespace chervilfield::admission {

struct RetryAfterOptions
{
    std::chrono::milliseconds minRetryAfter{ 100 };
    std::chrono::milliseconds maxRetryAfter{ 30'000 };
    std::chrono::milliseconds rateTimeConstant{
        2'000
    }; ///< Time over which the drain rate is averaged.
    double maxJitterShare =
            0.5; ///< Greatest random extension, so that refused callers do not return at once.
};

/// Rate at which admitted work ends, as an exponentially weighted average.
struct CompletionRate
{
    double tokensPerSecond = 0;
    double tokensSinceUpdate = 0;
    TimePoint updatedAt{};
};

/// Notes that `tokens` of work ended.
void recordCompleted(CompletionRate &rate, std::uint64_t tokens, const RetryAfterOptions &options,
                     TimePoint now);

/// Returns the time after which `wanted` tokens are expected to be free, if `excess` tokens must
/// end first. `random` is any hash of the request; it spreads callers over the spread interval.
std::chrono::milliseconds retryAfter(const CompletionRate &rate, std::uint64_t excess,
                                     const RetryAfterOptions &options, std::uint64_t random);

/// Returns the value of the `Retry-After` header: whole seconds, rounded up, at least 1.
std::chrono::seconds retryAfterHeader(std::chrono::milliseconds wait);

} // namespace chervilfield::admission
