#include "engine_fake.h"

#include "prefix/chain.h"

#include <algorithm>

namespace chervilfield::bench {

namespace {

constexpr auto kBlockTokens = static_cast<std::uint32_t>(prefix::kBlockTokens);
// Tokens of an answer per event; the slowness of the engine applies to whole steps.
constexpr std::uint32_t kDecodeStepTokens = 8;

} // namespace

std::uint32_t BlockCache::leading(std::span<const std::uint64_t> chain) const
{
    const auto missing =
            std::ranges::find_if(chain, [this](std::uint64_t b) { return !blocks_.contains(b); });
    return static_cast<std::uint32_t>(missing - chain.begin());
}

void BlockCache::touch(std::span<const std::uint64_t> chain)
{
    for (std::size_t i = chain.size(); i > 0; --i) {
        const auto found = blocks_.find(chain[i - 1]);
        if (found != blocks_.end())
            order_.splice(order_.begin(), order_, found->second);
    }
}

std::uint64_t BlockCache::insert(std::uint64_t block)
{
    if (blocks_.contains(block))
        return 0;
    std::uint64_t evicted = 0;
    if (blocks_.size() == capacity_) {
        evicted = order_.back();
        blocks_.erase(evicted);
        order_.pop_back();
    }
    order_.push_front(block);
    blocks_[block] = order_.begin();
    return evicted;
}

EngineFake::EngineFake(EventQueue &queue, const EngineSettings &settings,
                       std::unordered_map<std::uint64_t, std::uint32_t> &copies)
    : queue_(queue), settings_(settings), copies_(copies), cache_(settings.cacheBlocks)
{
}

void EngineFake::submit(std::shared_ptr<Job> job)
{
    waiting_[static_cast<std::size_t>(job->priority)].push_back(std::move(job));
    pump();
}

std::array<double, routing::kPriorities> EngineFake::waitingTokens() const
{
    std::array<double, routing::kPriorities> tokens{};
    for (std::size_t level = 0; level < tokens.size(); ++level) {
        for (const auto *jobs : { &waiting_[level], &prefilling_[level] }) {
            for (const auto &job : *jobs)
                tokens[level] += job->started ? job->remaining
                                              : job->promptTokens
                                                        - cache_.leading(job->chain) * kBlockTokens;
        }
    }
    return tokens;
}

std::uint32_t EngineFake::waitingRequests() const
{
    std::size_t count = 0;
    for (std::size_t level = 0; level < routing::kPriorities; ++level)
        count += waiting_[level].size() + prefilling_[level].size();
    return static_cast<std::uint32_t>(count);
}

void EngineFake::pump()
{
    for (std::size_t level = 0; level < routing::kPriorities; ++level) {
        while (occupied_ < settings_.slots && !waiting_[level].empty()) {
            const auto job = waiting_[level].front();
            waiting_[level].pop_front();
            if (queue_.now() > job->abandonAt) {
                job->onEnd(false);
                continue;
            }
            ++occupied_;
            prefilling_[level].push_back(job);
        }
    }
    for (auto &jobs : prefilling_) {
        while (!inStep_ && !jobs.empty()) {
            const auto job = jobs.front();
            if (!job->started && queue_.now() > job->abandonAt) {
                jobs.pop_front();
                --occupied_;
                job->onEnd(false);
                continue;
            }
            if (!job->started) {
                job->started = true;
                job->cachedTokens = cache_.leading(job->chain) * kBlockTokens;
                job->remaining = std::max(job->promptTokens - job->cachedTokens, 1U);
                cache_.touch(job->chain);
            }
            inStep_ = job;
            const std::uint32_t tokens = std::min(job->remaining, settings_.chunkTokens);
            queue_.schedule(Cost(tokens / settings_.prefillRate * slowness_),
                            [this, tokens] { endStep(tokens); });
        }
    }
}

void EngineFake::insertBlock(std::uint64_t block)
{
    if (cache_.contains(block))
        return;
    const std::uint64_t evicted = cache_.insert(block);
    if (copies_[block] > 0)
        wastedTokens_ += kBlockTokens;
    ++copies_[block];
    if (evicted != 0)
        --copies_[evicted];
}

void EngineFake::endStep(std::uint32_t tokens)
{
    const auto job = std::move(inStep_);
    inStep_.reset();
    const std::uint32_t before = (job->promptTokens - job->remaining) / kBlockTokens;
    job->remaining -= tokens;
    computedTokens_ += tokens;
    const std::uint32_t after = (job->promptTokens - job->remaining) / kBlockTokens;
    for (std::uint32_t block = before; block < after && block < job->chain.size(); ++block)
        insertBlock(job->chain[block]);
    if (job->remaining == 0)
        finishPrefill(job);
    pump();
}

void EngineFake::finishPrefill(const std::shared_ptr<Job> &job)
{
    prefilling_[static_cast<std::size_t>(job->priority)].pop_front();
    cache_.touch(job->chain);
    ++running_;
    job->onFirstToken();
    job->remaining = job->outputTokens;
    decode(job);
}

void EngineFake::decode(const std::shared_ptr<Job> &job)
{
    if (job->remaining == 0) {
        --running_;
        --occupied_;
        job->onEnd(true);
        pump();
        return;
    }
    const std::uint32_t tokens = std::min(job->remaining, kDecodeStepTokens);
    job->remaining -= tokens;
    const Cost perToken = settings_.tokenTime * slowness_;
    queue_.schedule(perToken * tokens, [this, job, perToken] {
        job->onTokens(perToken);
        decode(job);
    });
}

} // namespace chervilfield::bench
