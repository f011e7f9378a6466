#pragma once

#include "event_queue.h"
#include "routing/load_ledger.h"

#include <deque>
#include <list>
#include <memory>
#include <span>
#include <unordered_map>

namespace chervilfield::bench {

/// Prefix cache of an engine, in blocks, with LRU eviction.
class BlockCache
{
public:
    explicit BlockCache(std::size_t capacity) : capacity_(capacity) {}

    /// Returns the number of leading blocks of `chain` that are cached.
    std::uint32_t countCachedPrefix(std::span<const std::uint64_t> chain) const;
    bool contains(std::uint64_t block) const { return blocks_.contains(block); }
    /// Marks the cached blocks of `chain` as used. The first block is marked last, so that it is
    /// evicted after the blocks that follow it.
    void touch(std::span<const std::uint64_t> chain);
    /// Inserts a block. Returns the block that was evicted for it, or 0 if there was none.
    std::uint64_t insert(std::uint64_t block);

private:
    std::size_t capacity_;
    std::list<std::uint64_t> lruOrder_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

/// One request at an engine, and its callbacks.
struct Job
{
    std::span<const std::uint64_t> chain;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    routing::Priority priority = routing::Priority::Interactive;
    routing::WorkClass workClass = routing::WorkClass::Short;
    Time startDeadline{}; ///< The caller gives up if prefill has not started by then.
    std::function<void()> onFirstToken;
    std::function<void(Cost)> onTokens; ///< Called for each step with the mean time per token.
    std::function<void(bool)> onEnd;    ///< Called at the end; false if the caller gave up.
    std::uint32_t cachedTokens = 0;
    /// Prompt tokens still to prefill, then output tokens to decode.
    std::uint32_t remainingTokens = 0;
    bool started = false;
};

struct EngineSettings
{
    double prefillRate = 40'000; ///< Tokens per second.
    std::uint32_t slots = 64;    ///< Maximum number of requests in prefill and decode.
    /// Maximum tokens of a prefill step. A request of higher priority preempts between steps.
    std::uint32_t chunkTokens = 512;
    Cost tokenTime{ 0.025 }; ///< Decode time per output token.
    std::size_t cacheBlocks = 100;
};

/// Fake engine on a virtual clock: continuous batching with a fixed number of slots, chunked
/// prefill by priority, and a prefix cache.
class FakeEngine
{
public:
    /// All engines share `copyCounts`, the number of engines that cache each block. It and `queue`
    /// must outlive the engine.
    FakeEngine(EventQueue &queue, const EngineSettings &settings,
               std::unordered_map<std::uint64_t, std::uint32_t> &copyCounts);

    /// Queues a request.
    void submit(std::shared_ptr<Job> job);
    /// Sets the factor by which steps take longer than normal.
    void setSlowness(double slowness) { slowness_ = slowness; }

    double slowness() const { return slowness_; }
    const BlockCache &cache() const { return cache_; }
    std::uint64_t computedTokens() const { return computedTokens_; }
    /// Returns the number of tokens prefilled for blocks that another engine had cached then.
    std::uint64_t wastedTokens() const { return wastedTokens_; }
    /// Returns the exact number of uncached tokens that wait for prefill, by priority. Requests
    /// that have not started count with the present contents of the cache.
    std::array<double, routing::kPriorities> waitingTokens() const;
    std::uint32_t waitingRequests() const;
    std::uint32_t runningRequests() const { return runningRequests_; }
    const EngineSettings &settings() const { return settings_; }

private:
    /// Assigns free slots to waiting requests and starts a prefill step if none is in progress.
    void startWork();
    void endStep(std::uint32_t tokens);
    void decode(const std::shared_ptr<Job> &job);
    void finishPrefill(const std::shared_ptr<Job> &job);
    void insertBlock(std::uint64_t block);

    EventQueue &queue_;
    EngineSettings settings_;
    /// Number of engines that cache each block.
    std::unordered_map<std::uint64_t, std::uint32_t> &copyCounts_;
    BlockCache cache_;
    double slowness_ = 1;
    std::array<std::deque<std::shared_ptr<Job>>, routing::kPriorities> waiting_;
    std::array<std::deque<std::shared_ptr<Job>>, routing::kPriorities> prefilling_;
    std::shared_ptr<Job> stepJob_;    ///< The request in the current prefill step.
    std::uint32_t occupiedSlots_ = 0; ///< Slots in use by prefilling and running requests.
    std::uint32_t runningRequests_ = 0;
    std::uint64_t computedTokens_ = 0;
    std::uint64_t wastedTokens_ = 0;
};

} // namespace chervilfield::bench
