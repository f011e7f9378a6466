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

/// Where the following of an engine's cache events stands.
struct FollowPosition
{
    std::optional<std::uint64_t> life; ///< Current life, if any part of the daemon has seen one.
    /// Next event to read; no value until a snapshot of the current life has been applied.
    std::optional<std::uint64_t> nextEvent;
};

/// Followed engine lives that hold a prefix of one chain, in the same order in both lists.
struct PrefixHolders
{
    std::vector<routing::Holder> listed;   ///< With the prefix that the index lists.
    std::vector<routing::Holder> expected; ///< Scaled by the error measured for each life.
};

/// Blocks that the followed engines hold, shared by the control I/O thread, which feeds it, and the
/// traffic threads, which look up holders. Only engines with an applied snapshot are reported. Safe
/// to use from several threads; events are applied in batches, a snapshot in one step.
class CacheIndex
{
public:
    CacheIndex();

    FollowPosition position(routing::TargetId engine) const;

    /// Applies events read from `position().nextEvent` on. Returns true if and only if nothing is
    /// missing; otherwise a snapshot is needed. Events of another life change nothing.
    bool applyEvents(routing::TargetId engine, const targets::CacheEvents &events);

    /// Replaces what is known of the engine's cache. `before` is `position()` from before the
    /// snapshot was requested. Returns false, without a change, if the snapshot is of a replaced
    /// life or older than what is known.
    bool applySnapshot(routing::TargetId engine, const FollowPosition &before,
                       const targets::CacheSnapshot &snapshot);

    /// Notes the life that an engine reported elsewhere; claims of an earlier life become void.
    void recordLife(routing::TargetId engine, std::uint64_t life);

    /// Forgets the blocks of all engines that are not in `engines`.
    void keepOnly(const std::unordered_set<routing::TargetId> &engines);

    /// Returns the followed engine lives that hold a prefix of `chain`; none if a large update is
    /// in progress, because a request must not wait for a hint.
    PrefixHolders holders(std::span<const std::uint64_t> chain) const;

    /// Compares the listed prefix of a finished request with what the engine found, in blocks.
    void recordHit(const routing::Holder &claim, std::uint32_t reported);

    prefix::HitError hitError() const;

private:
    prefix::HolderSlot followedSlot(routing::TargetId engine, std::uint64_t life) const;

    mutable std::shared_timed_mutex mutex_;
    prefix::BlockIndex index_;
    /// Life of each followed engine of which a snapshot has been applied.
    std::unordered_map<routing::TargetId, std::uint64_t> followed_;
};

} // namespace chervilfield::traffic
