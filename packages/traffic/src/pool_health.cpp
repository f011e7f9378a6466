#include "traffic/pool_health.h"

#include <algorithm>

namespace chervilfield::traffic {

// Returns the entry of the pool. If its targets have changed, keeps the health of those that
// remain.
PoolHealth::Pool &PoolHealth::updateTargets(const RouteTargets &targets)
{
    Pool &pool = pools_[targets.pool->name];
    if (std::ranges::equal(pool.ids, targets.targets, {}, {}, &TargetInfo::id))
        return pool;
    Pool next;
    for (const TargetInfo &info : targets.targets) {
        const auto known = std::ranges::find(pool.ids, info.id);
        next.ids.push_back(info.id);
        next.health.push_back(
                known == pool.ids.end()
                        ? routing::TargetHealth()
                        : pool.health[static_cast<std::size_t>(known - pool.ids.begin())]);
    }
    pool = std::move(next);
    return pool;
}

std::vector<double> PoolHealth::slowness(const RouteTargets &targets)
{
    const Pool &pool = updateTargets(targets);
    std::vector<double> result;
    result.reserve(pool.health.size());
    for (const routing::TargetHealth &health : pool.health)
        result.push_back(std::max(1.0, health.slowness));
    return result;
}

void PoolHealth::recordFirstToken(const std::string &pool, routing::TargetId target,
                                  const routing::JobTimes &times, routing::TimePoint now)
{
    record(routing::recordFirstToken, pool, target, times, now);
}

void PoolHealth::recordInterToken(const std::string &pool, routing::TargetId target,
                                  const routing::JobTimes &times, routing::TimePoint now)
{
    record(routing::recordInterToken, pool, target, times, now);
}

void PoolHealth::record(RecordFunction function, const std::string &pool, routing::TargetId target,
                        const routing::JobTimes &times, routing::TimePoint now)
{
    const auto found = pools_.find(pool);
    if (found == pools_.end())
        return;
    Pool &entry = found->second;
    const auto position = std::ranges::find(entry.ids, target);
    if (position == entry.ids.end())
        return;
    function(entry.health[static_cast<std::size_t>(position - entry.ids.begin())], times, now);
    routing::updateHealth(entry.health, options_, now);
}

} // namespace chervilfield::traffic
