#include "traffic/cache_follower.h"

#include "net/http_server.h"
#include "targets/engine_cache.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <utility>

namespace chervilfield::traffic {

using boost::asio::yield_context;

CacheFollower::CacheFollower(boost::asio::io_context &context, Router &router, Metrics &metrics,
                             EngineSource engines, CacheFollowerOptions options)
    : context_(context), router_(router), metrics_(metrics), engineSource_(std::move(engines)),
      options_(options), client_(context.get_executor(), { .connectTimeout = options.requestTimeout,
                                                           .maxIdlePerAddress = 1 })
{
}

void CacheFollower::run(const yield_context &yield)
{
    boost::asio::steady_timer timer(context_);
    while (!isStopping_ || !polled_.empty()) {
        if (!isStopping_)
            startRound();
        timer.expires_after(options_.pollInterval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

void CacheFollower::startRound()
{
    const std::vector<TargetInfo> engines = engineSource_();
    followed_.clear();
    for (const TargetInfo &engine : engines)
        followed_.insert(engine.id);
    router_.cacheIndex().keepOnly(followed_);
    for (const TargetInfo &engine : engines) {
        if (!polled_.insert(engine.id).second)
            continue;
        net::spawnCoroutine(context_, "[cache]", [this, engine](const yield_context &yield) {
            poll(engine, yield);
            polled_.erase(engine.id);
        });
    }
}

void CacheFollower::poll(const TargetInfo &engine, const yield_context &yield)
{
    const FollowPosition position = router_.cacheIndex().position(engine.id);
    if (!position.nextEvent.has_value() || !pollEvents(engine, *position.nextEvent, yield))
        resynchronise(engine, position, yield);
}

// Returns false if and only if a snapshot is needed. None is needed for an engine that does not
// answer: the next poll reads the same events.
bool CacheFollower::pollEvents(const TargetInfo &engine, std::uint64_t firstNumber,
                               const yield_context &yield)
{
    std::error_code error;
    const auto events = targets::fetchCacheEvents(client_, engine.address, firstNumber,
                                                  options_.requestTimeout, yield, error);
    if (!events.has_value()) {
        VLOG(1) << "[cache] Cannot read the events of " << engine.name << ": " << error.message();
        return true;
    }
    const auto life = router_.cacheIndex().position(engine.id).life;
    if (router_.cacheIndex().applyEvents(engine.id, *events)) {
        metrics_.countCacheEvents(events->events.size());
        return true;
    }
    if (life == events->life) {
        metrics_.countCacheEvents(events->events.size());
        metrics_.countCacheEventGap();
    }
    return false;
}

void CacheFollower::resynchronise(const TargetInfo &engine, const FollowPosition &before,
                                  const yield_context &yield)
{
    std::error_code error;
    const auto snapshot = targets::fetchCacheSnapshot(client_, engine.address,
                                                      options_.requestTimeout, yield, error);
    if (!snapshot.has_value()) {
        VLOG(1) << "[cache] Cannot read the snapshot of " << engine.name << ": " << error.message();
        return;
    }
    // The engine may have been assigned to other daemons in the meantime.
    if (!followed_.empty() && !followed_.contains(engine.id))
        return;
    if (!router_.cacheIndex().applySnapshot(engine.id, before, *snapshot))
        return;
    metrics_.countCacheResynchronisation();
    if (before.life != snapshot->life)
        router_.recordLife(engine.id, snapshot->life);
}

} // namespace chervilfield::traffic
