#pragma once

#include "event_queue.h"
#include "routing/load_ledger.h"

#include <deque>
#include <list>
#include <memory>
#include <span>
#include <unordered_map>

namespace chervilfield::bench {

/// Prefix cache in blocks; the least recently used block goes first.
class BlockCache
{
public:
    explicit BlockCache(std::size_t capacity) : capacity_(capacity) {}

    /// Returns the number of leading blocks of `chain` that are cached.
    std::uint32_t countCachedPrefix(std::span<const std::uint64_t> chain) const;
    bool contains(std::uint64_t block) const { return blocks_.contains(block); }
    /// Marks cached blocks of `chain` as used, the first block last, so that it stays longest.
    void touch(std::span<const std::uint64_t> chain);
    /// Inserts a block and returns the block evicted for it, or 0.
    std::uint64_t insert(std::uint64_t block);

private:
    std::size_t capacity_;
    std::list<std::uint64_t> lruOrder_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

/// One request at an engine.
struct Job
{
    std::span<const std::uint64_t> chain;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    routing::Priority priority = routing::Priority::Interactive;
    routing::WorkClass workClass = routing::WorkClass::Short;
    Time startDeadline{}; ///< The caller gives up if prefill has not started.
    std::function<void()> onFirstToken;
    std::function<void(Cost)> onTokens; ///< Called for each step with the mean time per token.
    std::function<void(bool)> onEnd;    ///< False if the caller gave up.
    std::uint32_t cachedTokens = 0;
    std::uint32_t remainingTokens =
            0; ///< Prompt tokens still to compute, then tokens of the answer.
    bool started = false;
};

struct EngineSettings
{
    double prefillRate = 40'000; ///< Tokens per second.
    std::uint32_t slots = 64;
    std::uint32_t chunkTokens = 512; ///< Prefill step; a higher priority preempts between steps.
    Cost tokenTime{ 0.025 };
    std::size_t cacheBlocks = 100;
};

/// Fake of the engine interface: continuous batching with a fixed number of slots, chunked prefill
/// by priority, and a prefix cache.
class FakeEngine
{
public:
    FakeEngine(EventQueue &queue, const EngineSettings &settings,
               std::unordered_map<std::uint64_t, std::uint32_t> &copyCounts);

    void submit(std::shared_ptr<Job> job);
    void setSlowness(double slowness) { slowness_ = slowness; }

    double slowness() const { return slowness_; }
    const BlockCache &cache() const { return cache_; }
    std::uint64_t computedTokens() const { return computedTokens_; }
    /// Tokens computed for blocks that another engine had cached at that moment.
    std::uint64_t wastedTokens() const { return wastedTokens_; }
    /// True uncached tokens waiting, by priority, given the present cache.
    std::array<double, routing::kPriorities> waitingTokens() const;
    std::uint32_t waitingRequests() const;
    std::uint32_t runningRequests() const { return runningRequests_; }
    const EngineSettings &settings() const { return settings_; }

private:
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
    std::shared_ptr<Job> stepJob_;
    std::uint32_t occupiedSlots_ = 0; ///< Slots in use by prefilling and running requests.
    std::uint32_t runningRequests_ = 0;
    std::uint64_t computedTokens_ = 0;
    std::uint64_t wastedTokens_ = 0;
};

} // namespace chervilfield::bench
