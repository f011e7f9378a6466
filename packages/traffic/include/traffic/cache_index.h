#pragma once

#include "prefix/block_index.h"
#include "routing/types.h"
#include "targets/engine_cache.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chervilfield::traffic {

/// Position up to which the cache events of an engine have been applied.
struct FollowPosition
{
    std::optional<std::uint64_t> life; ///< Current life of the engine, if this daemon knows it.
    /// Number of the next event to read; no value until a snapshot of the current life has been
    /// applied.
    std::optional<std::uint64_t> nextEvent;
};

/// Followed engines that hold a prefix of one chain. Both lists have the same order.
struct PrefixHolders
{
    std::vector<routing::Holder> listed;   ///< With the prefix length that the index lists.
    std::vector<routing::Holder> expected; ///< With the length corrected by the measured error.
};

/// Index of the blocks that the followed engines hold. The control I/O thread updates it; the
/// traffic threads look up holders. Only engines with an applied snapshot are reported. Safe to use
/// from several threads; events are applied in batches, a snapshot in one step.
class CacheIndex
{
public:
    CacheIndex();

    /// Returns the position for an engine; both members are absent if its life is unknown.
    FollowPosition position(routing::TargetId engine) const;

    /// Applies events that were read from `position().nextEvent` on. Returns true if and only if no
    /// event is missing; otherwise a snapshot is needed, as it is for events of another life, which
    /// are ignored.
    bool applyEvents(routing::TargetId engine, const targets::CacheEvents &events);

    /// Replaces the known content of the engine's cache. `before` is the result of `position()`
    /// before the snapshot was requested. Returns false and changes nothing if the snapshot belongs
    /// to a replaced life or is older than the known content.
    bool applySnapshot(routing::TargetId engine, const FollowPosition &before,
                       const targets::CacheSnapshot &snapshot);

    /// Records the life that an engine reported in any response. The blocks of an earlier life are
    /// no longer reported.
    void recordLife(routing::TargetId engine, std::uint64_t life);

    /// Stops reporting the engines that are not in `engines`, and removes their blocks.
    void keepOnly(const std::unordered_set<routing::TargetId> &engines);

    /// Returns the followed engines that hold a prefix of `chain`. Returns none while a large
    /// update is in progress, because holders are only hints and a request must not wait for them.
    PrefixHolders holders(std::span<const std::uint64_t> chain) const;

    /// Measures the error of the index from a finished request: `claim` is the prefix that the
    /// index listed, `reported` the number of cached blocks that the engine reported. Does nothing
    /// if `claim.life` is not a followed life.
    void recordHit(const routing::Holder &claim, std::uint32_t reported);

    /// Returns the error measured by all calls of `recordHit()`.
    prefix::HitError hitError() const;

private:
    /// Returns the slot of a life that has an applied snapshot, or `kNoHolder`. Requires the lock.
    prefix::HolderSlot followedSlot(routing::TargetId engine, std::uint64_t life) const;

    mutable std::shared_timed_mutex mutex_;
    prefix::BlockIndex index_;
    /// Life of each followed engine that has an applied snapshot.
    std::unordered_map<routing::TargetId, std::uint64_t> followed_;
};

} // namespace chervilfield::traffic
