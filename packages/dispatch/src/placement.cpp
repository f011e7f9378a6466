#include "dispatch/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace chervilfield::dispatch {

namespace {

// The last part of a prompt belongs to one request or session, so it has no home.
std::size_t sharedParts(const PlacementRequest &request)
{
    return request.parts.size() > 1 ? request.parts.size() - 1 : 0;
}

double tokensOf(const PlacementRequest &request, std::size_t parts)
{
    double tokens = 0;
    for (std::size_t i = 0; i < parts; ++i)
        tokens += request.parts[i].tokens;
    return tokens;
}

double memoryTokens(const PlacementRequest &request)
{
    return static_cast<double>(request.promptTokens) + request.outputTokens;
}

} // namespace

struct Placer::Candidate
{
    std::size_t index = 0;
    std::uint64_t weights = 0;
    double cached = 0;        ///< Tokens of the prefix that the target holds.
    double fetched = 0;       ///< Tokens beyond those that another target holds.
    Seconds prefixWait{};     ///< Until the prefix is read that is being read now.
    bool isDuplicate = false; ///< Another target is reading the prefix.
    const fleet::Target *source = nullptr;
    bool avoided = false;
    Seconds cost{};
    Seconds expectedTime{};

    double uncached(const PlacementRequest &request) const
    {
        return std::max(0.0, request.promptTokens - cached - fetched);
    }
};

std::uint64_t prefixHash(const PlacementRequest &request, std::size_t count, std::uint64_t weights)
{
    std::uint64_t hash = base::hash64(request.cacheScope, weights);
    hash = base::hash64(request.model, hash);
    for (std::size_t i = 0; i < count && i < request.parts.size(); ++i)
        hash = base::hash64(request.parts[i].id, hash);
    return hash;
}

Placer::Placer(std::string dataCentre, std::uint64_t seed, PlacementOptions options)
    : dataCentre_(std::move(dataCentre)), options_(options), random_(seed)
{
}

const fleet::Target *Placer::liveHolder(const Holder &holder, const fleet::View &view,
                                        Time now) const
{
    if (holder.target == 0 || now - holder.usedAt > options_.cacheLifetime)
        return nullptr;
    const fleet::Target *target = view.findTarget(holder.target);
    return target != nullptr && target->startedAt == holder.startedAt ? target : nullptr;
}

// Finds the longest prefix that the candidate holds, and where it can fetch a longer one.
void Placer::findPrefix(Candidate &candidate, const PlacementRequest &request,
                        const fleet::View &view, Time now) const
{
    const fleet::Target &target = view.targets()[candidate.index];
    for (std::size_t parts = sharedParts(request); parts > 0; --parts) {
        const double tokens = tokensOf(request, parts);
        for (const Holder &holder :
             memory_.holders(prefixHash(request, parts, candidate.weights))) {
            const fleet::Target *live = liveHolder(holder, view, now);
            if (live == nullptr)
                continue;
            const TargetStatus *status = targetTracker_.find(*live);
            const bool isReady = holder.readyAt <= now;
            if (live == &target) {
                candidate.cached = tokens;
                candidate.prefixWait = isReady ? Seconds(0) : Seconds(holder.readyAt - now);
                candidate.fetched = 0;
                candidate.source = nullptr;
                candidate.isDuplicate = false;
                return;
            }
            const bool canServe = status == nullptr || status->avoidUntil <= now;
            if (isReady && canServe && candidate.source == nullptr
                && tokens >= options_.minSharedPrefixTokens) {
                candidate.source = live;
                candidate.fetched = tokens;
            }
            candidate.isDuplicate = true;
        }
        if (candidate.source != nullptr)
            return;
    }
}

void Placer::addServiceCost(Candidate &candidate, const fleet::Target &target, Time now) const
{
    const TargetStatus *status = targetTracker_.find(target);
    const double slowness = status == nullptr ? 1 : std::max(0.5, status->report.slowness);
    const double slots = std::max<std::uint32_t>(1, target.slots);
    const double occupied = targetTracker_.estimatedRequests(target, now) / slots;
    // The wait grows slowly while slots are free and by a whole turn for each further round.
    candidate.expectedTime = options_.serviceTime * slowness * (1 + occupied * occupied);
}

// Requests beyond the slots wait until one of those before them ends.
Seconds Placer::slotWait(const fleet::Target &target, Time now) const
{
    const double slots = std::max<std::uint32_t>(1, target.slots);
    const double before = targetTracker_.estimatedRequests(target, now) + 1 - slots;
    return options_.slotHoldTime * (std::max(0.0, before) / slots);
}

void Placer::addEngineCost(Candidate &candidate, const PlacementRequest &request,
                           const fleet::Target &target, Time now) const
{
    const TargetStatus *status = targetTracker_.find(target);
    const double slowness = status == nullptr ? 1 : std::max(0.5, status->report.slowness);
    const Seconds queue =
            Seconds(targetTracker_.estimatedWaitingTokens(target, now) / options_.prefillRate)
            * slowness;
    const Seconds prefill = Seconds(candidate.uncached(request) / options_.prefillRate) * slowness;
    const Seconds running = options_.delayPerRunningRequest
                            * targetTracker_.estimatedRequests(target, now) * slowness;
    candidate.expectedTime = std::max(queue, candidate.prefixWait) + prefill + running
                             + slotWait(target, now) * slowness
                             + options_.fetchTimePerToken * candidate.fetched;
    if (request.promptTokens > options_.longPromptThresholdTokens)
        candidate.cost += prefill * targetTracker_.estimatedRequests(target, now)
                          * options_.prefillInterferenceShare;
    if (candidate.isDuplicate && candidate.source == nullptr) {
        const double tokens = tokensOf(request, sharedParts(request));
        candidate.cost +=
                Seconds(tokens / options_.prefillRate) * options_.duplicatePrefixCostShare;
    }
}

void Placer::addCommonCost(Candidate &candidate, const PlacementRequest &request,
                           const fleet::View &view, Time now) const
{
    const fleet::Target &target = view.targets()[candidate.index];
    candidate.cost += candidate.expectedTime;
    if (target.dataCentre != dataCentre_)
        candidate.cost += options_.otherDataCentreCost;
    if (!targetTracker_.hasIdleConnection(target, now))
        candidate.cost += options_.newConnectionCost;
    if (const TargetStatus *status = targetTracker_.find(target)) {
        candidate.avoided = status->avoidUntil > now || status->loadingUntil > now;
        candidate.cost += options_.costPerFault * status->failures;
    }
    if (!request.model.empty() && candidate.weights < view.desiredWeights(request.model))
        candidate.cost += Seconds(request.latencyGoal) * options_.staleWeightsCostShare;
}

std::optional<std::chrono::milliseconds> Placer::weightsLeft(const PlacementRequest &request,
                                                             std::uint64_t weights,
                                                             const fleet::View &view,
                                                             Time now) const
{
    const auto replacedAt = view.replacedAt(request.model, weights);
    if (!replacedAt)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            *replacedAt + options_.maxStaleWeightsAge - now);
}

bool Placer::isTooStale(const PlacementRequest &request, std::uint64_t weights,
                        const fleet::View &view, Time now) const
{
    const auto left = weightsLeft(request, weights, view, now);
    return left && Seconds(*left) < Seconds(request.latencyGoal) * options_.minStaleWeightsGoals;
}

std::vector<std::size_t> Placer::sample(const PlacementRequest &request,
                                        std::span<const std::size_t> ready, const fleet::View &view,
                                        Time now)
{
    std::vector<std::size_t> result(ready.begin(), ready.end());
    if (result.size() <= options_.maxComparedTargets)
        return result;
    const std::uint64_t home = prefixHash(request, 1, 0);
    const bool hasHome = sharedParts(request) > 0;
    const auto isWanted = [&](std::size_t index) {
        const fleet::Target &target = view.targets()[index];
        const auto weights =
                request.model.empty() ? 0 : targetTracker_.weightsOf(target, request.model);
        return hasHome
               && std::ranges::any_of(
                       memory_.holders(prefixHash(request, sharedParts(request), weights)),
                       [&](const Holder &holder) { return holder.target == target.key; });
    };
    auto kept = std::partition(result.begin(), result.end(), isWanted);
    if (hasHome && kept != result.end()) {
        const auto rank = [&](std::size_t index) {
            return base::combineHash(home, view.targets()[index].key);
        };
        std::iter_swap(kept, std::max_element(kept, result.end(),
                                              [&](auto a, auto b) { return rank(a) < rank(b); }));
        ++kept;
    }
    chooseCompared(result, static_cast<std::size_t>(kept - result.begin()), view, now);
    return result;
}

// Most of them are near; with the others, work leaves a data centre that has too much of it.
void Placer::chooseCompared(std::vector<std::size_t> &indices, std::size_t kept,
                            const fleet::View &view, Time now)
{
    const auto begin = indices.begin() + static_cast<std::ptrdiff_t>(kept);
    std::shuffle(begin, indices.end(), random_);
    const auto away = std::stable_partition(begin, indices.end(), [&](std::size_t index) {
        return view.targets()[index].dataCentre == dataCentre_;
    });
    std::stable_partition(begin, away, [&](std::size_t index) {
        return targetTracker_.hasIdleConnection(view.targets()[index], now);
    });
    const auto elsewhere =
            std::min<std::ptrdiff_t>(indices.end() - away, options_.maxComparedInOtherDataCentres);
    const auto nearby =
            std::min<std::ptrdiff_t>(away - begin, options_.maxComparedTargets - elsewhere);
    indices.erase(std::rotate(begin + nearby, away, away + elsewhere), indices.end());
}

std::vector<Placer::Candidate> Placer::candidates(const PlacementRequest &request,
                                                  std::span<const std::size_t> indices,
                                                  const fleet::View &view, Time now) const
{
    std::vector<Candidate> result;
    for (const std::size_t index : indices) {
        const fleet::Target &target = view.targets()[index];
        if (std::ranges::find(request.excluded, target.id) != request.excluded.end())
            continue;
        Candidate candidate{ .index = index };
        if (request.model.empty()) {
            addServiceCost(candidate, target, now);
        } else {
            candidate.weights = targetTracker_.weightsOf(target, request.model);
            if (isTooStale(request, candidate.weights, view, now))
                continue;
            findPrefix(candidate, request, view, now);
            addEngineCost(candidate, request, target, now);
        }
        addCommonCost(candidate, request, view, now);
        result.push_back(candidate);
    }
    return result;
}

// The home of a prefix is the same at every instance, without any exchange between them.
void Placer::addHomeCost(std::vector<Candidate> &candidates, const PlacementRequest &request,
                         const fleet::View &view) const
{
    if (sharedParts(request) == 0)
        return;
    const Seconds away(tokensOf(request, sharedParts(request)) / options_.prefillRate
                       * options_.nonHomeCostShare);
    const std::uint64_t key = prefixHash(request, 1, 0);
    const auto rank = [&](const Candidate &candidate) {
        return base::combineHash(key, view.targets()[candidate.index].key);
    };
    // Each version of the weights has a home of its own.
    std::map<std::uint64_t, std::uint64_t> highest;
    for (const Candidate &candidate : candidates) {
        std::uint64_t &known = highest[candidate.weights];
        known = std::max(known, rank(candidate));
    }
    for (Candidate &candidate : candidates) {
        const bool isKnown = candidate.cached > 0 || candidate.source != nullptr;
        if (!isKnown && rank(candidate) != highest[candidate.weights])
            candidate.cost += away;
    }
}

bool Placer::accepts(const Candidate &candidate, const PlacementRequest &request,
                     const fleet::Pool *pool, const fleet::View &view, Acceptance acceptance,
                     Time now) const
{
    if (request.model.empty() || pool == nullptr || !pool->engine)
        return true;
    const fleet::Target &target = view.targets()[candidate.index];
    if (targetTracker_.estimatedRequests(target, now) < 1)
        return true;
    const bool isInTime = acceptance == Acceptance::InTime;
    const Seconds limit = isInTime ? Seconds(request.latencyGoal) * options_.inTimeGoalMultiple
                                   : Seconds(request.timeLeft) * options_.lateTimeLeftShare;
    if (candidate.expectedTime > limit)
        return false;
    if (candidate.uncached(request) <= options_.longPromptThresholdTokens)
        return true;
    const double backlog = targetTracker_.estimatedWaitingTokens(target, now);
    if (backlog > (isInTime ? options_.maxInTimeBacklogTokens : options_.maxLateBacklogTokens))
        return false;
    const double memory = targetTracker_.estimatedMemoryTokens(target, now) + memoryTokens(request);
    return memory <= options_.maxMemoryShare * static_cast<double>(pool->engine->cacheTokens);
}

std::variant<Placement, Refusal> Placer::place(const PlacementRequest &request,
                                               const std::string &pool, const fleet::View &view,
                                               Acceptance acceptance, Time now)
{
    const auto ready = view.readyTargets(pool);
    const auto isAvoided = [](const Candidate &c) { return c.avoided; };
    std::vector<Candidate> all = candidates(request, sample(request, ready, view, now), view, now);
    std::erase_if(all, isAvoided);
    // None of the few that are compared can be used; one of the others may.
    if (all.empty())
        all = candidates(request, ready, view, now);
    if (all.empty())
        return Refusal{ .code = base::Result::NoTarget, .retryAfter = options_.noTargetRetryAfter };
    if (!std::ranges::all_of(all, isAvoided))
        std::erase_if(all, isAvoided);
    const fleet::Pool *description = view.findPool(pool);
    std::erase_if(all, [&](const Candidate &c) {
        return !accepts(c, request, description, view, acceptance, now);
    });
    if (all.empty())
        return Refusal{ .code = base::Result::Overloaded,
                        .retryAfter = options_.overloadedRetryAfter,
                        .mayWait = acceptance == Acceptance::InTime };
    addHomeCost(all, request, view);
    // Instances see nearly the same costs; the draw keeps them from choosing the same target.
    constexpr double kNearEqual = 0.002;
    for (Candidate &candidate : all)
        candidate.cost += Seconds(std::uniform_real_distribution<double>(0, kNearEqual)(random_));
    const auto best = std::ranges::min_element(all, {}, &Candidate::cost);
    Placement placement{ .target = best->index,
                         .weights = best->weights,
                         .inFlightRequest = { best->uncached(request), memoryTokens(request) },
                         .uncachedTokens = best->uncached(request),
                         .expectedTime = best->expectedTime };
    if (!request.model.empty())
        placement.timeLimit = weightsLeft(request, best->weights, view, now);
    if (best->source != nullptr)
        placement.cacheSource = best->source->address;
    else if (tokensOf(request, sharedParts(request)) - best->cached
             >= options_.minSharedPrefixTokens)
        useStore(placement, view);
    return placement;
}

// A prefix that no engine is known to hold may still be in a store; if not, the engine that reads
// it saves it there, so that it survives the engine and its eviction.
void Placer::useStore(Placement &placement, const fleet::View &view)
{
    const auto &pools = view.configuration().pools;
    const auto store = std::ranges::find_if(
            pools, [](const fleet::Pool &pool) { return pool.store.has_value(); });
    if (store == pools.end())
        return;
    placement.cacheSource = store->store->address;
    placement.cacheStore = store->store->address;
}

void Placer::recordSent(const PlacementRequest &request, const Placement &placement,
                        const fleet::View &view, Time now)
{
    const fleet::Target &target = view.targets()[placement.target];
    targetTracker_.startRequest(target, placement.inFlightRequest);
    const auto readTime = std::chrono::duration_cast<Time::duration>(placement.expectedTime
                                                                     * options_.prefixReadyFactor);
    const Holder holder{ .target = target.key,
                         .startedAt = target.startedAt,
                         .readyAt = now + readTime,
                         .usedAt = now };
    constexpr std::size_t kMostHints = 256;
    for (std::size_t parts = 1; parts <= sharedParts(request); ++parts) {
        const std::uint64_t prefix = prefixHash(request, parts, placement.weights);
        const bool isNew = memory_.record(prefix, holder);
        if (isNew && tokensOf(request, parts) >= options_.minSharedPrefixTokens
            && hints_.size() < kMostHints)
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
