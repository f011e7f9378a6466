#include "traffic/cache_index.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chervilfield::traffic {

using prefix::HolderSlot;
using prefix::kNoHolder;
using std::chrono::steady_clock;

namespace {

// 69 million blocks, each followed by two of 360 daemons, are 383,000 blocks per daemon; the rest
// is headroom for an uneven distribution. At 24 bytes per block the index takes at most 12 MB of
// the 32 MB that control work may use.
constexpr std::size_t kMaxBlocks = 500'000;
// Limits the time for which traffic threads wait for the lock.
constexpr std::size_t kMaxEventsPerLock = 256;
constexpr std::size_t kMaxHolders = 16;
// Maximum wait of a request for the lock. Holders are only hints: applying a snapshot of 80,000
// blocks takes 5 to 8 ms, and the router may add at most 2 ms at p99 to the time to first token.
constexpr std::chrono::microseconds kMaxLockWait{ 500 };

} // namespace

CacheIndex::CacheIndex() : index_(prefix::BlockIndexOptions{ .maxBlocks = kMaxBlocks }) {}

HolderSlot CacheIndex::followedSlot(routing::TargetId engine, std::uint64_t life) const
{
    const auto known = followed_.find(engine);
    if (known == followed_.end() || known->second != life)
        return kNoHolder;
    const HolderSlot slot = index_.slotOfEngine(engine);
    return slot != kNoHolder && index_.lifeOf(slot).life == life ? slot : kNoHolder;
}

FollowPosition CacheIndex::position(routing::TargetId engine) const
{
    const std::lock_guard lock(mutex_);
    const HolderSlot current = index_.slotOfEngine(engine);
    if (current == kNoHolder)
        return {};
    FollowPosition result{ .life = index_.lifeOf(current).life };
    if (followedSlot(engine, *result.life) != kNoHolder)
        result.nextEvent = index_.nextEvent(current);
    return result;
}

bool CacheIndex::applyEvents(routing::TargetId engine, const targets::CacheEvents &events)
{
    for (std::size_t begin = 0; begin < events.events.size(); begin += kMaxEventsPerLock) {
        const std::size_t end = std::min(begin + kMaxEventsPerLock, events.events.size());
        const auto now = steady_clock::now();
        const std::lock_guard lock(mutex_);
        const HolderSlot slot = followedSlot(engine, events.life);
        if (slot == kNoHolder)
            return false;
        for (std::size_t i = begin; i < end; ++i) {
            const targets::CacheChange &change = events.events[i];
            index_.applyEvent(slot,
                              { .number = change.number,
                                .kind = change.isStored ? prefix::CacheEventKind::Stored
                                                        : prefix::CacheEventKind::Evicted,
                                .blocks = std::span(&change.block, 1) },
                              now);
        }
    }
    const std::lock_guard lock(mutex_);
    const HolderSlot slot = followedSlot(engine, events.life);
    // A lost event at the end shows only in the number that the engine will use next.
    return slot != kNoHolder && !index_.needsSnapshot(slot)
           && index_.nextEvent(slot) == events.nextNumber;
}

bool CacheIndex::applySnapshot(routing::TargetId engine, const FollowPosition &before,
                               const targets::CacheSnapshot &snapshot)
{
    const std::lock_guard lock(mutex_);
    const HolderSlot current = index_.slotOfEngine(engine);
    if (current != kNoHolder) {
        const std::uint64_t life = index_.lifeOf(current).life;
        // Another response reported a newer life while the snapshot was in transit.
        if (life != snapshot.life && life != before.life)
            return false;
        // Event numbers only increase within a life. If the engine has restarted the numbering, its
        // blocks are removed and read again.
        if (life == snapshot.life && before.nextEvent.has_value()
            && snapshot.nextNumber < *before.nextEvent)
            index_.endLife(current);
    }
    const HolderSlot slot =
            index_.beginLife({ .engine = engine, .life = snapshot.life }, /*isFollowed=*/true);
    if (slot == kNoHolder
        || !index_.applySnapshot(slot, snapshot.nextNumber - 1, snapshot.blocks,
                                 steady_clock::now()))
        return false;
    followed_[engine] = snapshot.life;
    return true;
}

void CacheIndex::recordLife(routing::TargetId engine, std::uint64_t life)
{
    const std::lock_guard lock(mutex_);
    index_.beginLife({ .engine = engine, .life = life }, /*isFollowed=*/false);
}

void CacheIndex::keepOnly(const std::unordered_set<routing::TargetId> &engines)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(followed_, [&](const auto &entry) {
        const bool isRemoved = !engines.contains(entry.first);
        if (isRemoved)
            index_.endLife(index_.slotOfEngine(entry.first));
        return isRemoved;
    });
}

PrefixHolders CacheIndex::holders(std::span<const std::uint64_t> chain) const
{
    PrefixHolders result;
    if (chain.empty())
        return result;
    std::array<prefix::PrefixHolder, kMaxHolders> holderBuffer;
    const std::shared_lock lock(mutex_, kMaxLockWait);
    if (!lock.owns_lock())
        return result;
    for (const prefix::PrefixHolder &holder :
         index_.findHolders(chain, steady_clock::now(), holderBuffer)) {
        const prefix::EngineLife &life = index_.lifeOf(holder.slot);
        result.listed.push_back(
                { .target = life.engine, .life = life.life, .blocks = holder.blocks });
        result.expected.push_back(result.listed.back());
        result.expected.back().blocks =
                static_cast<std::uint32_t>(std::lround(index_.expectedBlocks(holder)));
    }
    return result;
}

void CacheIndex::recordHit(const routing::Holder &claim, std::uint32_t reported)
{
    const std::lock_guard lock(mutex_);
    const HolderSlot slot = followedSlot(claim.target, claim.life);
    if (slot == kNoHolder)
        return;
    // The empty chain makes the index measure the error without changing entries. Only events
    // change entries, because the report comes at the end of the stream, when the engine has
    // already stored the missing blocks or evicted others.
    index_.recordHit(slot, {}, claim.blocks, reported, steady_clock::now());
}

prefix::HitError CacheIndex::hitError() const
{
    const std::lock_guard lock(mutex_);
    return index_.hitError();
}

} // namespace chervilfield::traffic
