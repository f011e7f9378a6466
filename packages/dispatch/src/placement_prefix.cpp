// Where the prefix of a prompt is cached or expected, and what is remembered of placements.

#include "dispatch/placement.h"

#include "base/hash.h"
#include "internal/candidate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilfield::dispatch {

using detail::prefixTokens;
using detail::sharedPartCount;

namespace {

// Returns the number of parts whose hash determines the rendezvous home of the prompt: the shared
// parts up to the deepest one that has at least `kMinShare` of the tokens up to its end. So prompts
// that share only a short first part have different homes, and the parts before the deepest one are
// computed again for at most 1 / `kMinShare` - 1 times the tokens of that part.
std::size_t homePartCount(const PlacementRequest &request)
{
    constexpr double kMinShare = 1.0 / 3;
    std::size_t count = sharedPartCount(request);
    while (count > 1 && request.parts[count - 1].tokens < kMinShare * prefixTokens(request, count))
        --count;
    return count;
}

} // namespace

std::uint64_t prefixHash(const PlacementRequest &request, std::size_t count, std::uint64_t weights)
{
    std::uint64_t hash = base::hash64(request.cacheScope, weights);
    hash = base::hash64(request.model, hash);
    for (std::size_t i = 0; i < count && i < request.parts.size(); ++i)
        hash = base::hash64(request.parts[i].id, hash);
    return hash;
}

const fleet::Target *Placer::findLiveHolder(const Holder &holder, const fleet::View &view,
                                            Time now) const
{
    if (holder.target == 0 || now - holder.usedAt > options_.cacheLifetime)
        return nullptr;
    const fleet::Target *target = view.findTarget(holder.target);
    return target != nullptr && target->startedAt == holder.startedAt ? target : nullptr;
}

// Finds the longest prefix that the candidate caches, or a target to fetch a longer one from. A
// home is taken to cache its prefixes, because all instances send them there.
void Placer::findPrefix(Candidate &candidate, const PlacementRequest &request,
                        std::span<const Home> homes, const fleet::View &view, Time now) const
{
    const fleet::Target &target = view.targets()[candidate.index];
    const auto home = std::ranges::find(homes, candidate.weights, &Home::weights);
    const bool isExpected = home != homes.end() && home->isWarm && reliesOnHomes();
    const std::size_t homeParts = isExpected ? homePartCount(request) : 0;
    const bool prefersStore = reliesOnHomes() && hasCacheStore(view);
    candidate.isHome = home != homes.end() && home->index == candidate.index;
    for (std::size_t parts = sharedPartCount(request); parts > 0; --parts) {
        const double tokens = prefixTokens(request, parts);
        for (const Holder &holder :
             memory_.holders(prefixHash(request, parts, candidate.weights))) {
            const fleet::Target *live = findLiveHolder(holder, view, now);
            if (live == nullptr)
                continue;
            const TargetStatus *status = targetTracker_.find(*live);
            const bool isReady = holder.readyAt <= now;
            if (live == &target) {
                candidate.cachedTokens = tokens;
                candidate.prefixWait = isReady ? Seconds(0) : Seconds(holder.readyAt - now);
                candidate.fetchedTokens = 0;
                candidate.fetchSource = nullptr;
                candidate.isDuplicate = false;
                return;
            }
            const bool canServe =
                    (status == nullptr || status->avoidUntil <= now)
                    && (!prefersStore || now - holder.usedAt < options_.holderFetchAge);
            if (isReady && canServe && candidate.fetchSource == nullptr
                && tokens >= options_.minSharedPrefixTokens) {
                candidate.fetchSource = live;
                candidate.fetchedTokens = tokens;
            }
            candidate.isDuplicate = true;
        }
        if (candidate.fetchSource != nullptr)
            return;
        if (parts != homeParts)
            continue;
        candidate.isDuplicate = false;
        if (candidate.isHome) {
            candidate.cachedTokens = tokens;
            candidate.isExpectedAtHome = true;
            return;
        }
        if (tokens >= options_.minSharedPrefixTokens) {
            if (!prefersStore)
                candidate.fetchSource = &view.targets()[home->index];
            candidate.fetchedTokens = tokens;
            candidate.isExpectedAtHome = true;
            return;
        }
    }
}

// Weighted rendezvous hashing: with a weight w and a uniform hash u, the target with the highest
// -w / ln(u) is chosen with a probability in proportion to w, and a changed weight moves no prefix
// between other targets.
double Placer::homeRank(std::uint64_t score, const fleet::Target &target, Time now) const
{
    constexpr double kHashRange = 18446744073709551616.0; // 2^64
    const double uniform = std::min((static_cast<double>(score) + 0.5) / kHashRange, 1 - 0x1p-53);
    const double relativeTime = targetTracker_.performance().steadyRelativeTime(
            target.pool, target.key, target.startedAt, now);
    // Such a target remains the home if all others leave.
    constexpr double kLeastWeight = 1e-9;
    const double weight =
            relativeTime >= options_.maxHomeRelativeTime ? kLeastWeight : 1 / relativeTime;
    return -weight / std::log(uniform);
}

std::vector<Placer::Home> Placer::findHomes(const PlacementRequest &request,
                                            std::span<const std::size_t> usable,
                                            const fleet::View &view, Time now) const
{
    std::vector<Home> homes;
    const std::size_t parts = homePartCount(request);
    if (parts == 0)
        return homes;
    const std::uint64_t key = prefixHash(request, parts, 0);
    const bool hasDifferences = !usable.empty()
                                && targetTracker_.performance().hasDifferences(
                                        view.targets()[usable.front()].pool, now);
    for (const std::size_t index : usable) {
        const fleet::Target &target = view.targets()[index];
        const auto weights =
                request.model.empty() ? 0 : targetTracker_.weightsOf(target, request.model);
        const std::uint64_t score = base::combineHash(key, target.key);
        const Home home{ .index = index,
                         .weights = weights,
                         .score = score,
                         .weightedScore = hasDifferences ? homeRank(score, target, now) : 0 };
        const auto known = std::ranges::find(homes, weights, &Home::weights);
        if (known == homes.end())
            homes.push_back(home);
        else if (const std::size_t groupSize = ++known->groupSize;
                 std::pair(home.weightedScore, home.score)
                 > std::pair(known->weightedScore, known->score)) {
            *known = home;
            known->groupSize = groupSize;
        }
    }
    // The first targets with new weights would be the homes of all prefixes, and would receive most
    // requests of all instances within the delay of load information.
    if (reliesOnHomes()) {
        std::erase_if(homes, [&](const Home &home) {
            return static_cast<double>(home.groupSize)
                   < options_.minHomeGroupShare * static_cast<double>(usable.size());
        });
    }
    for (Home &home : homes) {
        const TargetStatus *known = targetTracker_.find(view.targets()[home.index]);
        const TargetStatus status = known == nullptr ? TargetStatus{} : *known;
        home.isWarm = status.avoidUntil <= now && status.loadingUntil <= now
                      && now - status.weightsChangedAt > options_.homeWarmUpTime;
    }
    return homes;
}

// Adds a cost to candidates that are not the rendezvous home of the prefix, which all instances
// compute without communicating.
void Placer::addHomeCost(std::vector<Candidate> &candidates, const PlacementRequest &request) const
{
    const Seconds prefill(prefixTokens(request, sharedPartCount(request)) / options_.prefillRate);
    for (Candidate &candidate : candidates) {
        if (candidate.isHome)
            continue;
        if (reliesOnHomes())
            candidate.cost += prefill * options_.manyInstancesNonHomeCostShare;
        else if (candidate.cachedTokens <= 0 && candidate.fetchSource == nullptr)
            candidate.cost += prefill * options_.nonHomeCostShare;
    }
}

bool Placer::hasCacheStore(const fleet::View &view)
{
    return view.isComplete()
           && std::ranges::any_of(view.configuration().pools,
                                  [](const fleet::Pool &pool) { return pool.store.has_value(); });
}

// A prefix that no engine is known to cache may still be in a store. If not, the engine that
// computes it saves it there, so that the prefix outlives its eviction and the engine. With several
// stores, rendezvous hashing gives each prefix one of them, so that they hold different prefixes.
void Placer::setCacheStore(Placement &placement, const PlacementRequest &request,
                           const fleet::View &view) const
{
    const std::uint64_t key = prefixHash(request, homePartCount(request), 0);
    const fleet::CacheStore *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const fleet::Pool &pool : view.configuration().pools) {
        if (!pool.store)
            continue;
        const std::uint64_t score = base::combineHash(key, base::hash64(pool.name));
        if (best == nullptr || (reliesOnHomes() && score > bestScore)) {
            best = &*pool.store;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return;
    placement.cacheSource = best->address;
    placement.cacheStore = best->address;
}

void Placer::recordSent(const PlacementRequest &request, const Placement &placement,
                        const fleet::View &view, Time now)
{
    const fleet::Target &target = view.targets()[placement.target];
    targetTracker_.startRequest(target, placement.inFlightRequest);
    targetTracker_.takePermit(target, now);
    const auto readyDelay = std::chrono::duration_cast<Time::duration>(
            placement.expectedTime * options_.prefixReadyFactor);
    const Holder holder{ .target = target.key,
                         .startedAt = target.startedAt,
                         .readyAt = now + readyDelay,
                         .usedAt = now };
    constexpr std::size_t kMaxHints = 256;
    for (std::size_t parts = 1; parts <= sharedPartCount(request); ++parts) {
        const std::uint64_t prefix = prefixHash(request, parts, placement.weights);
        const bool isNew = memory_.record(prefix, holder);
        if (isNew && !placement.isExpectedHome
            && prefixTokens(request, parts) >= options_.minSharedPrefixTokens
            && hints_.size() < kMaxHints)
            hints_.push_back({ prefix, holder.target, holder.startedAt });
    }
}

std::vector<PrefixHint> Placer::takeHints(std::size_t limit)
{
    std::vector<PrefixHint> taken = std::exchange(hints_, {});
    if (taken.size() > limit)
        taken.resize(limit);
    return taken;
}

void Placer::mergeHints(std::span<const PrefixHint> hints, Time now)
{
    for (const PrefixHint &hint : hints) {
        memory_.record(hint.prefix, { .target = hint.target,
                                      .startedAt = hint.startedAt,
                                      .readyAt = now + options_.hintReadyDelay,
                                      .usedAt = now });
    }
}

} // namespace chervilfield::dispatch
