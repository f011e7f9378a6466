#include "routing/decision.h"

#include "internal/candidates.h"
#include "prefix/chain.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::routing {

namespace {

constexpr double kBlockTokens = prefix::kBlockTokens;

double expectedHomeBlocks(const Request &request, const CandidateCost &candidate,
                          std::span<const double> cachedAtHome)
{
    double blocks = 0;
    for (std::size_t depth = 0; depth < candidate.homeDepth && depth < request.chain.size();
         ++depth)
        blocks += cachedAtHome[depth];
    return blocks;
}

constexpr std::size_t kMaxDepth = 64;

/// Returns for each depth the probability that a home of the prefix caches it: a request for the
/// prefix has come to that home within the lifetime of a block.
std::array<double, kMaxDepth> homeProbabilities(const Request &request, const State &state,
                                                const Options &options, Time now)
{
    std::array<double, kMaxDepth> result{};
    const std::size_t depths = std::min(request.chain.size(), kMaxDepth);
    for (std::size_t depth = 0; depth < depths; ++depth) {
        const PrefixDemand demand = demandOf(state.hot, request.chain[depth], now);
        if (demand.requests <= 0)
            break;
        const auto homes = static_cast<double>(internal::homeCount(demand, options));
        const double arrivals = demand.requests * state.placements.lifetime.count() / homes;
        result[depth] = 1 - std::exp(-arrivals);
    }
    return result;
}

void applyPlacements(const Request &request, std::span<const Target> targets, const State &state,
                     Time now, std::span<CandidateCost> candidates)
{
    for (std::size_t depth = request.chain.size(); depth > 0; --depth) {
        const double tokens = static_cast<double>(depth) * kBlockTokens;
        for (const auto &placement : placementsOf(state.placements, request.chain[depth - 1])) {
            if (placement.time == Time{})
                continue;
            const auto candidate =
                    std::ranges::find(candidates, placement.target, &CandidateCost::target);
            if (candidate == candidates.end() || targets[candidate->index].life != placement.life)
                continue;
            const Cost age = now - placement.time;
            const double cached = tokens * survival(state.placements, age);
            if (cached > candidate->cachedTokens) {
                candidate->cachedTokens = cached;
                candidate->hintAge = age;
            }
        }
    }
}

void estimateCached(const Request &request, std::span<const Target> targets, const State &state,
                    const Options &options, Time now, std::span<CandidateCost> candidates)
{
    const auto cachedAtHome = homeProbabilities(request, state, options, now);
    for (CandidateCost &candidate : candidates)
        candidate.cachedTokens =
                kBlockTokens * expectedHomeBlocks(request, candidate, cachedAtHome);
    applyPlacements(request, targets, state, now, candidates);
    for (const Holder &holder : request.holders) {
        const auto candidate = std::ranges::find(candidates, holder.target, &CandidateCost::target);
        if (candidate != candidates.end() && targets[candidate->index].life == holder.life)
            candidate->cachedTokens =
                    std::max(candidate->cachedTokens, kBlockTokens * holder.blocks);
    }
}

/// Returns the expected wait for a free batch slot.
Cost slotWait(const Work &work, const Target &target, const Request &request,
              const Options &options)
{
    double ahead = work.running[0] + work.running[1] + work.waiting[0];
    if (request.workClass == WorkClass::Long)
        ahead += work.waiting[1];
    if (ahead < target.slots)
        return Cost(0);
    const double perSlot = options.tokenTime.count() * request.outputTokens / target.slots;
    return Cost((ahead - target.slots + 1) * perSlot * target.slowness);
}

void addCosts(const Request &request, const Target &target, const State &state,
              const Options &options, Time now, CandidateCost &candidate)
{
    const Work work = estimateWork(state.load, target.id, now);
    const double rate = target.prefillRate / target.slowness;
    double ahead = work.waitingTokens[0];
    if (request.priority == Priority::Batch)
        ahead += work.waitingTokens[1];
    candidate.path = target.path;
    candidate.queue = Cost(ahead / rate) + slotWait(work, target, request, options);
    candidate.cachedTokens = std::min<double>(candidate.cachedTokens, request.promptTokens);
    candidate.prefill = Cost((request.promptTokens - candidate.cachedTokens) / rate);
    const double strangeBlocks = static_cast<double>(request.chain.size()) - candidate.homeDepth;
    const double duplicates = std::max(0.0, strangeBlocks * kBlockTokens - candidate.cachedTokens);
    candidate.displacement = Cost(options.displacementShare * duplicates / target.prefillRate);
}

/// Returns the index of a random candidate among those with nearly the lowest cost. Daemons see
/// nearly the same costs; without the draw they would all choose the same target until the next
/// digest.
std::size_t drawNearBest(std::span<const CandidateCost> candidates, Cost nearEqual, Random &random)
{
    const Cost best =
            std::ranges::min(candidates, {}, [](const auto &c) { return c.total(); }).total();
    std::size_t chosen = 0;
    std::size_t near = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].total() > best + nearEqual)
            continue;
        ++near;
        if (std::uniform_int_distribution<std::size_t>(1, near)(random) == 1)
            chosen = i;
    }
    return chosen;
}

base::Result admit(const Request &request, std::span<const CandidateCost> candidates,
                   const Options &options)
{
    const Cost soonest = std::ranges::min(candidates, {}, [](const auto &c) {
                             return c.firstToken();
                         }).firstToken();
    if (request.deadline)
        return soonest <= *request.deadline ? base::Result::Ok : base::Result::DeadlineUnreachable;
    return soonest <= options.maxWait[static_cast<std::size_t>(request.workClass)]
                   ? base::Result::Ok
                   : base::Result::Overloaded;
}

} // namespace

Decision decide(const Request &request, std::span<const Target> targets, const State &state,
                const Options &options, Time now, Random &random)
{
    Decision decision;
    internal::selectCandidates(request, targets, state, options, now, random, decision);
    if (decision.candidateCount == 0) {
        decision.code = base::Result::NoTarget;
        return decision;
    }
    const std::span candidates = std::span(decision.candidates).first(decision.candidateCount);
    estimateCached(request, targets, state, options, now, candidates);
    for (CandidateCost &candidate : candidates)
        addCosts(request, targets[candidate.index], state, options, now, candidate);
    decision.code = admit(request, candidates, options);
    decision.chosen = drawNearBest(candidates, options.nearEqual, random);
    return decision;
}

Sent startRequest(State &state, const Request &request, std::span<const Target> targets,
                  const Decision &decision, Time now)
{
    const CandidateCost &choice = decision.choice();
    const Target &target = targets[choice.index];
    const double uncached = request.promptTokens - choice.cachedTokens;
    Sent sent{ .flight = { .target = target.id,
                           .tokens = uncached,
                           .workClass = request.workClass,
                           .priority = request.priority },
               .promptTokens = request.promptTokens,
               .predictedCachedTokens = choice.cachedTokens,
               .hintAge = choice.hintAge,
               .predictedFirstToken = choice.firstToken() };
    startFlight(state.load, sent.flight);
    countRequest(state.hot, request.chain, Cost(uncached / target.prefillRate), now);
    recordPlacement(state.placements, request.chain, target.id, target.life, now);
    return sent;
}

void firstToken(State &state, Sent &sent)
{
    markRunning(state.load, sent.flight);
}

void endRequest(State &state, const Sent &sent, std::optional<std::uint32_t> cachedTokens)
{
    endFlight(state.load, sent.flight);
    if (cachedTokens && sent.hintAge > Cost(0))
        correctLifetime(state.placements, sent.hintAge, sent.predictedCachedTokens, *cachedTokens);
}

} // namespace chervilfield::routing
