#include "traffic/router.h"

#include "prefix/chain.h"

#include <algorithm>

namespace chervilfield::traffic {

using routing::Time;

namespace {

std::uint32_t listedBlocks(const std::vector<routing::Holder> &holders, routing::TargetId target,
                           std::uint64_t life)
{
    for (const routing::Holder &holder : holders) {
        if (holder.target == target && holder.life == life)
            return holder.blocks;
    }
    return 0;
}

// Returns a copy of `request` with the expected holders. `holders` must outlive the result.
routing::Request withHolders(const routing::Request &request, const PrefixHolders &holders)
{
    routing::Request result = request;
    result.holders = holders.expected;
    return result;
}

} // namespace

Router::Router(RouterOptions options) : options_(std::move(options)), random_(options_.seed) {}

std::vector<routing::Target> Router::describeTargets(const RouteTargets &targets, Time now)
{
    std::vector<routing::Target> result;
    result.reserve(targets.targets.size());
    const std::vector<double> slowness = health_.slowness(targets);
    for (const TargetInfo &info : targets.targets) {
        routing::Target target{ .id = info.id,
                                .prefillRate = static_cast<double>(targets.pool->prefillRate),
                                .slots = targets.pool->batchSlots,
                                .slowness = slowness[result.size()] };
        if (info.dataCentre != options_.dataCentre)
            target.path = options_.otherDataCentrePath;
        target.accepting = !drainingTargets_.contains(info.id);
        if (const auto known = targets_.find(info.id); known != targets_.end()) {
            target.life = known->second.life;
            target.accepting = target.accepting && now >= known->second.coolDownUntil;
        }
        result.push_back(target);
    }
    return result;
}

std::optional<Placement> Router::place(const routing::Request &request, const RouteTargets &targets,
                                       std::error_code &error)
{
    const Time now = std::chrono::steady_clock::now();
    const PrefixHolders holders = cacheIndex_.holders(request.chain);
    const routing::Request requestWithHolders = withHolders(request, holders);
    const std::lock_guard lock(mutex_);
    const auto routingTargets = describeTargets(targets, now);
    const routing::Decision decision = routing::decide(requestWithHolders, routingTargets, state_,
                                                       options_.decision, now, random_);
    if (decision.code != base::Result::Ok) {
        error = decision.code;
        return std::nullopt;
    }
    const std::uint32_t index = decision.choice().index;
    return Placement{ .target = targets.targets[index],
                      .sent = routing::startRequest(state_, requestWithHolders, routingTargets,
                                                    decision, options_.decision, now),
                      .life = routingTargets[index].life,
                      .pool = targets.pool->name,
                      .job = nextJob_++,
                      .start = now,
                      .listedBlocks = listedBlocks(holders.listed, targets.targets[index].id,
                                                   routingTargets[index].life) };
}

routing::Decision Router::explain(const routing::Request &request, const RouteTargets &targets)
{
    const Time now = std::chrono::steady_clock::now();
    const PrefixHolders holders = cacheIndex_.holders(request.chain);
    const routing::Request requestWithHolders = withHolders(request, holders);
    const std::lock_guard lock(mutex_);
    return routing::decide(requestWithHolders, describeTargets(targets, now), state_,
                           options_.decision, now, random_);
}

void Router::recordFirstToken(Placement &placement)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    // Shorter predictions are dominated by costs that the model leaves out.
    constexpr microseconds kMinPrediction{ 5000 };
    const Time now = std::chrono::steady_clock::now();
    const auto predicted = duration_cast<microseconds>(placement.sent.predictedFirstToken);
    const std::lock_guard lock(mutex_);
    routing::markFirstToken(state_, placement.sent);
    health_.recordFirstToken(placement.pool, placement.target.id,
                             { .job = placement.job,
                               .observed = duration_cast<microseconds>(now - placement.start),
                               .predicted = std::max(predicted, kMinPrediction) },
                             now);
}

void Router::recordInterToken(const Placement &placement, std::chrono::microseconds perToken)
{
    const auto expected =
            std::chrono::duration_cast<std::chrono::microseconds>(options_.decision.tokenTime);
    const std::lock_guard lock(mutex_);
    health_.recordInterToken(placement.pool, placement.target.id,
                             { .job = placement.job, .observed = perToken, .predicted = expected },
                             std::chrono::steady_clock::now());
}

void Router::endPlacement(const Placement &placement, std::optional<std::uint32_t> cachedTokens)
{
    if (cachedTokens.has_value()) {
        cacheIndex_.recordHit({ .target = placement.target.id,
                                .life = placement.life,
                                .blocks = placement.listedBlocks },
                              *cachedTokens / static_cast<std::uint32_t>(prefix::kBlockTokens));
    }
    const std::lock_guard lock(mutex_);
    routing::endRequest(state_, placement.sent, cachedTokens);
}

void Router::recordRefusedConnection(routing::TargetId target)
{
    const Time now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    TargetState &state = targets_[target];
    if (now < state.coolDownUntil)
        return;
    state.coolDown = std::clamp(state.coolDown * 2, options_.initialCoolDown, options_.maxCoolDown);
    state.coolDownUntil = now + state.coolDown;
}

void Router::recordLife(routing::TargetId target, std::uint64_t life)
{
    if (!isCurrentLife(target, life)) {
        // The index must know the life before it is used, so that it accepts no more snapshots of
        // the old life.
        cacheIndex_.recordLife(target, life);
    }
    const std::lock_guard lock(mutex_);
    TargetState &state = targets_[target];
    state.coolDown = std::chrono::milliseconds::zero();
    state.coolDownUntil = Time();
    if (state.life == life)
        return;
    if (state.life != 0)
        routing::forgetTarget(state_.load, target);
    state.life = life;
}

bool Router::isCurrentLife(routing::TargetId target, std::uint64_t life) const
{
    const std::lock_guard lock(mutex_);
    const auto known = targets_.find(target);
    return known != targets_.end() && known->second.life == life;
}

void Router::setDrainingTargets(std::unordered_set<routing::TargetId> targets)
{
    const std::lock_guard lock(mutex_);
    drainingTargets_ = std::move(targets);
}

std::vector<TargetWork> Router::ownWork() const
{
    std::vector<TargetWork> result;
    const std::lock_guard lock(mutex_);
    for (const routing::DigestEntry &entry : routing::ownDigest(state_.load))
        result.push_back(toTargetWork(entry));
    return result;
}

std::vector<routing::PlacementHint> Router::takeHints(std::size_t limit)
{
    const std::lock_guard lock(mutex_);
    return routing::takeHints(state_.placements, limit);
}

void Router::mergeHints(std::span<const routing::PlacementHint> hints)
{
    const std::lock_guard lock(mutex_);
    routing::mergeHints(state_.placements, hints, std::chrono::steady_clock::now());
}

void Router::setOthersWork(const std::vector<TargetWork> &work)
{
    // The exchange reports the sum over the other daemons, so they count as one peer.
    constexpr std::uint64_t kOtherDaemonsPeer = 1;
    std::vector<routing::DigestEntry> digest;
    digest.reserve(work.size());
    for (const TargetWork &entry : work)
        digest.push_back(toDigestEntry(entry));
    const std::lock_guard lock(mutex_);
    routing::mergeDigest(state_.load, kOtherDaemonsPeer, digest, std::chrono::steady_clock::now());
}

} // namespace chervilfield::traffic
