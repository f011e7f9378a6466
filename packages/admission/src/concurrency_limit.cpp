#include "admission/concurrency_limit.h"

#include <algorithm>

namespace chervilfield::admission {

std::chrono::duration<double> acceptedFirstToken(const LimitSample &sample,
                                                 const ConcurrencyLimitOptions &options)
{
    return sample.predicted * options.tolerance
           + options.allowedDelay[static_cast<std::size_t>(sample.workClass)];
}

void updateLimit(ConcurrencyLimit &limit, const LimitSample &sample,
                 const ConcurrencyLimitOptions &options, TimePoint now)
{
    if (sample.failed || sample.observed > acceptedFirstToken(sample, options)) {
        if (now - limit.decreasedAt < options.decreaseInterval)
            return;
        limit.limit *= sample.failed ? options.failure : options.decrease;
        limit.decreasedAt = now;
    } else if (2 * sample.running >= limit.limit) {
        limit.limit += options.increase / std::max(limit.limit, 1.0);
    }
    limit.limit = std::clamp(limit.limit, options.least, options.most);
}

} // namespace chervilfield::admission
