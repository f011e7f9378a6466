#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace chervilfield::standins {

/// One numbered cache event: a block was stored or evicted.
struct CacheEvent
{
    std::uint64_t number = 0;
    bool isStored = true;
    std::uint64_t blockHash = 0;
};

/// Prefix cache of an engine: least recently used blocks are evicted. Stores and evictions are
/// published as numbered events; the last 65,536 are kept.
class BlockCache
{
public:
    explicit BlockCache(std::size_t capacity);

    /// Returns how many leading blocks of `chain` are cached and marks them as used.
    std::size_t lookUp(const std::vector<std::uint64_t> &chain);

    /// Stores all blocks of `chain`, evicting the least recently used ones.
    void store(const std::vector<std::uint64_t> &chain);

    /// Evicts every block; the numbering of events goes on.
    void clear();

    /// Drops everything, as a restart does; events are numbered from 1 again.
    void restart();

    std::vector<CacheEvent> eventsFrom(std::uint64_t number) const;
    std::uint64_t nextEventNumber() const { return nextEvent_; }
    std::vector<std::uint64_t> blocks() const { return { order_.begin(), order_.end() }; }

private:
    void publish(bool isStored, std::uint64_t blockHash);

    std::size_t capacity_;
    std::list<std::uint64_t> order_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
    std::deque<CacheEvent> events_;
    std::uint64_t nextEvent_ = 1;
};

} // namespace chervilfield::standins
