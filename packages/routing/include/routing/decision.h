#pragma once

#include "base/result.h"
#include "routing/hot_prefixes.h"
#include "routing/load_ledger.h"
#include "routing/recent_placements.h"
#include "routing/types.h"

#include <array>
#include <span>

namespace chervilfield::routing {

inline constexpr std::size_t kMaxCandidates = 16;

/// Terms of the expected time to first token at one candidate.
struct CandidateCost
{
    std::uint32_t index = 0; ///< Into the targets passed to `decide`.
    TargetId target = 0;
    std::uint32_t homeDepth = 0; ///< Leading blocks for which the target is a rendezvous home.
    double cachedTokens = 0;     ///< Expected prompt tokens that need no prefill.
    Cost hintAge{};              ///< Age of the placement behind `cachedTokens`; 0 if none.
    Cost path{};
    Cost queue{};
    Cost prefill{};
    Cost displacement{}; ///< Later recomputation of blocks that this placement evicts.

    Cost firstToken() const { return path + queue + prefill; }
    Cost total() const { return firstToken() + displacement; }
};

/// Chosen target with the terms of all candidates, or a refusal. A refused request was not run.
struct Decision
{
    base::Result code = base::Result::Ok;
    std::array<CandidateCost, kMaxCandidates> candidates{};
    std::size_t candidateCount = 0;
    std::size_t chosen = 0; ///< Index into `candidates`; meaningful if `code` is `Ok`.

    std::span<const CandidateCost> all() const
    {
        return std::span(candidates).first(candidateCount);
    }
    const CandidateCost &choice() const { return candidates[chosen]; }
};

/// Tunables of the decision.
struct Options
{
    /// Engine seconds per second that one home takes before a prefix widens to another.
    double workPerHome = 0.4;
    std::size_t maxHomes = 10;
    /// Candidates beyond the homes, next in rendezvous order.
    std::size_t spares = 2;
    /// Candidates drawn at random, so that no free target stays unseen.
    std::size_t randomCandidates = 2;
    /// Share of the time to recompute a duplicate block that is charged to a placement off home.
    double displacementShare = 0.3;
    /// Candidates within this cost of the best one are drawn at random.
    Cost nearEqual{ 0.002 };
    /// Longest expected time to first token that is accepted without a deadline, by class.
    std::array<Cost, kClasses> maxWait{ Cost(1.0), Cost(3.0) };
    /// Mean time between two tokens of an answer, for the wait for a batch slot.
    Cost tokenTime{ 0.025 };
};

/// What one daemon has learnt. It starts empty; an empty state places like the others because the
/// homes of a prefix follow from the chain alone. Not safe for concurrent use.
struct State
{
    HotPrefixes hot;
    LoadLedger load;
    RecentPlacements placements;
};

/// Chooses a target for `request`, or refuses it with `Result::NoTarget` (no target accepts work),
/// `Result::DeadlineUnreachable` (no candidate is expected to meet the deadline) or
/// `Result::Overloaded` (every candidate's queue exceeds `Options::maxWait`). Does not change
/// `state`: call `startRequest` when the request is sent.
Decision decide(const Request &request, std::span<const Target> targets, const State &state,
                const Options &options, Time now, Random &random);

/// One request that was sent. Keep it until the request has ended.
struct Sent
{
    Flight flight{};
    std::uint32_t promptTokens = 0;
    double predictedCachedTokens = 0;
    Cost hintAge{};
    Cost predictedFirstToken{};
};

/// Records that `request` is sent to the target that `decision` chose.
Sent startRequest(State &state, const Request &request, std::span<const Target> targets,
                  const Decision &decision, Time now);

/// Records the first token of a request.
void firstToken(State &state, Sent &sent);

/// Records the end of a request. `cachedTokens` is what the engine reported, if it did.
void endRequest(State &state, const Sent &sent, std::optional<std::uint32_t> cachedTokens);

} // namespace chervilfield::routing
