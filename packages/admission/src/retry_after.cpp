#include "admission/retry_after.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Minimum time between two updates of the average; shorter intervals give noisy rates.
constexpr Seconds kMinUpdateInterval{ 0.05 };

} // namespace

void recordCompleted(CompletionRate &rate, std::uint64_t tokens, const RetryAfterOptions &options,
                     TimePoint now)
{
    if (rate.updatedAt == TimePoint{})
        rate.updatedAt = now;
    rate.tokensSinceUpdate += static_cast<double>(tokens);
    const Seconds elapsed = now - rate.updatedAt;
    if (elapsed < kMinUpdateInterval)
        return;
    const double currentRate = rate.tokensSinceUpdate / elapsed.count();
    const double decay = std::exp(-elapsed.count() / Seconds(options.rateTimeConstant).count());
    rate.tokensPerSecond = rate.tokensPerSecond == 0
                                   ? currentRate
                                   : decay * rate.tokensPerSecond + (1 - decay) * currentRate;
    rate.tokensSinceUpdate = 0;
    rate.updatedAt = now;
}

std::chrono::milliseconds retryAfter(const CompletionRate &rate, std::uint64_t excess,
                                     const RetryAfterOptions &options, std::uint64_t requestHash)
{
    constexpr std::uint64_t kJitterSteps = 1024;
    const double jitterFactor = 1
                                + options.maxJitterShare
                                          * static_cast<double>(requestHash % kJitterSteps)
                                          / static_cast<double>(kJitterSteps);
    const double minWait = Seconds(options.minRetryAfter).count();
    const double maxWait = Seconds(options.maxRetryAfter).count();
    const double wait = rate.tokensPerSecond > 0
                                ? static_cast<double>(excess) / rate.tokensPerSecond
                                : (excess > 0 ? maxWait : minWait);
    const Seconds bounded(
            std::clamp(std::clamp(wait, minWait, maxWait) * jitterFactor, minWait, maxWait));
    return std::chrono::ceil<std::chrono::milliseconds>(bounded);
}

std::chrono::seconds retryAfterHeader(std::chrono::milliseconds wait)
{
    return std::max(std::chrono::ceil<std::chrono::seconds>(wait), std::chrono::seconds(1));
}

} // namespace chervilfield::admission
