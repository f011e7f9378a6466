#include "membership/member_traffic.h"
#include "support/decision_scenario.h"
#include "support/measure.h"

#include "routing/target_health.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <map>
#include <vector>

namespace {

using namespace chervilfield;
using namespace chervilfield::bench;

using TimePoint = std::chrono::steady_clock::time_point;

const TimePoint kNow{ std::chrono::hours(1) };
constexpr int kRepeats = 5;
constexpr std::size_t kFollowedEngines = 5;

std::size_t toCount(double size)
{
    return static_cast<std::size_t>(size);
}

/// Returns the heap bytes that the result of `build` occupies.
template<typename Build>
double retainedBytes(const Build &build)
{
    const std::int64_t before = heapUse().liveBytes;
    const auto result = build();
    return static_cast<double>(heapUse().liveBytes - before);
}

/// Returns the heap bytes of an index with `blocks` blocks.
double indexBytes(std::uint64_t seed, double blocks)
{
    return retainedBytes([&] {
        routing::Random random(seed);
        prefix::BlockIndex index;
        fillIndex(index, kFollowedEngines, toCount(blocks), random, kNow);
        return index;
    });
}

/// Returns the CPU time of applying `events` events to an index of the default size. Every second
/// event stores a new block and the others evict the block stored longest ago, so that the index
/// keeps its size.
double eventNanoseconds(std::uint64_t seed, double events)
{
    routing::Random random(seed);
    prefix::BlockIndex index;
    fillIndex(index, kFollowedEngines, ScenarioSize().blocks, random, kNow);
    const prefix::HolderSlot slot = index.beginLife({ 1, 1 }, true);
    constexpr std::size_t kCached = 1'000;
    std::vector<std::uint64_t> cached(kCached);
    std::ranges::generate(cached, random);
    std::uint64_t number = 0;
    const auto apply = [&](prefix::CacheEventKind kind, std::uint64_t block) {
        index.applyEvent(slot, { ++number, kind, { &block, 1 } }, kNow);
    };
    for (const std::uint64_t block : cached)
        apply(prefix::CacheEventKind::Stored, block);
    return cpuNanoseconds(kRepeats, [&] {
        for (std::size_t i = 0; i < toCount(events) / 2; ++i) {
            std::uint64_t &block = cached[i % kCached];
            apply(prefix::CacheEventKind::Evicted, block);
            block = random();
            apply(prefix::CacheEventKind::Stored, block);
        }
    });
}

/// Returns the CPU time of one decision with `targets` targets.
double decisionNanoseconds(std::uint64_t seed, double targets)
{
    constexpr int kDecisions = 20'000;
    Scenario scenario = makeScenario({ .targets = toCount(targets), .blocks = 50'000 }, seed);
    const double total = cpuNanoseconds(kRepeats, [&scenario] {
        for (std::size_t i = 0; i < kDecisions; ++i)
            decideOnce(scenario, scenario.requests[i % scenario.requests.size()]);
    });
    return total / kDecisions;
}

/// Fills the sample windows of `health` with random times.
void recordJobs(routing::TargetHealth &health, routing::Random &random, TimePoint now)
{
    using std::chrono::microseconds;
    for (std::size_t i = 0; i < routing::RatioWindow::kCapacity; ++i) {
        const std::uint64_t job = random();
        const routing::JobTimes times{ job, microseconds(50'000 + random() % 100'000),
                                       microseconds(100'000) };
        routing::recordFirstToken(health, times, now);
        routing::recordInterToken(health, times, now);
    }
}

/// Returns the CPU time of one health update of a pool in which every target has full sample
/// windows. Each update has new samples, because with the same ones the branch predictor of the
/// processor would learn the branches.
double healthNanoseconds(std::uint64_t seed, double targets)
{
    routing::Random random(seed);
    std::vector<routing::TargetHealth> pool(toCount(targets));
    const routing::HealthOptions options;
    TimePoint now = kNow;
    double minNanoseconds = std::numeric_limits<double>::max();
    for (int i = 0; i < kRepeats; ++i) {
        now += options.updateInterval;
        for (routing::TargetHealth &health : pool)
            recordJobs(health, random, now);
        const double time = cpuNanoseconds(1, [&] { routing::updateHealth(pool, options, now); });
        minNanoseconds = std::min(minNanoseconds, time);
    }
    return minNanoseconds;
}

/// Returns the CPU time of one lookup of a chain of `blocks` blocks that are all in the index.
double lookupNanoseconds(std::uint64_t seed, double blocks)
{
    constexpr std::size_t kChains = 256;
    routing::Random random(seed);
    prefix::BlockIndex index;
    fillIndex(index, kFollowedEngines, ScenarioSize().blocks, random, kNow);
    const prefix::HolderSlot slot = index.beginLife({ 1, 1 }, true);
    std::vector<std::vector<std::uint64_t>> chains(kChains);
    for (auto &chain : chains) {
        chain.resize(toCount(blocks));
        std::ranges::generate(chain, random);
        index.recordPlacement(slot, chain, kNow);
    }
    std::array<prefix::PrefixHolder, routing::kMaxCandidates> out;
    const double total = cpuNanoseconds(kRepeats, [&] {
        for (const auto &chain : chains)
            index.findHolders(chain, kNow, out);
    });
    return total / kChains;
}

/// Returns the heap bytes of the shares and retry budgets of `customers` customers that each have a
/// request in progress.
double customerBytes(double customers)
{
    return retainedBytes([&] {
        admission::PoolAdmission pool;
        pool.shares.setCapacity(1ULL << 40U);
        admission::TargetAdmission target;
        target.limit.limit = 1e6;
        admission::applyLimit(target, pool);
        for (std::uint64_t i = 0; i < toCount(customers); ++i) {
            const std::uint64_t customer = i * 0x9e3779b97f4a7c15ULL;
            admission::admit(pool, target, { .customer = customer, .totalTokens = 10 }, {}, kNow);
        }
        return pool;
    });
}

/// Returns the traffic of the membership protocol with `members` members. Each number of members is
/// measured only once, because two slopes use the result.
const TrafficResult &memberTraffic(std::uint64_t seed, double members)
{
    static std::map<double, TrafficResult> results;
    const auto found = results.find(members);
    if (found != results.end())
        return found->second;
    return results.emplace(members, measureTraffic(toCount(members), seed)).first->second;
}

} // namespace

int main(int argc, char **argv)
{
    const BenchArguments arguments = parseArguments(
            argc, argv, "Measures how costs grow with size and fits a line to each.");
    const auto start = std::chrono::steady_clock::now();
    const std::uint64_t seed = arguments.seed;
    const std::array slopes{
        Slope{ .name = "index_memory_per_block",
               .unit = "bytes",
               .sizes = { 25'000, 50'000, 100'000, 200'000, 400'000, 800'000 },
               .cost = [seed](double size) { return indexBytes(seed, size); } },
        Slope{ .name = "index_cpu_per_event",
               .unit = "ns",
               .sizes = { 25'000, 50'000, 100'000, 200'000 },
               .cost = [seed](double size) { return eventNanoseconds(seed, size); } },
        Slope{ .name = "decision_cpu_per_target",
               .unit = "ns",
               .sizes = { 54, 108, 215, 430, 860 },
               .cost = [seed](double size) { return decisionNanoseconds(seed, size); } },
        Slope{ .name = "index_lookup_cpu_per_block",
               .unit = "ns",
               .sizes = { 4, 8, 16, 32, 64 },
               .cost = [seed](double size) { return lookupNanoseconds(seed, size); } },
        Slope{ .name = "health_update_cpu_per_target",
               .unit = "ns",
               .sizes = { 54, 108, 215, 430, 860 },
               .cost = [seed](double size) { return healthNanoseconds(seed, size); } },
        Slope{ .name = "admission_memory_per_customer",
               .unit = "bytes",
               .sizes = { 2'625, 5'250, 10'500, 21'000, 42'000 },
               .cost = customerBytes },
        Slope{ .name = "membership_bytes_per_peer",
               .unit = "B/s",
               .sizes = { 10, 60, 180, 360 },
               .cost =
                       [seed](double size) {
                           return memberTraffic(seed, size).steadyBytesPerSecond;
                       } },
        Slope{ .name = "membership_cpu_per_peer",
               .unit = "ns/s",
               .sizes = { 10, 60, 180, 360 },
               .cost = [seed](double size) { return memberTraffic(seed, size).cpuCores * 1e9; } },
    };
    std::vector<Row> rows;
    std::ranges::transform(slopes, std::back_inserter(rows), measureSlope);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    return writeReport("slopes", arguments, elapsed.count(), rows);
}
