#include "fake_engine.h"

#include "prefix/chain.h"

#include <algorithm>

namespace chervilfield::bench {

namespace {

constexpr auto kBlockTokens = static_cast<std::uint32_t>(prefix::kBlockTokens);
// Output tokens of a request per decode step; a change of the slowness takes effect with the next
// step.
constexpr std::uint32_t kDecodeStepTokens = 8;

} // namespace

std::uint32_t BlockCache::countCachedPrefix(std::span<const std::uint64_t> chain) const
{
    const auto firstMissing =
            std::ranges::find_if(chain, [this](std::uint64_t b) { return !blocks_.contains(b); });
    return static_cast<std::uint32_t>(firstMissing - chain.begin());
}

void BlockCache::touch(std::span<const std::uint64_t> chain)
{
    for (std::size_t i = chain.size(); i > 0; --i) {
        const auto found = blocks_.find(chain[i - 1]);
        if (found != blocks_.end())
            lruOrder_.splice(lruOrder_.begin(), lruOrder_, found->second);
    }
}

std::uint64_t BlockCache::insert(std::uint64_t block)
{
    if (blocks_.contains(block))
        return 0;
    std::uint64_t evicted = 0;
    if (blocks_.size() == capacity_) {
        evicted = lruOrder_.back();
        blocks_.erase(evicted);
        lruOrder_.pop_back();
    }
    lruOrder_.push_front(block);
    blocks_[block] = lruOrder_.begin();
    return evicted;
}

FakeEngine::FakeEngine(EventQueue &queue, const EngineSettings &settings,
                       std::unordered_map<std::uint64_t, std::uint32_t> &copyCounts)
    : queue_(queue), settings_(settings), copyCounts_(copyCounts), cache_(settings.cacheBlocks)
{
}

void FakeEngine::submit(std::shared_ptr<Job> job)
{
    waiting_[static_cast<std::size_t>(job->priority)].push_back(std::move(job));
    startWork();
}

std::array<double, routing::kPriorities> FakeEngine::waitingTokens() const
{
    std::array<double, routing::kPriorities> tokens{};
    for (std::size_t level = 0; level < tokens.size(); ++level) {
        for (const auto *jobs : { &waiting_[level], &prefilling_[level] }) {
            for (const auto &job : *jobs)
                tokens[level] += job->started ? job->remainingTokens
                                              : job->promptTokens
                                                        - cache_.countCachedPrefix(job->chain)
                                                                  * kBlockTokens;
        }
    }
    return tokens;
}

std::uint32_t FakeEngine::waitingRequests() const
{
    std::size_t count = 0;
    for (std::size_t level = 0; level < routing::kPriorities; ++level)
        count += waiting_[level].size() + prefilling_[level].size();
    return static_cast<std::uint32_t>(count);
}

void FakeEngine::startWork()
{
    for (std::size_t level = 0; level < routing::kPriorities; ++level) {
        while (occupiedSlots_ < settings_.slots && !waiting_[level].empty()) {
            const auto job = waiting_[level].front();
            waiting_[level].pop_front();
            if (queue_.now() > job->startDeadline) {
                job->onEnd(false);
                continue;
            }
            ++occupiedSlots_;
            prefilling_[level].push_back(job);
        }
    }
    for (auto &jobs : prefilling_) {
        while (!stepJob_ && !jobs.empty()) {
            const auto job = jobs.front();
            if (!job->started && queue_.now() > job->startDeadline) {
                jobs.pop_front();
                --occupiedSlots_;
                job->onEnd(false);
                continue;
            }
            if (!job->started) {
                job->started = true;
                job->cachedTokens = cache_.countCachedPrefix(job->chain) * kBlockTokens;
                job->remainingTokens = std::max(job->promptTokens - job->cachedTokens, 1U);
                cache_.touch(job->chain);
            }
            stepJob_ = job;
            const std::uint32_t tokens = std::min(job->remainingTokens, settings_.chunkTokens);
            queue_.schedule(Cost(tokens / settings_.prefillRate * slowness_),
                            [this, tokens] { endStep(tokens); });
        }
    }
}

void FakeEngine::insertBlock(std::uint64_t block)
{
    if (cache_.contains(block))
        return;
    const std::uint64_t evicted = cache_.insert(block);
    if (copyCounts_[block] > 0)
        wastedTokens_ += kBlockTokens;
    ++copyCounts_[block];
    if (evicted != 0)
        --copyCounts_[evicted];
}

void FakeEngine::endStep(std::uint32_t tokens)
{
    const auto job = std::move(stepJob_);
    stepJob_.reset();
    const std::uint32_t before = (job->promptTokens - job->remainingTokens) / kBlockTokens;
    job->remainingTokens -= tokens;
    computedTokens_ += tokens;
    const std::uint32_t after = (job->promptTokens - job->remainingTokens) / kBlockTokens;
    for (std::uint32_t block = before; block < after && block < job->chain.size(); ++block)
        insertBlock(job->chain[block]);
    if (job->remainingTokens == 0)
        finishPrefill(job);
    startWork();
}

void FakeEngine::finishPrefill(const std::shared_ptr<Job> &job)
{
    prefilling_[static_cast<std::size_t>(job->priority)].pop_front();
    cache_.touch(job->chain);
    ++runningRequests_;
    job->onFirstToken();
    job->remainingTokens = job->outputTokens;
    decode(job);
}

void FakeEngine::decode(const std::shared_ptr<Job> &job)
{
    if (job->remainingTokens == 0) {
        --runningRequests_;
        --occupiedSlots_;
        job->onEnd(true);
        startWork();
        return;
    }
    const std::uint32_t tokens = std::min(job->remainingTokens, kDecodeStepTokens);
    job->remainingTokens -= tokens;
    const Cost perToken = settings_.tokenTime * slowness_;
    queue_.schedule(perToken * tokens, [this, job, perToken] {
        job->onTokens(perToken);
        decode(job);
    });
}

} // namespace chervilfield::bench
