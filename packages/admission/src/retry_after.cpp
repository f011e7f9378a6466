#include "admission/retry_after.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Drained work is folded into the average at most this often; shorter intervals give noisy rates.
constexpr Seconds kFoldInterval{ 0.05 };

} // namespace

void recordCompleted(CompletionRate &rate, std::uint64_t tokens, const RetryAfterOptions &options,
                     TimePoint now)
{
    if (rate.updatedAt == TimePoint{})
        rate.updatedAt = now;
    rate.tokensSinceUpdate += static_cast<double>(tokens);
    const Seconds passed = now - rate.updatedAt;
    if (passed < kFoldInterval)
        return;
    const double current = rate.tokensSinceUpdate / passed.count();
    const double keep = std::exp(-passed.count() / Seconds(options.rateTimeConstant).count());
    rate.tokensPerSecond = rate.tokensPerSecond == 0
                                   ? current
                                   : keep * rate.tokensPerSecond + (1 - keep) * current;
    rate.tokensSinceUpdate = 0;
    rate.updatedAt = now;
}

std::chrono::milliseconds retryAfter(const CompletionRate &rate, std::uint64_t excess,
                                     const RetryAfterOptions &options, std::uint64_t random)
{
    constexpr std::uint64_t kSteps = 1024;
    const double extension = 1
                             + options.maxJitterShare * static_cast<double>(random % kSteps)
                                       / static_cast<double>(kSteps);
    const double least = Seconds(options.minRetryAfter).count();
    const double most = Seconds(options.maxRetryAfter).count();
    const double wait = rate.tokensPerSecond > 0
                                ? static_cast<double>(excess) / rate.tokensPerSecond
                                : (excess > 0 ? most : least);
    const Seconds bounded(std::clamp(std::clamp(wait, least, most) * extension, least, most));
    return std::chrono::ceil<std::chrono::milliseconds>(bounded);
}

std::chrono::seconds retryAfterHeader(std::chrono::milliseconds wait)
{
    return std::max(std::chrono::ceil<std::chrono::seconds>(wait), std::chrono::seconds(1));
}

} // namespace chervilfield::admission
