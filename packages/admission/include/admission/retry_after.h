#pragma once

#include "admission/types.h"

namespace chervilfield::admission {

/// Options of the estimate of the time after which a refused caller may retry.
struct RetryAfterOptions
{
    std::chrono::milliseconds minRetryAfter{ 100 };
    std::chrono::milliseconds maxRetryAfter{ 30'000 };
    /// Time constant of the averaged completion rate.
    std::chrono::milliseconds rateTimeConstant{ 2'000 };
    /// Maximum random extension as a share of the wait, so that refused callers do not all return
    /// at once.
    double maxJitterShare = 0.5;
};

/// Rate at which admitted work ends, as an exponentially weighted average.
struct CompletionRate
{
    double tokensPerSecond = 0;
    double tokensSinceUpdate = 0; ///< Completed tokens that the average does not include yet.
    TimePoint updatedAt{};
};

/// Records that `tokens` of work have ended.
void recordCompleted(CompletionRate &rate, std::uint64_t tokens, const RetryAfterOptions &options,
                     TimePoint now);

/// Returns the time after which `excess` tokens of work are expected to have ended, extended by
/// jitter that `requestHash` selects. It lies between `minRetryAfter` and `maxRetryAfter`.
std::chrono::milliseconds retryAfter(const CompletionRate &rate, std::uint64_t excess,
                                     const RetryAfterOptions &options, std::uint64_t requestHash);

/// Returns the value of the `Retry-After` header: whole seconds, rounded up, at least 1.
std::chrono::seconds retryAfterHeader(std::chrono::milliseconds wait);

} // namespace chervilfield::admission
