#pragma once

#include "base/result.h"
#include "routing/hot_prefixes.h"
#include "routing/load_ledger.h"
#include "routing/recent_placements.h"
#include "routing/types.h"

#include <array>
#include <span>

namespace chervilfield::routing {

/// Number of targets that a decision compares at most.
inline constexpr std::size_t kMaxCandidates = 16;

/// Cost estimate for one candidate: the terms of the expected time to first token, and the
/// displacement of cached blocks.
struct CandidateCost
{
    std::uint32_t index = 0; ///< Index into the targets passed to `decide`.
    TargetId target = 0;
    std::uint32_t homeDepth = 0; ///< Leading blocks for which the target is a rendezvous home.
    bool isFull = false;         ///< No slot is free for the request's work class.
    double cachedTokens = 0;     ///< Expected prompt tokens that need no prefill.
    Cost path{};                 ///< Round-trip time.
    Cost queue{};                ///< Wait for the prompts queued ahead.
    Cost prefill{};              ///< Time to compute the uncached tokens.
    Cost displacement{};         ///< Later recomputation of blocks that this placement evicts.

    /// Returns the expected time to first token.
    Cost firstToken() const { return path + queue + prefill; }
    /// Returns the cost by which candidates are compared.
    Cost total() const { return firstToken() + displacement; }
};

/// Outcome of `decide`: the chosen target with the costs of all candidates, or a refusal. A refused
/// request has not been run.
struct Decision
{
    base::Result code = base::Result::Ok;
    std::array<CandidateCost, kMaxCandidates> candidates{};
    std::size_t candidateCount = 0;
    std::size_t chosen = 0; ///< Index into `candidates`; meaningful if `code` is `Ok`.

    /// Returns all candidates, in the order in which they were added.
    std::span<const CandidateCost> all() const
    {
        return std::span(candidates).first(candidateCount);
    }
    /// Returns the chosen candidate; `code` must be `Ok`.
    const CandidateCost &choice() const { return candidates[chosen]; }
};

/// Parameters of the decision.
struct Options
{
    /// Demand, in engine seconds per second, that one rendezvous home of a prefix serves before
    /// another home is added.
    double maxWorkPerHome = 0.5;
    std::size_t maxHomes = 10; ///< Homes of one prefix, whatever its demand.
    /// Candidates in addition to the homes: the next targets in rendezvous order. Random candidates
    /// would scatter copies of a prefix; see docs/decisions/0002.
    std::size_t spareCandidates = 3;
    /// Cost factor for the time to compute blocks that another candidate already caches. It exceeds
    /// 1 because a duplicate also evicts a block, and later requests with the same prefix are split
    /// between the copies.
    double displacementFactor = 4;
    /// Cost factor for the time to compute all blocks that the request adds to the target's cache.
    /// It applies at the mean load of the candidates and is scaled by the target's relative load,
    /// so that new prefixes go to lightly loaded targets.
    double pressureFactor = 8;
    /// Cost factor for the time to compute blocks on a target that is not their home.
    double nonHomeFactor = 1;
    /// Share of a target's slots that requests of class `Long` may take.
    double maxLongSlotShare = 0.8;
    /// The choice is random among the candidates whose cost exceeds the lowest one by no more than
    /// this margin.
    Cost nearEqualMargin{ 0.002 };
    /// Longest expected time to first token at which a request without a deadline is accepted, by
    /// work class.
    std::array<Cost, kClasses> maxWait{ Cost(1.0), Cost(3.0) };
    /// Mean wait over the targets above which a request without a deadline is refused, by work
    /// class. One busy target may have a longer queue, but if all targets have one, another request
    /// only delays later work.
    std::array<Cost, kClasses> maxMeanWait{ Cost(0.5), Cost(1.5) };
    /// Mean time between two tokens of an answer, used to estimate how long a request holds a slot.
    Cost tokenTime{ 0.025 };
};

/// Routing state that one daemon has collected. It starts empty; a daemon with an empty state
/// chooses the same homes as the others because they follow from the chain alone. Not safe for
/// concurrent use.
struct State
{
    HotPrefixes hot;
    LoadLedger load;
    RecentPlacements placements;
};

/// Chooses a target for `request`, or refuses it with `Result::NoTarget` (no target accepts work,
/// or an earlier attempt used all that do), `Result::DeadlineUnreachable` (no candidate is expected
/// to meet the deadline) or `Result::Overloaded` (the mean wait exceeds `Options::maxMeanWait`,
/// every candidate is full, or the expected time to first token exceeds `Options::maxWait`).
/// `state` does not change; the caller calls `startRequest` when it sends the request.
Decision decide(const Request &request, std::span<const Target> targets, const State &state,
                const Options &options, Time now, Random &random);

/// Request that was sent to a target, with the values predicted for it. The caller keeps it until
/// the request has ended.
struct SentRequest
{
    InFlightRequest inFlight{};
    double possibleCachedTokens = 0; ///< Prompt tokens in complete blocks.
    double predictedCachedTokens = 0;
    Cost predictedFirstToken{}; ///< Expected time to first token.
};

/// Records that `request` is sent to the target that `decision` chose. `decision.code` must be
/// `Ok`, and `targets` must be those that were passed to `decide`.
SentRequest startRequest(State &state, const Request &request, std::span<const Target> targets,
                         const Decision &decision, const Options &options, Time now);

/// Records that the first token of a request has arrived.
void markFirstToken(State &state, SentRequest &sent);

/// Records the end of a request. `cachedTokens` is the number of cached prompt tokens that the
/// engine reported, if it reported one.
void endRequest(State &state, const SentRequest &sent, std::optional<std::uint32_t> cachedTokens);

} // namespace chervilfield::routing
