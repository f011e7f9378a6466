#include "routing/target_health.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

namespace chervilfield::routing {

namespace {

// Ratios outside this range carry no further information and would dominate averages elsewhere.
constexpr float kMinRatio = 0.05F;
constexpr float kMaxRatio = 100.0F;

/// Slowness of one target relative to its pool, if there is enough evidence.
struct Judgement
{
    std::size_t target = 0;
    double slowness = 1;
};

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

void recordPeer(RatioWindow &window, std::uint64_t peer, float ratio, TimePoint now)
{
    if (ratio > 0)
        insert(window, { peer, now, std::clamp(ratio, kMinRatio, kMaxRatio), true });
}

double middle(std::span<double> values)
{
    const auto half = static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), values.begin() + half, values.end());
    const double upper = values[static_cast<std::size_t>(half)];
    if (values.size() % 2 == 1)
        return upper;
    return (upper + *std::max_element(values.begin(), values.begin() + half)) / 2;
}

enum class Source { All, Own };

std::optional<double> windowMedian(const RatioWindow &window, Source source, std::size_t minSamples,
                                   const HealthOptions &options, TimePoint now)
{
    std::array<double, RatioWindow::kCapacity> ratios{};
    std::size_t count = 0;
    for (const RatioWindow::Sample &sample : window.samples) {
        const bool wanted = source == Source::All || !sample.fromPeer;
        if (wanted && sample.ratio > 0 && now - sample.at <= options.window)
            ratios[count++] = sample.ratio;
    }
    if (count < std::max<std::size_t>(minSamples, 1))
        return std::nullopt;
    return middle(std::span(ratios).first(count));
}

/// Raises `slowness` of each judged target to its ratio of one kind, relative to the pool's median.
void judgeBy(RatioWindow TargetHealth::*window, std::span<const TargetHealth> pool,
             const HealthOptions &options, TimePoint now,
             std::vector<std::optional<double>> &slowness)
{
    std::vector<Judgement> judged;
    std::vector<double> medians;
    for (std::size_t i = 0; i < pool.size(); ++i) {
        if (const auto median =
                    windowMedian(pool[i].*window, Source::All, options.minSamples, options, now)) {
            judged.push_back({ i, *median });
            medians.push_back(*median);
        }
    }
    if (judged.size() < std::max<std::size_t>(options.minTargets, 1))
        return;
    // Of two middle values the lower one: a slowed half must not make itself the measure.
    const auto half = static_cast<std::ptrdiff_t>((medians.size() - 1) / 2);
    std::nth_element(medians.begin(), medians.begin() + half, medians.end());
    const double poolMedian = medians[static_cast<std::size_t>(half)];
    for (const Judgement &judgement : judged) {
        std::optional<double> &value = slowness[judgement.target];
        value = std::max(value.value_or(0), judgement.slowness / poolMedian);
    }
}

/// Marks the slowest targets as reduced, up to the cap. Hysteresis keeps a target that is reduced
/// until its slowness falls below `healthyRatio`. Recovering targets use what the cap leaves; those
/// beyond it return to full weight at once.
void chooseReduced(std::span<TargetHealth> pool, const HealthOptions &options)
{
    std::vector<TargetHealth *> lowered;
    for (TargetHealth &health : pool) {
        const double threshold = health.reduced ? options.healthyRatio : options.slowRatio;
        health.reduced = health.slowness >= threshold;
        if (health.reduced || health.weight < 1)
            lowered.push_back(&health);
    }
    const auto cap =
            static_cast<std::size_t>(options.maxReducedShare * static_cast<double>(pool.size()));
    if (lowered.size() <= cap)
        return;
    std::ranges::sort(lowered, [](const TargetHealth *a, const TargetHealth *b) {
        return std::pair(a->reduced, a->slowness) > std::pair(b->reduced, b->slowness);
    });
    for (TargetHealth *health : std::span(lowered).subspan(cap)) {
        health->reduced = false;
        health->weight = 1;
    }
}

void moveWeight(TargetHealth &health, const HealthOptions &options)
{
    const double wanted =
            health.reduced ? std::clamp(1 / health.slowness, options.minWeight, 1.0) : 1.0;
    if (wanted < health.weight)
        health.weight = std::max(wanted, health.weight * options.minFallFactor);
    else
        health.weight = std::min(wanted, health.weight + options.maxRisePerUpdate);
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
    judgeBy(&TargetHealth::firstToken, pool, options, now, slowness);
    judgeBy(&TargetHealth::interToken, pool, options, now, slowness);
    for (std::size_t i = 0; i < pool.size(); ++i) {
        pool[i].updatedAt = now;
        if (slowness[i])
            pool[i].slowness = *slowness[i];
        else if (now - pool[i].lastSampleAt > options.sampleTimeout)
            pool[i].slowness = 1;
    }
    chooseReduced(pool, options);
    for (TargetHealth &health : pool)
        moveWeight(health, options);
}

bool isProbeDue(const TargetHealth &health, const HealthOptions &options, TimePoint now)
{
    return health.reduced && now - health.lastSampleAt >= options.probeInterval
           && now - health.lastProbeAt >= options.probeInterval;
}

void recordProbe(TargetHealth &health, TimePoint now)
{
    health.lastProbeAt = now;
}

} // namespace chervilfield::routing
