#include "base/hybrid_clock.h"

#include <algorithm>

namespace chervilfield::base {

namespace {

std::int64_t toMilliseconds(std::chrono::system_clock::time_point now)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return duration_cast<milliseconds>(now.time_since_epoch()).count();
}

} // namespace

HybridTime advance(HybridTime last, std::chrono::system_clock::time_point now)
{
    const std::int64_t wallMs = toMilliseconds(now);
    if (wallMs > last.wallMs)
        return { wallMs, 0 };
    return { last.wallMs, last.counter + 1 };
}

HybridTime merge(HybridTime last, HybridTime remote, std::chrono::system_clock::time_point now)
{
    return advance(std::max(last, remote), now);
}

HybridTime HybridClock::tick()
{
    const std::lock_guard lock(mutex_);
    last_ = advance(last_, std::chrono::system_clock::now());
    return last_;
}

HybridTime HybridClock::observe(HybridTime remote)
{
    const std::lock_guard lock(mutex_);
    last_ = merge(last_, remote, std::chrono::system_clock::now());
    return last_;
}

} // namespace chervilfield::base
