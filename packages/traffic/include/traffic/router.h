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

struct RouterOptions
{
    std::string dataCentre; ///< Of this instance.
    routing::Options decision;
    routing::Cost otherDataCentrePath{ 0.010 };       ///< Assumed round trip until one is measured.
    std::chrono::milliseconds initialCoolDown{ 250 }; ///< After a refused connection; doubles.
    std::chrono::milliseconds maxCoolDown{ 4000 };
    std::uint64_t seed = 1;
};

/// A target chosen for one attempt, with the bookkeeping that ends with the attempt.
struct Placement
{
    TargetInfo target;
    routing::SentRequest sent;
    std::uint64_t life = 0; ///< Life of the engine as last seen; 0 if not seen yet.
    std::string pool;
    std::uint64_t job = 0; ///< Unique within this daemon.
    routing::Time start;
    std::uint32_t listedBlocks = 0; ///< Prefix that the cache index listed for `life`.
};

/// Shared entry to the routing decision for all traffic threads: adds what only the daemon knows
/// (lives of engines, their cached blocks, targets that refuse connections, draining targets) to
/// the pure decision.
/// Safe to use from several threads.
class Router
{
public:
    explicit Router(RouterOptions options);

    /// Chooses a target and counts the request as sent. Sets `error` to the decision's code on a
    /// refusal; the request was then not sent. Call `endPlacement()` for each placement.
    std::optional<Placement> place(const routing::Request &request, const RouteTargets &targets,
                                   std::error_code &error);

    /// Returns the decision for a request without counting it.
    routing::Decision explain(const routing::Request &request, const RouteTargets &targets);

    void recordFirstToken(Placement &placement);

    /// Tells the mean time between the tokens of a placement so far.
    void recordInterToken(const Placement &placement, std::chrono::microseconds perToken);

    /// Ends the bookkeeping of a placement. `cachedTokens` is what the engine reported, if it did.
    void endPlacement(const Placement &placement, std::optional<std::uint32_t> cachedTokens);

    /// Keeps work away from a target that refused a connection, for a time that doubles with each
    /// refusal in a row.
    void recordRefusedConnection(routing::TargetId target);

    /// Records the life that an engine reported. A new life ends the cool-down and forgets the
    /// work of the old one.
    void recordLife(routing::TargetId target, std::uint64_t life);

    /// Replaces the set of targets that are draining; they get no new work.
    void setDrainingTargets(std::unordered_set<routing::TargetId> targets);

    /// Returns this daemon's own work in flight at each target that has any.
    std::vector<TargetWork> ownWork() const;

    /// Replaces what is known of the other daemons' work in flight.
    void setOthersWork(const std::vector<TargetWork> &work);

    /// Blocks that engines hold; the decision looks up the holders of each request's chain here.
    CacheIndex &cacheIndex() { return cacheIndex_; }

    /// Returns at most `limit` recent placements that the other daemons have not been told of.
    std::vector<routing::PlacementHint> takeHints(std::size_t limit);

    /// Takes placements of another daemon as hints of what targets cache.
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
    CacheIndex cacheIndex_; ///< Has a lock of its own.
    mutable std::mutex mutex_;
    routing::State state_;
    routing::Random random_;
    std::unordered_map<routing::TargetId, TargetState> targets_;
    std::unordered_set<routing::TargetId> drainingTargets_;
    PoolHealth health_;
    std::uint64_t nextJob_ = 1;
};

} // namespace chervilfield::traffic
