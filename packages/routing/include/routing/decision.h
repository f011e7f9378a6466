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
    bool isFull = false;         ///< The class's share of the slots is taken.
    double cachedTokens = 0;     ///< Expected prompt tokens that need no prefill.
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
    double maxWorkPerHome = 0.5;
    std::size_t maxHomes = 10;
    /// Candidates beyond the homes, next in rendezvous order. Random candidates would scatter
    /// copies of a prefix; see docs/decisions/0002.
    std::size_t spareCandidates = 3;
    /// Share of the time to compute duplicates of blocks that another candidate caches. Above 1
    /// because a duplicate also evicts a block, and later siblings divide between the copies.
    double displacementFactor = 4;
    /// Share of the time to compute all inserted blocks, at a target with the mean load of the
    /// candidates; proportional to the load. It sends new prefixes to targets with room.
    double pressureFactor = 8;
    /// Share of the time to compute blocks on a target that is not their home.
    double nonHomeFactor = 1;
    /// Share of a target's slots that long work may take.
    double maxLongSlotShare = 0.8;
    /// Candidates within this cost of the best one are drawn at random.
    Cost nearEqualMargin{ 0.002 };
    /// Longest expected time to first token that is accepted without a deadline, by class.
    std::array<Cost, kClasses> maxWait{ Cost(1.0), Cost(3.0) };
    /// Mean wait over the targets beyond which a request without a deadline is refused, by class. A
    /// single hot target may have a longer queue; when all have one, it only delays later work.
    std::array<Cost, kClasses> maxMeanWait{ Cost(0.5), Cost(1.5) };
    /// Mean time between two tokens of an answer, for the time that a request holds a slot.
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
struct SentRequest
{
    InFlightRequest inFlight{};
    double possibleCachedTokens = 0; ///< Tokens in complete blocks.
    double predictedCachedTokens = 0;
    Cost predictedFirstToken{};
};

/// Records that `request` is sent to the target that `decision` chose.
SentRequest startRequest(State &state, const Request &request, std::span<const Target> targets,
                         const Decision &decision, const Options &options, Time now);

/// Records the first token of a request.
void markFirstToken(State &state, SentRequest &sent);

/// Records the end of a request. `cachedTokens` is what the engine reported, if it did.
void endRequest(State &state, const SentRequest &sent, std::optional<std::uint32_t> cachedTokens);

} // namespace chervilfield::routing
