#include "dispatch/placement.h"

#include "internal/candidate.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervilfield::dispatch {

using detail::prefixTokens;
using detail::sharedPartCount;

namespace {

Time::duration toDuration(Seconds time)
{
    return std::chrono::duration_cast<Time::duration>(time);
}

double requestMemoryTokens(const PlacementRequest &request)
{
    return static_cast<double>(request.promptTokens) + request.maxOutputTokens;
}

} // namespace

Placer::Placer(std::string dataCentre, std::uint64_t seed, PlacementOptions options)
    : dataCentre_(std::move(dataCentre)), options_(options), random_(seed)
{
}

void Placer::addServiceCost(Candidate &candidate, const fleet::Target &target, Time now) const
{
    const TargetStatus *status = targetTracker_.find(target);
    const double slowness = status == nullptr ? 1 : std::max(0.5, status->report.slowness);
    const double relativeTime = targetTracker_.performanceOf(target, now).relativeTime;
    const double slots = targetTracker_.usefulSlots(target, now);
    const double occupied = targetTracker_.estimatedRequests(target, now) / slots;
    // The wait grows slowly while slots are free and steeply once requests have to queue.
    candidate.expectedTime =
            options_.serviceTime * slowness * relativeTime * (1 + occupied * occupied);
}

// Returns the time until a slot is free; requests that exceed the slots wait for earlier ones to
// end.
Seconds Placer::slotWait(const fleet::Target &target, Time now) const
{
    const double slots = targetTracker_.usefulSlots(target, now);
    const double excessRequests = targetTracker_.estimatedRequests(target, now) + 1 - slots;
    return options_.slotHoldTime * (std::max(0.0, excessRequests) / slots);
}

void Placer::addEngineCost(Candidate &candidate, const PlacementRequest &request,
                           const fleet::Target &target, Time now) const
{
    const TargetStatus *status = targetTracker_.find(target);
    const double slowness = status == nullptr ? 1 : std::max(0.5, status->report.slowness);
    // The learned time excludes the reported slowness, with which samples are compared.
    const double timeFactor = slowness * targetTracker_.performanceOf(target, now).relativeTime;
    const Seconds queue =
            Seconds(targetTracker_.estimatedWaitingTokens(target, now) / options_.prefillRate)
            * timeFactor;
    const Seconds prefill =
            Seconds(candidate.uncachedTokens(request) / options_.prefillRate) * timeFactor;
    const Seconds running = options_.delayPerRunningRequest
                            * targetTracker_.estimatedRequests(target, now) * timeFactor;
    candidate.expectedTime = std::max(queue, candidate.prefixWait) + prefill + running
                             + slotWait(target, now) * timeFactor
                             + options_.fetchTimePerToken * candidate.fetchedTokens;
    if (request.promptTokens > options_.longPromptThresholdTokens)
        candidate.cost += prefill * targetTracker_.estimatedRequests(target, now)
                          * options_.prefillInterferenceShare;
    if (candidate.isDuplicate && candidate.fetchSource == nullptr) {
        const double tokens = prefixTokens(request, sharedPartCount(request));
        candidate.cost +=
                Seconds(tokens / options_.prefillRate) * options_.duplicatePrefixCostFactor;
    }
}

bool Placer::wouldQueue(const fleet::Target &target, Time now) const
{
    return targetTracker_.performance().hasDifferences(target.pool, now)
           && targetTracker_.estimatedRequests(target, now) + 1
                      > targetTracker_.usefulSlots(target, now);
}

performance::Sample Placer::conditionsOf(const fleet::Target &target, double uncachedTokens,
                                         Time now) const
{
    const TargetStatus *status = targetTracker_.find(target);
    return { .uncachedTokens = uncachedTokens,
             .requestsAtSend = targetTracker_.estimatedRequests(target, now),
             .waitingTokensAtSend = targetTracker_.estimatedWaitingTokens(target, now),
             .slowness = status == nullptr ? 1 : status->report.slowness,
             .slots = static_cast<double>(target.slots),
             .isRemote = target.dataCentre != dataCentre_ };
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
        candidate.shouldAvoid = status->avoidUntil > now || status->loadingUntil > now;
        candidate.cost += options_.costPerFault * status->faultCount;
    }
    if (!request.model.empty() && candidate.weights < view.desiredWeights(request.model))
        candidate.cost += Seconds(request.latencyGoal) * options_.staleWeightsCostShare;
}

std::optional<std::chrono::milliseconds>
Placer::remainingWeightsTime(const PlacementRequest &request, std::uint64_t weights,
                             const fleet::View &view, Time now) const
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
    const auto remaining = remainingWeightsTime(request, weights, view, now);
    return remaining
           && Seconds(*remaining)
                      < Seconds(request.latencyGoal) * options_.minStaleWeightsGoalFactor;
}

std::vector<std::size_t> Placer::usableTargets(const std::string &pool,
                                               const fleet::View &view) const
{
    const auto ready = view.readyTargets(pool);
    std::vector<std::size_t> usable;
    usable.reserve(ready.size());
    std::ranges::copy_if(ready, std::back_inserter(usable), [&](std::size_t index) {
        return !targetTracker_.isLeaving(view.targets()[index]);
    });
    return usable;
}

std::vector<std::size_t> Placer::sampleTargets(const PlacementRequest &request,
                                               std::span<const std::size_t> usable,
                                               std::span<const Home> homes, const fleet::View &view,
                                               Time now)
{
    std::vector<std::size_t> result(usable.begin(), usable.end());
    if (result.size() <= options_.maxComparedTargets)
        return result;
    const bool hasHome = !homes.empty();
    const auto holdsPrefix = [&](std::size_t index) {
        const fleet::Target &target = view.targets()[index];
        const auto weights =
                request.model.empty() ? 0 : targetTracker_.weightsOf(target, request.model);
        return hasHome
               && std::ranges::any_of(
                       memory_.holders(prefixHash(request, sharedPartCount(request), weights)),
                       [&](const Holder &holder) { return holder.target == target.key; });
    };
    auto kept = std::partition(result.begin(), result.end(), holdsPrefix);
    kept = std::partition(kept, result.end(), [&](std::size_t index) {
        return std::ranges::find(homes, index, &Home::index) != homes.end();
    });
    limitCompared(result, static_cast<std::size_t>(kept - result.begin()), view, now);
    return result;
}

// Most of the sample is in this instance's data centre, targets with idle connections first. The
// rest lets requests leave an overloaded data centre. Local targets at which the request would wait
// make room for targets of other data centres at which it would not.
void Placer::limitCompared(std::vector<std::size_t> &indices, std::size_t kept,
                           const fleet::View &view, Time now)
{
    const auto begin = indices.begin() + static_cast<std::ptrdiff_t>(kept);
    std::shuffle(begin, indices.end(), random_);
    const auto otherDataCentres =
            std::stable_partition(begin, indices.end(), [&](std::size_t index) {
                return view.targets()[index].dataCentre == dataCentre_;
            });
    std::stable_partition(begin, otherDataCentres, [&](std::size_t index) {
        return targetTracker_.hasIdleConnection(view.targets()[index], now);
    });
    const auto otherCount = std::min<std::ptrdiff_t>(indices.end() - otherDataCentres,
                                                     options_.maxComparedInOtherDataCentres);
    const auto localCount = std::min<std::ptrdiff_t>(otherDataCentres - begin,
                                                     options_.maxComparedTargets - otherCount);
    const auto end =
            std::rotate(begin + localCount, otherDataCentres, otherDataCentres + otherCount);
    const auto doesQueue = [&](std::size_t index) {
        return wouldQueue(view.targets()[index], now);
    };
    const auto firstFree = std::find_if_not(end, indices.end(), [&](std::size_t index) {
        return view.targets()[index].dataCentre == dataCentre_ || doesQueue(index);
    });
    const bool allQueue = std::all_of(indices.begin(), end, doesQueue);
    if (allQueue && localCount > 0 && firstFree != indices.end())
        std::iter_swap(begin + localCount - 1, firstFree);
    indices.erase(end, indices.end());
}

std::vector<Placer::Candidate> Placer::makeCandidates(const PlacementRequest &request,
                                                      std::span<const std::size_t> indices,
                                                      std::span<const Home> homes,
                                                      const fleet::View &view, Time now) const
{
    std::vector<Candidate> result;
    for (const std::size_t index : indices) {
        const fleet::Target &target = view.targets()[index];
        if (std::ranges::find(request.excluded, target.id) != request.excluded.end())
            continue;
        Candidate candidate{ .index = index,
                             .sendDelay = targetTracker_.nextSendTime(target, now) - now };
        if (request.model.empty()) {
            addServiceCost(candidate, target, now);
        } else {
            candidate.weights = targetTracker_.weightsOf(target, request.model);
            if (isTooStale(request, candidate.weights, view, now))
                continue;
            findPrefix(candidate, request, homes, view, now);
            addEngineCost(candidate, request, target, now);
        }
        candidate.expectedTime += candidate.sendDelay;
        addCommonCost(candidate, request, view, now);
        candidate.conditions = conditionsOf(
                target, request.model.empty() ? 0 : candidate.uncachedTokens(request), now);
        result.push_back(candidate);
    }
    return result;
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
    const Seconds limit = isInTime ? Seconds(request.latencyGoal) * options_.maxInTimeGoalFactor
                                   : Seconds(request.timeLeft) * options_.maxLateTimeLeftShare;
    if (candidate.expectedTime > limit)
        return false;
    if (candidate.uncachedTokens(request) <= options_.longPromptThresholdTokens)
        return true;
    const double backlog = targetTracker_.estimatedWaitingTokens(target, now);
    if (backlog > (isInTime ? options_.maxInTimeBacklogTokens : options_.maxLateBacklogTokens))
        return false;
    const double memory =
            targetTracker_.estimatedMemoryTokens(target, now) + requestMemoryTokens(request);
    return memory <= options_.maxMemoryShare * static_cast<double>(pool->engine->cacheTokens);
}

std::variant<Placement, Refusal> Placer::place(const PlacementRequest &request,
                                               const std::string &pool, const fleet::View &view,
                                               Acceptance acceptance, Time now)
{
    const auto usable = usableTargets(pool, view);
    const auto isAvoidedCandidate = [](const Candidate &c) { return c.shouldAvoid; };
    const Seconds maxDelay = std::min(Seconds(request.latencyGoal) * options_.maxSendDelayGoalShare,
                                      Seconds(request.timeLeft));
    const auto isDelayed = [maxDelay](const Candidate &c) { return c.sendDelay > maxDelay; };
    const std::vector<Home> homes = findHomes(request, usable, view, now);
    std::vector<Candidate> candidates = makeCandidates(
            request, sampleTargets(request, usable, homes, view, now), homes, view, now);
    std::erase_if(candidates,
                  [&](const Candidate &c) { return isAvoidedCandidate(c) || isDelayed(c); });
    // The sample may contain only targets to avoid although another one accepts requests.
    if (candidates.empty())
        candidates = makeCandidates(request, usable, homes, view, now);
    if (candidates.empty())
        return Refusal{ .code = base::Result::NoTarget, .retryAfter = options_.noTargetRetryAfter };
    if (!std::ranges::all_of(candidates, isAvoidedCandidate))
        std::erase_if(candidates, isAvoidedCandidate);
    const Seconds earliestDelay =
            std::ranges::min_element(candidates, {}, &Candidate::sendDelay)->sendDelay;
    if (earliestDelay > maxDelay)
        return refuseUntilAccepted(request, pool, view, earliestDelay, now);
    std::erase_if(candidates, isDelayed);
    const fleet::Pool *poolDefinition = view.findPool(pool);
    std::erase_if(candidates, [&](const Candidate &c) {
        return !accepts(c, request, poolDefinition, view, acceptance, now);
    });
    if (candidates.empty())
        return Refusal{ .code = base::Result::Overloaded,
                        .retryAfter = options_.overloadedRetryAfter,
                        .mayWait = acceptance == Acceptance::InTime };
    addHomeCost(candidates, request);
    // Instances compute nearly equal costs; a random term keeps them from choosing the same target.
    constexpr double kMaxTieBreakSeconds = 0.002;
    for (Candidate &candidate : candidates)
        candidate.cost +=
                Seconds(std::uniform_real_distribution<double>(0, kMaxTieBreakSeconds)(random_));
    const auto best = std::ranges::min_element(candidates, {}, &Candidate::cost);
    Placement placement{ .target = best->index,
                         .weights = best->weights,
                         .inFlightRequest = { best->uncachedTokens(request),
                                              requestMemoryTokens(request), best->conditions },
                         .uncachedTokens = best->uncachedTokens(request),
                         .expectedTime = best->expectedTime,
                         .sendDelay = std::chrono::ceil<std::chrono::milliseconds>(best->sendDelay),
                         .isExpectedHome = best->isHome && reliesOnHomes() };
    if (!request.model.empty())
        placement.timeLimit =
                remainingWeightsTime(request, best->weights, view, now + placement.sendDelay);
    if (best->fetchSource != nullptr)
        placement.cacheSource = best->fetchSource->address;
    else if (best->isExpectedAtHome
             || (reliesOnHomes()
                 && prefixTokens(request, sharedPartCount(request))
                            >= options_.minSharedPrefixTokens)
             || prefixTokens(request, sharedPartCount(request)) - best->cachedTokens
                        >= options_.minSharedPrefixTokens)
        setCacheStore(placement, request, view);
    return placement;
}

double Placer::acceptedRate(const PlacementRequest &request, const fleet::Target &target) const
{
    if (const auto permittedRate = targetTracker_.permittedRate(target))
        return *permittedRate;
    const Seconds holdTime = request.model.empty() ? options_.serviceTime : options_.slotHoldTime;
    const auto instances = static_cast<double>(targetTracker_.instanceShare().instances);
    return std::max<std::uint32_t>(1, target.slots) / holdTime.count() / instances;
}

Refusal Placer::refuseUntilAccepted(const PlacementRequest &request, const std::string &pool,
                                    const fleet::View &view, Seconds earliestDelay, Time now)
{
    double rate = 0;
    for (const std::size_t index : usableTargets(pool, view)) {
        // Limited targets accept requests all the time, the others from the end of their pause.
        const fleet::Target &target = view.targets()[index];
        const bool isPaused = targetTracker_.isPaused(target, now + toDuration(earliestDelay));
        if (!isPaused)
            rate += acceptedRate(request, target);
    }
    Time &lastReturnAt = lastReturnAt_[pool];
    const Time returnAt = std::max(now + toDuration(earliestDelay),
                                   lastReturnAt + toDuration(Seconds(1 / std::max(rate, 0.001))));
    // A caller that gives up before its turn leaves the turn to the next one.
    if (returnAt - now < request.timeLeft)
        lastReturnAt = returnAt;
    return { .code = base::Result::RateLimited,
             .retryAfter = std::chrono::ceil<std::chrono::milliseconds>(returnAt - now) };
}

} // namespace chervilfield::dispatch
