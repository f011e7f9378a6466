#include "routing/target_health.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

namespace chervilfield::routing {

namespace {

// Ratios outside this range add no information and would dominate averages computed elsewhere.
constexpr float kMinRatio = 0.05F;
constexpr float kMaxRatio = 100.0F;

/// Median ratio of one target that has enough samples.
struct TargetMedian
{
    std::size_t target = 0;
    double median = 1;
};

/// Replaces the sample of the same job or peer if there is one, else the next in the ring buffer.
void insert(RatioWindow &window, const RatioWindow::Sample &added)
{
    const auto known = std::ranges::find_if(window.samples, [&](const RatioWindow::Sample &sample) {
        return sample.ratio > 0 && sample.job == added.job && sample.fromPeer == added.fromPeer;
    });
    if (known != window.samples.end()) {
        *known = added;
        return;
    }
    window.samples[window.next] = added;
    window.next = (window.next + 1) % RatioWindow::kCapacity;
}

void record(RatioWindow &window, const JobTimes &times, TimePoint now)
{
    if (times.predicted <= std::chrono::microseconds::zero())
        return;
    const float ratio = static_cast<float>(times.observed.count())
                        / static_cast<float>(times.predicted.count());
    insert(window, { times.job, now, std::clamp(ratio, kMinRatio, kMaxRatio) });
}

/// Records the median of a peer as one sample; 0 means that the peer has none.
void recordPeer(RatioWindow &window, std::uint64_t peer, float ratio, TimePoint now)
{
    if (ratio > 0)
        insert(window, { peer, now, std::clamp(ratio, kMinRatio, kMaxRatio), true });
}

/// Returns the median of `values`, which must not be empty; reorders them.
double medianOf(std::span<double> values)
{
    const auto half = static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), values.begin() + half, values.end());
    const double upper = values[static_cast<std::size_t>(half)];
    if (values.size() % 2 == 1)
        return upper;
    return (upper + *std::max_element(values.begin(), values.begin() + half)) / 2;
}

/// Samples that a median includes.
enum class Source { All, Own };

/// Returns the median ratio of the samples within `HealthOptions::window`, or `nullopt` if there
/// are fewer than `minSamples`.
std::optional<double> windowMedian(const RatioWindow &window, Source source, std::size_t minSamples,
                                   const HealthOptions &options, TimePoint now)
{
    std::array<double, RatioWindow::kCapacity> ratios{};
    std::size_t count = 0;
    for (const RatioWindow::Sample &sample : window.samples) {
        const bool isIncluded = source == Source::All || !sample.fromPeer;
        if (isIncluded && sample.ratio > 0 && now - sample.at <= options.window)
            ratios[count++] = sample.ratio;
    }
    if (count < std::max<std::size_t>(minSamples, 1))
        return std::nullopt;
    return medianOf(std::span(ratios).first(count));
}

/// Raises `slowness` of each target with enough samples to its median ratio of one kind, relative
/// to the pool's median.
void compareWithPool(RatioWindow TargetHealth::*window, std::span<const TargetHealth> pool,
                     const HealthOptions &options, TimePoint now,
                     std::vector<std::optional<double>> &slowness)
{
    std::vector<TargetMedian> targetMedians;
    std::vector<double> medians;
    for (std::size_t i = 0; i < pool.size(); ++i) {
        if (const auto median =
                    windowMedian(pool[i].*window, Source::All, options.minSamples, options, now)) {
            targetMedians.push_back({ i, *median });
            medians.push_back(*median);
        }
    }
    if (targetMedians.size() < std::max<std::size_t>(options.minTargets, 1))
        return;
    // With an even number of targets the lower of the two middle values is used; otherwise a pool
    // with half of its targets slowed would be compared with a slowed target.
    const auto half = static_cast<std::ptrdiff_t>((medians.size() - 1) / 2);
    std::nth_element(medians.begin(), medians.begin() + half, medians.end());
    const double poolMedian = medians[static_cast<std::size_t>(half)];
    for (const TargetMedian &entry : targetMedians) {
        std::optional<double> &value = slowness[entry.target];
        value = std::max(value.value_or(0), entry.median / poolMedian);
    }
}

/// Marks the slowest targets as reduced, at most `maxReducedShare` of the pool. A reduced target
/// stays reduced until its slowness falls below `healthyRatio` (hysteresis). Recovering targets use
/// the rest of the share. Targets beyond the share return to full weight immediately.
void chooseReduced(std::span<TargetHealth> pool, const HealthOptions &options)
{
    std::vector<TargetHealth *> lowered;
    for (TargetHealth &health : pool) {
        const double threshold = health.isReduced ? options.healthyRatio : options.slowRatio;
        health.isReduced = health.slowness >= threshold;
        if (health.isReduced || health.weight < 1)
            lowered.push_back(&health);
    }
    const auto maxReduced =
            static_cast<std::size_t>(options.maxReducedShare * static_cast<double>(pool.size()));
    if (lowered.size() <= maxReduced)
        return;
    std::ranges::sort(lowered, [](const TargetHealth *a, const TargetHealth *b) {
        return std::pair(a->isReduced, a->slowness) > std::pair(b->isReduced, b->slowness);
    });
    for (TargetHealth *health : std::span(lowered).subspan(maxReduced)) {
        health->isReduced = false;
        health->weight = 1;
    }
}

/// Moves the weight one step towards the value that fits the target's slowness.
void stepWeight(TargetHealth &health, const HealthOptions &options)
{
    const double desired =
            health.isReduced ? std::clamp(1 / health.slowness, options.minWeight, 1.0) : 1.0;
    if (desired < health.weight)
        health.weight = std::max(desired, health.weight * options.minFallFactor);
    else
        health.weight = std::min(desired, health.weight + options.maxRisePerUpdate);
}

} // namespace

void recordFirstToken(TargetHealth &health, const JobTimes &times, TimePoint now)
{
    record(health.firstToken, times, now);
    health.lastSampleAt = now;
}

void recordInterToken(TargetHealth &health, const JobTimes &times, TimePoint now)
{
    record(health.interToken, times, now);
    health.lastSampleAt = now;
}

HealthDigest ownHealth(const TargetHealth &health, const HealthOptions &options, TimePoint now)
{
    const auto median = [&](const RatioWindow &window) {
        return static_cast<float>(windowMedian(window, Source::Own, 1, options, now).value_or(0));
    };
    return { median(health.firstToken), median(health.interToken) };
}

void recordPeerHealth(TargetHealth &health, std::uint64_t peer, const HealthDigest &digest,
                      TimePoint now)
{
    recordPeer(health.firstToken, peer, digest.firstToken, now);
    recordPeer(health.interToken, peer, digest.interToken, now);
    if (digest.firstToken > 0 || digest.interToken > 0)
        health.lastSampleAt = now;
}

void updateHealth(std::span<TargetHealth> pool, const HealthOptions &options, TimePoint now)
{
    if (pool.empty() || now - pool.front().updatedAt < options.updateInterval)
        return;
    std::vector<std::optional<double>> slowness(pool.size());
    compareWithPool(&TargetHealth::firstToken, pool, options, now, slowness);
    compareWithPool(&TargetHealth::interToken, pool, options, now, slowness);
    for (std::size_t i = 0; i < pool.size(); ++i) {
        pool[i].updatedAt = now;
        if (slowness[i])
            pool[i].slowness = *slowness[i];
        else if (now - pool[i].lastSampleAt > options.sampleTimeout)
            pool[i].slowness = 1;
    }
    chooseReduced(pool, options);
    for (TargetHealth &health : pool)
        stepWeight(health, options);
}

bool isProbeDue(const TargetHealth &health, const HealthOptions &options, TimePoint now)
{
    return health.isReduced && now - health.lastSampleAt >= options.probeInterval
           && now - health.lastProbeAt >= options.probeInterval;
}

void recordProbe(TargetHealth &health, TimePoint now)
{
    health.lastProbeAt = now;
}

} // namespace chervilfield::routing
