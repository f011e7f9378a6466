#pragma once

#include "performance/performance_model.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace chervilfield::performance {

/// Times of answers of the targets of one pool as several instances observe them. The times follow
/// other constants than the prediction of the model, and vary at random.
class PerformanceWorld
{
public:
    struct Options
    {
        std::size_t instances = 90;
        std::size_t targets = 60;
        double samplesPerSecond = 0.2; ///< Per instance and target.
        bool isSharing = true;
        std::uint64_t seed = 1;
        PerformanceOptions model;
    };

    explicit PerformanceWorld(const Options &options)
        : options_(options), models_(options.instances, PerformanceModel(options.model)),
          startedAt(options.targets, 1), random_(options.seed)
    {
        retainAll();
    }

    /// Tells all instances the current runs.
    void retainAll()
    {
        std::vector<TargetRun> runs;
        for (std::size_t i = 0; i < options_.targets; ++i)
            runs.push_back({ "p", keyOf(i), startedAt[i] });
        for (PerformanceModel &model : models_)
            model.retain(runs, now);
    }

    void run(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds kTick(100);
        for (const Time end = now + time; now < end; now += kTick) {
            const double count = options_.samplesPerSecond * Seconds(kTick).count()
                                 * static_cast<double>(options_.targets);
            for (std::size_t i = 0; i < models_.size(); ++i) {
                for (int n = std::poisson_distribution<int>(count)(random_); n > 0; --n)
                    observe(i, std::uniform_int_distribution<std::size_t>(0, options_.targets
                                                                                     - 1)(random_));
            }
            if (options_.isSharing && models_.size() > 1)
                share();
        }
    }

    /// Adds an instance that has no observations.
    PerformanceModel &startInstance()
    {
        models_.emplace_back(options_.model);
        retainAll();
        return models_.back();
    }

    TargetFigures figures(std::size_t instance, std::size_t target) const
    {
        return models_[instance].figures("p", keyOf(target), startedAt[target], slots, now);
    }

    double steadyRelativeTime(std::size_t instance, std::size_t target) const
    {
        return models_[instance].steadyRelativeTime("p", keyOf(target), startedAt[target], now);
    }

    bool hasDifferences(std::size_t instance) const
    {
        return models_[instance].hasDifferences("p", now);
    }

    PerformanceModel &model(std::size_t instance) { return models_[instance]; }

    static std::uint64_t keyOf(std::size_t target) { return (target + 1) * 0x9e3779b97f4a7c15U; }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }

    // Times of an engine: fixed time, prefill of the prompts before and of its own, and a delay for
    // each running request. One in twenty takes several times as long.
    void observe(std::size_t instance, std::size_t target)
    {
        Sample sample{ .requestsAtSend = std::floor(uniform(0, slots)),
                       .waitingTokensAtSend = uniform(0, 1) < 0.3 ? uniform(0, 8000) : 0,
                       .slowness = std::exp(uniform(-0.3, 0.3)),
                       .slots = slots };
        const double kind = uniform(0, 1);
        sample.uncachedTokens = kind < 0.85 ? 383 : kind < 0.97 ? 3720 : 17'020;
        const double tokens = sample.uncachedTokens + sample.waitingTokensAtSend;
        const double work = 0.008 + tokens / 63'900 + 0.001 * sample.requestsAtSend;
        const double factor = relativeTime(target) * sample.slowness * instanceSlowness(instance)
                              * std::exp(std::normal_distribution<double>(0, 0.3)(random_))
                              * (uniform(0, 1) < 0.05 ? uniform(2, 8) : 1);
        sample.timeToFirstEvent = Seconds(work * factor);
        models_[instance].record("p", keyOf(target), startedAt[target], sample, now);
        if (!eventInterval)
            return;
        Sample interval = sample;
        interval.timeToFirstEvent = Seconds(0);
        interval.eventInterval = eventInterval(target, sample.requestsAtSend + 1)
                                 * relativeTime(target) * sample.slowness
                                 * instanceSlowness(instance)
                                 * std::exp(std::normal_distribution<double>(0, 0.3)(random_));
        models_[instance].record("p", keyOf(target), startedAt[target], interval, now);
    }

    // Each instance sends 20 figures per second to one other instance, within 1 KB/s.
    void share()
    {
        for (std::size_t i = 0; i < models_.size(); ++i) {
            if (uniform(0, 1) >= 0.1)
                continue;
            auto shared = models_[i].takeShared(20, now);
            if (corrupt)
                corrupt(i, shared);
            auto receiver =
                    std::uniform_int_distribution<std::size_t>(0, models_.size() - 2)(random_);
            receiver += receiver >= i ? 1 : 0;
            models_[receiver].mergeShared(i, shared, now);
        }
    }

    Options options_;
    std::vector<PerformanceModel> models_;

public:
    std::vector<std::uint64_t> startedAt; ///< By target.
    Time now{ std::chrono::hours(1) };
    double slots = 24;
    /// True relative time of a target.
    std::function<double(std::size_t target)> relativeTime = [](std::size_t) { return 1; };
    /// Factor on all times that an instance observes.
    std::function<double(std::size_t instance)> instanceSlowness = [](std::size_t) { return 1; };
    /// Time between two events of a usual target with this many concurrent requests; not observed
    /// if unset, as at plain services.
    std::function<Seconds(std::size_t target, double concurrency)> eventInterval =
            [](std::size_t, double concurrency) { return Seconds(0.004 + 0.0001 * concurrency); };
    /// Changes the figures that an instance sends.
    std::function<void(std::size_t instance, std::vector<SharedFigures> &)> corrupt;

private:
    std::mt19937_64 random_;
};

} // namespace chervilfield::performance
