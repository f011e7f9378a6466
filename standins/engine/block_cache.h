#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace chervilfield::standins {

/// A numbered event: a block was stored in the cache or evicted from it.
struct CacheEvent
{
    std::uint64_t number = 0;
    bool isStored = true; ///< False if the block was evicted.
    std::uint64_t blockHash = 0;
};

/// Prefix cache of an engine with LRU eviction. Publishes stores and evictions as numbered events
/// and keeps the last 65,536 of them.
class BlockCache
{
public:
    /// Creates an empty cache for up to `capacity` blocks.
    explicit BlockCache(std::size_t capacity);

    /// Returns the number of leading blocks of `chain` that are cached, and marks them as used.
    std::size_t lookUp(const std::vector<std::uint64_t> &chain);

    /// Stores the blocks of `chain` that are not cached and evicts the least recently used ones
    /// beyond the capacity.
    void store(const std::vector<std::uint64_t> &chain);

    /// Evicts every block. The numbering of events continues.
    void clear();

    /// Discards all blocks and events, as a restart of the engine does. Events are numbered from 1
    /// again.
    void restart();

    /// Returns the kept events whose number is at least `number`.
    std::vector<CacheEvent> eventsFrom(std::uint64_t number) const;
    /// Returns the number of the next event to be published.
    std::uint64_t nextEventNumber() const { return nextEventNumber_; }
    /// Returns the hashes of all cached blocks, most recently used first.
    std::vector<std::uint64_t> blocks() const { return { lruOrder_.begin(), lruOrder_.end() }; }

private:
    void publish(bool isStored, std::uint64_t blockHash);

    std::size_t capacity_;
    std::list<std::uint64_t> lruOrder_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
    std::deque<CacheEvent> events_;
    std::uint64_t nextEventNumber_ = 1;
};

} // namespace chervilfield::standins
