#include "routing/decision.h"

#include "internal/candidates.h"
#include "prefix/chain.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::routing {

namespace {

constexpr double kBlockTokens = prefix::kBlockTokens;

/// Returns the expected number of cached blocks at the candidate, given for each depth the
/// probability that a home caches the block.
double expectedHomeBlocks(const CandidateCost &candidate, std::span<const double> cachedAtHome)
{
    double blocks = 0;
    for (std::size_t depth = 0; depth < candidate.homeDepth && depth < cachedAtHome.size(); ++depth)
        blocks += cachedAtHome[depth];
    return blocks;
}

// Maximum number of leading blocks for which the home probabilities are estimated.
constexpr std::size_t kMaxEstimatedDepth = 64;

/// Returns for each depth the probability that a home of the prefix caches it, which is the
/// probability that a request with the prefix has reached that home within the lifetime of a block.
std::array<double, kMaxEstimatedDepth> homeProbabilities(const Request &request, const State &state,
                                                         const Options &options, Time now)
{
    std::array<double, kMaxEstimatedDepth> result{};
    const std::size_t depths = std::min(request.chain.size(), kMaxEstimatedDepth);
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

/// Raises `cachedTokens` of the candidates to which the prefixes of the request were sent recently.
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
            const double cached = tokens * survivalProbability(state.placements, age);
            candidate->cachedTokens = std::max(candidate->cachedTokens, cached);
        }
    }
}

/// Raises `cachedTokens` of the candidates that the block index lists as holders.
void applyHolders(const Request &request, std::span<const Target> targets,
                  std::span<CandidateCost> candidates)
{
    for (const Holder &holder : request.holders) {
        const auto candidate = std::ranges::find(candidates, holder.target, &CandidateCost::target);
        if (candidate != candidates.end() && targets[candidate->index].life == holder.life)
            candidate->cachedTokens =
                    std::max(candidate->cachedTokens, kBlockTokens * holder.blocks);
    }
}

/// Sets `cachedTokens` of the candidates from placements and holders, or, if these show no cached
/// block, from the demand for the prefixes.
void estimateCachedTokens(const Request &request, std::span<const Target> targets,
                          const State &state, const Options &options, Time now,
                          std::span<CandidateCost> candidates)
{
    applyPlacements(request, targets, state, now, candidates);
    applyHolders(request, targets, candidates);
    // Demand predicts which homes cache the blocks; hints show which targets do. Using both would
    // send requests back to a home that no longer serves the prefix.
    constexpr double kMinKnownTokens = 0.5 * kBlockTokens;
    if (std::ranges::any_of(candidates,
                            [](const auto &c) { return c.cachedTokens >= kMinKnownTokens; }))
        return;
    const auto cachedAtHome = homeProbabilities(request, state, options, now);
    for (CandidateCost &candidate : candidates)
        candidate.cachedTokens = std::max(
                candidate.cachedTokens, kBlockTokens * expectedHomeBlocks(candidate, cachedAtHome));
}

/// Returns true if the request's work class may not take another slot of the target. Some slots are
/// reserved for short requests, which would otherwise wait until a long answer is complete.
bool hasReachedSlotLimit(const Work &work, const Target &target, const Request &request,
                         const Options &options)
{
    const double longCount = work.running[1] + work.waiting[1];
    if (longCount + work.running[0] + work.waiting[0] >= target.slots)
        return true;
    return request.workClass == WorkClass::Long
           && longCount >= target.slots * options.maxLongSlotShare;
}

/// Returns the expected time until the target has prefilled the prompts queued ahead of the
/// request.
Cost queueWait(const Request &request, const Target &target, const Work &work)
{
    double tokensAhead = work.waitingTokens[0];
    if (request.priority == Priority::Batch)
        tokensAhead += work.waitingTokens[1];
    return Cost(tokensAhead * target.slowness / target.prefillRate);
}

/// Sets all costs of the candidate but `displacement`, and limits `cachedTokens` to the prompt.
void setCosts(const Request &request, const Target &target, const Work &work,
              const Options &options, CandidateCost &candidate)
{
    const double rate = target.prefillRate / target.slowness;
    candidate.path = target.path;
    candidate.queue = queueWait(request, target, work);
    candidate.isFull = hasReachedSlotLimit(work, target, request, options);
    candidate.cachedTokens = std::min<double>(candidate.cachedTokens, request.promptTokens);
    const double uncached = request.promptTokens - candidate.cachedTokens;
    candidate.prefill = Cost(uncached / rate);
}

// Added to the recent work of each target, so that relative loads stay near 1 while little work is
// known, as after a restart or when digests contain no recent work. A target at 60% load has a
// recent work of about 5 s.
constexpr Cost kPriorWork{ 3 };

/// Sets `displacement` of the candidates. `recentWork` is in the order of `candidates`.
void setDisplacement(const Request &request, std::span<const Target> targets,
                     std::span<const Cost> recentWork, const Options &options,
                     std::span<CandidateCost> candidates)
{
    const double blockTokens = static_cast<double>(request.chain.size()) * kBlockTokens;
    double maxCached = 0;
    Cost meanRecent{};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        maxCached = std::max(maxCached, candidates[i].cachedTokens);
        meanRecent += recentWork[i] / static_cast<double>(candidates.size());
    }
    maxCached = std::min(maxCached, blockTokens);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        CandidateCost &candidate = candidates[i];
        const double insertedTokens = std::max(0.0, blockTokens - candidate.cachedTokens);
        const double duplicateTokens = std::max(0.0, maxCached - candidate.cachedTokens);
        const double nonHomeTokens =
                std::min(insertedTokens, blockTokens - candidate.homeDepth * kBlockTokens);
        const double tokens = options.pressureFactor * insertedTokens
                                      * ((recentWork[i] + kPriorWork) / (meanRecent + kPriorWork))
                              + options.displacementFactor * duplicateTokens
                              + options.nonHomeFactor * nonHomeTokens;
        candidate.displacement = Cost(tokens / targets[candidate.index].prefillRate);
    }
}

/// Returns the index of a random candidate among those within `nearEqualMargin` of the lowest cost,
/// or `nullopt` if all are full. Daemons compute nearly the same costs; without the random choice
/// they would all use the same target until the next digest.
std::optional<std::size_t> drawNearBest(std::span<const CandidateCost> candidates,
                                        Cost nearEqualMargin, Random &random)
{
    Cost best = Cost::max();
    for (const CandidateCost &candidate : candidates) {
        if (!candidate.isFull)
            best = std::min(best, candidate.total());
    }
    std::optional<std::size_t> chosen;
    std::size_t near = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].isFull || candidates[i].total() > best + nearEqualMargin)
            continue;
        ++near;
        if (std::uniform_int_distribution<std::size_t>(1, near)(random) == 1)
            chosen = i;
    }
    return chosen;
}

/// Returns `Ok` if the expected time to first token meets the deadline, or `maxWait` if there is
/// none.
base::Result admit(const Request &request, const CandidateCost &choice, const Options &options)
{
    if (request.timeLeft)
        return choice.firstToken() <= *request.timeLeft ? base::Result::Ok
                                                        : base::Result::DeadlineUnreachable;
    return choice.firstToken() <= options.maxWait[static_cast<std::size_t>(request.workClass)]
                   ? base::Result::Ok
                   : base::Result::Overloaded;
}

/// Returns the engine time that the request uses: its prefill time or its share of the decoding
/// time (one of the target's slots), whichever is larger.
Cost engineTime(const Request &request, const Target &target, double uncached,
                const Options &options)
{
    return std::max(Cost(uncached / target.prefillRate),
                    options.tokenTime * request.outputTokens / target.slots);
}

// Approximate number of targets that `meanWait` samples.
constexpr std::size_t kWaitSamples = 16;

/// Returns the mean wait of the request over the accepting targets, estimated from a sample if
/// there are many targets.
Cost meanWait(const Request &request, std::span<const Target> targets, const State &state,
              Random &random)
{
    const std::size_t stride = std::max<std::size_t>(1, targets.size() / kWaitSamples);
    Cost sum{};
    std::size_t count = 0;
    for (std::size_t i = stride > 1 ? random() % stride : 0; i < targets.size(); i += stride) {
        if (!targets[i].accepting)
            continue;
        sum += queueWait(request, targets[i], estimateWork(state.load, targets[i].id));
        ++count;
    }
    return count == 0 ? Cost(0) : sum / static_cast<double>(count);
}

/// Selects candidates, computes their costs and chooses one of them.
Decision decideAmong(const Request &request, std::span<const Target> targets, const State &state,
                     const Options &options, Time now, Random &random)
{
    Decision decision;
    internal::selectCandidates(request, targets, state, options, now, random, decision);
    if (decision.candidateCount == 0) {
        decision.code = base::Result::NoTarget;
        return decision;
    }
    const std::span candidates = std::span(decision.candidates).first(decision.candidateCount);
    estimateCachedTokens(request, targets, state, options, now, candidates);
    std::array<Cost, kMaxCandidates> recentWork{};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Work work = estimateWork(state.load, candidates[i].target);
        setCosts(request, targets[candidates[i].index], work, options, candidates[i]);
        recentWork[i] = work.recentWork;
    }
    setDisplacement(request, targets, recentWork, options, candidates);
    const auto chosen = drawNearBest(candidates, options.nearEqualMargin, random);
    if (!chosen) {
        decision.code = base::Result::Overloaded;
        return decision;
    }
    decision.chosen = *chosen;
    decision.code = admit(request, decision.choice(), options);
    return decision;
}

} // namespace

Decision decide(const Request &request, std::span<const Target> targets, const State &state,
                const Options &options, Time now, Random &random)
{
    if (!request.timeLeft
        && meanWait(request, targets, state, random)
                   > options.maxMeanWait[static_cast<std::size_t>(request.workClass)]) {
        Decision refusal;
        refusal.code = base::Result::Overloaded;
        return refusal;
    }
    Decision decision = decideAmong(request, targets, state, options, now, random);
    if (decision.code == base::Result::Ok || decision.code == base::Result::NoTarget)
        return decision;
    // The homes and spare candidates are overloaded. Any other target is better than a refusal, so
    // duplicate blocks and blocks outside their homes no longer count.
    Options wider = options;
    wider.spareCandidates = kMaxCandidates;
    wider.displacementFactor = 0;
    wider.nonHomeFactor = 0;
    return decideAmong(request, targets, state, wider, now, random);
}

SentRequest startRequest(State &state, const Request &request, std::span<const Target> targets,
                         const Decision &decision, const Options &options, Time now)
{
    const CandidateCost &choice = decision.choice();
    const Target &target = targets[choice.index];
    const double uncached = request.promptTokens - choice.cachedTokens;
    const Cost work = engineTime(request, target, uncached, options);
    SentRequest sent{ .inFlight = { .target = target.id,
                                    .tokens = uncached,
                                    .work = work,
                                    .workClass = request.workClass,
                                    .priority = request.priority },
                      .possibleCachedTokens =
                              static_cast<double>(request.chain.size()) * kBlockTokens,
                      .predictedCachedTokens = choice.cachedTokens,
                      .predictedFirstToken = choice.firstToken() };
    addInFlightRequest(state.load, sent.inFlight, now);
    countRequest(state.hot, request.chain, work, now);
    recordPlacement(state.placements, request.chain, target.id, target.life, now);
    return sent;
}

void markFirstToken(State &state, SentRequest &sent)
{
    markRunning(state.load, sent.inFlight);
}

void endRequest(State &state, const SentRequest &sent, std::optional<std::uint32_t> cachedTokens)
{
    removeInFlightRequest(state.load, sent.inFlight);
    if (cachedTokens)
        correctLifetime(state.placements, sent.predictedCachedTokens, *cachedTokens,
                        sent.possibleCachedTokens);
}

} // namespace chervilfield::routing
