#include "limit_comparison.h"
#include "support/decision_scenario.h"
#include "support/measure.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace {

using namespace chervilfield::bench;

constexpr int kWarmUp = 10'000;
constexpr int kDecisions = 100'000;

struct DecisionTimes
{
    std::vector<double> microseconds;
    double allocations = 0; ///< Per decision.
    double admitted = 0;    ///< Share of the decisions.
};

/// Measures the time of each decision with warm caches.
DecisionTimes measureDecisions(Scenario &scenario)
{
    using Clock = std::chrono::steady_clock;
    DecisionTimes times;
    times.microseconds.reserve(kDecisions);
    const auto request = [&scenario](int i) -> const ScenarioRequest & {
        return scenario.requests[static_cast<std::size_t>(i) % scenario.requests.size()];
    };
    for (int i = 0; i < kWarmUp; ++i)
        decideOnce(scenario, request(i));
    const HeapUse before = heapUse();
    int admitted = 0;
    for (int i = 0; i < kDecisions; ++i) {
        scenario.now += std::chrono::microseconds(100);
        const Clock::time_point start = Clock::now();
        admitted += decideOnce(scenario, request(i)) ? 1 : 0;
        const std::chrono::duration<double, std::micro> elapsed = Clock::now() - start;
        times.microseconds.push_back(elapsed.count());
    }
    times.allocations =
            static_cast<double>(heapUse().allocations - before.allocations) / kDecisions;
    times.admitted = static_cast<double>(admitted) / kDecisions;
    return times;
}

/// Returns the 99th percentile of the decision time with cold caches, as on a daemon that decides
/// only a few times a second: before each decision, the caches of the core are flushed. A large
/// shared cache may still hold a part of the data.
double coldCacheP99Us(Scenario &scenario)
{
    using Clock = std::chrono::steady_clock;
    constexpr std::size_t kColdDecisions = 1'000;
    constexpr std::size_t kFlushWords = 8'000'000; // 64 MB, more than the private caches of a core.
    std::vector<std::uint64_t> flush(kFlushWords);
    std::vector<double> microseconds;
    for (std::size_t i = 0; i < kColdDecisions; ++i) {
        constexpr std::size_t kWordsPerLine = 8;
        for (std::size_t word = 0; word < kFlushWords; word += kWordsPerLine)
            flush[word] += i;
        const Clock::time_point start = Clock::now();
        decideOnce(scenario, scenario.requests[i]);
        const std::chrono::duration<double, std::micro> elapsed = Clock::now() - start;
        microseconds.push_back(elapsed.count());
    }
    return percentile(microseconds, 0.99);
}

/// Returns the maximum heap bytes per indexed block over several index sizes up to `size.blocks`.
/// Several sizes are measured because the hash table grows in steps.
double bytesPerBlock(const ScenarioSize &size, std::uint64_t seed)
{
    constexpr int kSteps = 16;
    double maxBytes = 0;
    chervilfield::routing::Random random(seed);
    for (int step = kSteps / 2; step <= kSteps; ++step) {
        const std::size_t blocks = size.blocks * static_cast<std::size_t>(step) / kSteps;
        const std::int64_t before = heapUse().liveBytes;
        chervilfield::prefix::BlockIndex index;
        fillIndex(index, size.followedEngines, blocks, random,
                  std::chrono::steady_clock::time_point(std::chrono::hours(1)));
        const auto bytes = static_cast<double>(heapUse().liveBytes - before);
        maxBytes = std::max(maxBytes, bytes / static_cast<double>(index.size()));
    }
    return maxBytes;
}

/// Returns the median time of copying the index, which the control thread does to publish it to
/// readers.
double copyMilliseconds(const chervilfield::prefix::BlockIndex &index)
{
    constexpr int kCopies = 21;
    std::vector<double> times;
    std::size_t blocks = 0;
    for (int i = 0; i < kCopies; ++i) {
        const auto start = std::chrono::steady_clock::now();
        chervilfield::prefix::BlockIndex copy(index);
        const std::chrono::duration<double, std::milli> elapsed =
                std::chrono::steady_clock::now() - start;
        copy.sweep(1, start);
        blocks += copy.size();
        times.push_back(elapsed.count());
    }
    return blocks > 0 ? percentile(times, 0.5) : 0;
}

/// Returns the maximum time of one insertion while the index grows to `size.blocks`. The control
/// thread is blocked during an insertion.
double maxInsertionMs(const ScenarioSize &size, std::uint64_t seed)
{
    using chervilfield::prefix::CacheEventKind;
    chervilfield::routing::Random random(seed);
    chervilfield::prefix::BlockIndex index;
    const auto slot = index.beginLife({ 1, 1 }, true);
    const std::chrono::steady_clock::time_point now{ std::chrono::hours(1) };
    double maxMs = 0;
    for (std::uint64_t number = 1; number <= size.blocks; ++number) {
        const std::uint64_t block = random();
        const auto start = std::chrono::steady_clock::now();
        index.applyEvent(slot, { number, CacheEventKind::Stored, { &block, 1 } }, now);
        const std::chrono::duration<double, std::milli> elapsed =
                std::chrono::steady_clock::now() - start;
        maxMs = std::max(maxMs, elapsed.count());
    }
    return maxMs;
}

} // namespace

int main(int argc, char **argv)
{
    const BenchArguments arguments = parseArguments(argc, argv,
                                                    "Measures the choice of a target at the design "
                                                    "scale: index lookup, routing decision and "
                                                    "admission.");
    const auto start = std::chrono::steady_clock::now();
    const ScenarioSize size;
    const double memory = bytesPerBlock(size, arguments.seed);
    Scenario scenario = makeScenario(size, arguments.seed);
    DecisionTimes times = measureDecisions(scenario);
    const double p50 = percentile(times.microseconds, 0.5);
    const double p99 = percentile(times.microseconds, 0.99);
    std::vector<Row> rows{
        { .name = "decision_p99_us",
          .unit = "us",
          .value = p99,
          .goal = Goal::AtMost,
          .target = 50 },
        { .name = "decision_p50_us", .unit = "us", .value = p50 },
        { .name = "decision_cold_p99_us", .unit = "us", .value = coldCacheP99Us(scenario) },
        { .name = "allocations_per_decision", .unit = "1", .value = times.allocations },
        { .name = "bytes_per_block",
          .unit = "bytes",
          .value = memory,
          .goal = Goal::AtMost,
          .target = 24 },
        { .name = "admitted", .unit = "1", .value = times.admitted },
        { .name = "targets", .unit = "1", .value = static_cast<double>(size.targets) },
        { .name = "indexed_blocks",
          .unit = "1",
          .value = static_cast<double>(scenario.index.size()) },
        { .name = "index_copy_ms", .unit = "ms", .value = copyMilliseconds(scenario.index) },
        { .name = "index_longest_insertion_ms",
          .unit = "ms",
          .value = maxInsertionMs(size, arguments.seed) },
    };
    std::ranges::move(compareLimits(arguments.seed), std::back_inserter(rows));
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    return writeReport("decision", arguments, elapsed.count(), rows);
}
