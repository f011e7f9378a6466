#pragma once

#include "base/result.h"
#include "routing/decision.h"
#include "traffic/cache_index.h"
#include "traffic/load_view.h"
#include "traffic/pool_health.h"
#include "traffic/target_table.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chervilfield::traffic {

/// Parameters of a Router.
struct RouterOptions
{
    std::string dataCentre;                     ///< Data centre of this instance.
    routing::Options decision;                  ///< Parameters of the routing decision.
    routing::Cost otherDataCentrePath{ 0.010 }; ///< Assumed round-trip time, as none is measured.
    std::chrono::milliseconds initialCoolDown{ 250 }; ///< After the first refused connection.
    std::chrono::milliseconds maxCoolDown{ 4000 };
    std::uint64_t seed = 1; ///< Seed of the random choices of the decision.
};

/// Target chosen for one attempt, with the state that `Router` keeps until the attempt ends.
struct Placement
{
    TargetInfo target;
    routing::SentRequest sent;
    std::uint64_t life = 0;         ///< Last known life of the engine; 0 if unknown.
    std::string pool;               ///< Name of the pool.
    std::uint64_t job = 0;          ///< Id of the attempt, unique within this daemon.
    routing::Time start;            ///< Time of the decision.
    std::uint32_t listedBlocks = 0; ///< Prefix length that the cache index listed for `life`.
};

/// Makes the routing decisions of all traffic threads. Supplies the pure decision function with the
/// state that only the daemon has: lives of engines, their cached blocks, targets that refuse
/// connections and draining targets. Safe to use from several threads.
class Router
{
public:
    explicit Router(RouterOptions options);

    /// Chooses a target and counts the request as sent. If no target can take the request, returns
    /// no value, sets `error` to the decision's code and counts nothing. Each placement must be
    /// ended with `endPlacement()`.
    std::optional<Placement> place(const routing::Request &request, const RouteTargets &targets,
                                   std::error_code &error);

    /// Returns the decision for a request without counting it.
    routing::Decision explain(const routing::Request &request, const RouteTargets &targets);

    /// Records the arrival of the first token of a placement.
    void recordFirstToken(Placement &placement);

    /// Records the mean time between the tokens of a placement so far.
    void recordInterToken(const Placement &placement, std::chrono::microseconds perToken);

    /// Ends a placement. `cachedTokens` is the number that the engine reported, if it did.
    void endPlacement(const Placement &placement, std::optional<std::uint32_t> cachedTokens);

    /// Starts a cool-down of a target that refused a connection, in which it gets no requests. The
    /// time doubles with each refusal in a row.
    void recordRefusedConnection(routing::TargetId target);

    /// Records the life that an engine reported, and ends its cool-down. A new life removes the
    /// work that is counted for the old one.
    void recordLife(routing::TargetId target, std::uint64_t life);

    /// Replaces the set of draining targets, which get no new requests.
    void setDrainingTargets(std::unordered_set<routing::TargetId> targets);

    /// Returns this daemon's own in-flight work at each target that has any.
    std::vector<TargetWork> ownWork() const;

    /// Replaces the in-flight work that the other daemons report, which is their sum by target.
    void setOthersWork(const std::vector<TargetWork> &work);

    /// Returns the index of cached blocks, in which the decision looks up the holders of each
    /// request's chain.
    CacheIndex &cacheIndex() { return cacheIndex_; }

    /// Returns at most `limit` recent placements that have not been sent to the other daemons yet,
    /// oldest first, and discards the rest.
    std::vector<routing::PlacementHint> takeHints(std::size_t limit);

    /// Adds placements of another daemon as hints about what targets cache.
    void mergeHints(std::span<const routing::PlacementHint> hints);

private:
    struct TargetState
    {
        std::uint64_t life = 0;
        std::chrono::milliseconds coolDown{ 0 };
        routing::Time coolDownUntil;
    };

    bool isCurrentLife(routing::TargetId target, std::uint64_t life) const;
    std::vector<routing::Target> describeTargets(const RouteTargets &targets, routing::Time now);

    const RouterOptions options_;
    CacheIndex cacheIndex_; ///< Has its own lock.
    mutable std::mutex mutex_;
    routing::State state_;
    routing::Random random_;
    std::unordered_map<routing::TargetId, TargetState> targets_;
    std::unordered_set<routing::TargetId> drainingTargets_;
    PoolHealth health_;
    std::uint64_t nextJob_ = 1;
};

} // namespace chervilfield::traffic
