#include "admission/concurrency_limit.h"

#include <algorithm>

namespace chervilfield::admission {

std::chrono::duration<double> maxFirstTokenTime(const LimitSample &sample,
                                                const ConcurrencyLimitOptions &options)
{
    return sample.predictedFirstToken * options.latencyTolerance
           + options.allowedDelay[static_cast<std::size_t>(sample.workClass)];
}

void updateLimit(ConcurrencyLimit &limit, const LimitSample &sample,
                 const ConcurrencyLimitOptions &options, TimePoint now)
{
    if (sample.hasFailed || sample.observedFirstToken > maxFirstTokenTime(sample, options)) {
        if (now - limit.lastDecreaseAt < options.minDecreaseInterval)
            return;
        limit.limit *= sample.hasFailed ? options.failureDecreaseFactor : options.decreaseFactor;
        limit.lastDecreaseAt = now;
    } else if (2 * sample.running >= limit.limit) {
        limit.limit += options.additiveIncrease / std::max(limit.limit, 1.0);
    }
    limit.limit = std::clamp(limit.limit, options.minLimit, options.maxLimit);
}

} // namespace chervilfield::admission
