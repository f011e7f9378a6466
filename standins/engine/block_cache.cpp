#include "engine/block_cache.h"

namespace chervilfield::standins {

namespace {

constexpr std::size_t kMaxKeptEvents = 65536;

} // namespace

BlockCache::BlockCache(std::size_t capacity) : capacity_(capacity) {}

std::size_t BlockCache::lookUp(const std::vector<std::uint64_t> &chain)
{
    std::size_t found = 0;
    for (const std::uint64_t blockHash : chain) {
        const auto entry = entries_.find(blockHash);
        if (entry == entries_.end())
            break;
        lruOrder_.splice(lruOrder_.begin(), lruOrder_, entry->second);
        ++found;
    }
    return found;
}

void BlockCache::store(const std::vector<std::uint64_t> &chain)
{
    for (const std::uint64_t blockHash : chain) {
        if (entries_.contains(blockHash))
            continue;
        lruOrder_.push_front(blockHash);
        entries_[blockHash] = lruOrder_.begin();
        publish(true, blockHash);
        if (entries_.size() > capacity_) {
            publish(false, lruOrder_.back());
            entries_.erase(lruOrder_.back());
            lruOrder_.pop_back();
        }
    }
}

void BlockCache::clear()
{
    for (const std::uint64_t blockHash : lruOrder_)
        publish(false, blockHash);
    lruOrder_.clear();
    entries_.clear();
}

void BlockCache::restart()
{
    lruOrder_.clear();
    entries_.clear();
    events_.clear();
    nextEventNumber_ = 1;
}

std::vector<CacheEvent> BlockCache::eventsFrom(std::uint64_t number) const
{
    std::vector<CacheEvent> result;
    for (const CacheEvent &event : events_) {
        if (event.number >= number)
            result.push_back(event);
    }
    return result;
}

void BlockCache::publish(bool isStored, std::uint64_t blockHash)
{
    events_.push_back(
            { .number = nextEventNumber_++, .isStored = isStored, .blockHash = blockHash });
    if (events_.size() > kMaxKeptEvents)
        events_.pop_front();
}

} // namespace chervilfield::standins
