#include "admission/concurrency_limit.h"

#include <algorithm>

namespace chervilfield::admission {

void updateLimit(ConcurrencyLimit &limit, const LimitSample &sample,
                 const ConcurrencyLimitOptions &options, TimePoint now)
{
    if (sample.failed || sample.ratio > options.tolerance) {
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
