#include "internal/candidates.h"

#include "prefix/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::routing::internal {

namespace {

/// Returns true if the target accepts work and no earlier attempt of the request used it.
bool isUsable(const Request &request, const Target &target)
{
    return target.accepting
           && std::ranges::find(request.excluded, target.id) == request.excluded.end();
}

/// Adds a target unless it is a candidate already or the candidates are complete.
void addCandidate(Decision &decision, std::span<const Target> targets, std::size_t index)
{
    if (decision.candidateCount == kMaxCandidates)
        return;
    for (const CandidateCost &candidate : decision.all()) {
        if (candidate.index == index)
            return;
    }
    CandidateCost &candidate = decision.candidates[decision.candidateCount++];
    candidate.index = static_cast<std::uint32_t>(index);
    candidate.target = targets[index].id;
}

/// Adds the `count` usable targets with the highest scores for `key`, highest first.
void addHighestScored(const Request &request, std::span<const Target> targets, std::uint64_t key,
                      std::size_t count, Decision &decision)
{
    struct Scored
    {
        std::uint64_t score;
        std::size_t index;
    };
    std::array<Scored, kMaxCandidates> best;
    std::size_t size = 0;
    count = std::min(count, kMaxCandidates);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const std::uint64_t score = prefix::rendezvousScore(key, targets[i].id);
        if (size == count && score <= best[size - 1].score)
            continue;
        if (!isUsable(request, targets[i]))
            continue;
        std::size_t position = size < count ? size++ : size - 1;
        for (; position > 0 && best[position - 1].score < score; --position)
            best[position] = best[position - 1];
        best[position] = { score, i };
    }
    for (std::size_t i = 0; i < size; ++i)
        addCandidate(decision, targets, best[i].index);
}

/// Sets `homeDepth` of the candidates, the first `homes` of which are homes of the first block. The
/// homes of each longer prefix are the highest scored homes of the prefix one block shorter, so
/// that requests with a common prefix share its blocks.
void assignHomeDepths(const Request &request, const State &state, const Options &options, Time now,
                      std::size_t homes, Decision &decision)
{
    const std::span candidates = std::span(decision.candidates).first(decision.candidateCount);
    homes = std::min(homes, candidates.size());
    for (CandidateCost &candidate : candidates.first(homes))
        candidate.homeDepth = 1;
    for (std::size_t depth = 2; depth <= request.chain.size(); ++depth) {
        const std::uint64_t key = request.chain[depth - 1];
        const std::size_t homesAtDepth =
                homes == 1 ? 1 : homeCount(demandOf(state.hot, key, now), options);
        if (homesAtDepth < homes) {
            std::ranges::sort(candidates.first(homes), std::ranges::greater(),
                              [key](const CandidateCost &candidate) {
                                  return prefix::rendezvousScore(key, candidate.target);
                              });
            homes = homesAtDepth;
        }
        for (CandidateCost &candidate : candidates.first(homes))
            candidate.homeDepth = static_cast<std::uint32_t>(depth);
    }
}

/// Adds the target `id` if it is usable and still in the given life.
void addById(const Request &request, std::span<const Target> targets, TargetId id,
             std::uint64_t life, Decision &decision)
{
    const auto found = std::ranges::find(targets, id, &Target::id);
    if (found != targets.end() && found->life == life && isUsable(request, *found))
        addCandidate(decision, targets, static_cast<std::size_t>(found - targets.begin()));
}

/// Adds the usable ones of `count` randomly drawn targets.
void addRandom(const Request &request, std::span<const Target> targets, std::size_t count,
               Random &random, Decision &decision)
{
    std::uniform_int_distribution<std::size_t> anyTarget(0, targets.size() - 1);
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t index = anyTarget(random);
        if (isUsable(request, targets[index]))
            addCandidate(decision, targets, index);
    }
}

} // namespace

std::size_t homeCount(const PrefixDemand &demand, const Options &options)
{
    const double homes = std::ceil(demand.work / options.maxWorkPerHome);
    return std::clamp(static_cast<std::size_t>(homes), std::size_t(1), options.maxHomes);
}

void selectCandidates(const Request &request, std::span<const Target> targets, const State &state,
                      const Options &options, Time now, Random &random, Decision &decision)
{
    if (targets.empty())
        return;
    if (request.chain.empty()) {
        if (targets.size() <= kMaxCandidates) {
            for (std::size_t i = 0; i < targets.size(); ++i) {
                if (isUsable(request, targets[i]))
                    addCandidate(decision, targets, i);
            }
        } else {
            addRandom(request, targets, kMaxCandidates, random, decision);
        }
    } else {
        const std::uint64_t first = request.chain.front();
        const std::size_t homes = homeCount(demandOf(state.hot, first, now), options);
        addHighestScored(request, targets, first, homes + options.spareCandidates, decision);
        assignHomeDepths(request, state, options, now, homes, decision);
        for (const Holder &holder : request.holders)
            addById(request, targets, holder.target, holder.life, decision);
        for (std::size_t depth = request.chain.size(); depth > 0; --depth) {
            for (const auto &placement : placementsOf(state.placements, request.chain[depth - 1])) {
                if (placement.time != Time{} && now - placement.time < state.placements.lifetime)
                    addById(request, targets, placement.target, placement.life, decision);
            }
        }
    }
    // Random draws can miss every usable target when only a few targets are usable.
    if (decision.candidateCount == 0)
        addHighestScored(request, targets, random(), 1, decision);
}

} // namespace chervilfield::routing::internal
