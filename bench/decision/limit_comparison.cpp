#include "limit_comparison.h"

#include "admission/class_budget.h"
#include "admission/concurrency_limit.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <random>
#include <string>

namespace chervilfield::bench {

namespace {

using admission::LimitSample;
using admission::TimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Parameters of the simulated engine. It prefills requests in order of arrival, short requests
// first; each request in decode takes a fixed share of the engine's time from prefill.
constexpr double kPrefillTokensPerMs = 40;
constexpr double kPrefillShareLostPerDecode = 0.008;
constexpr double kDecodeMsPerToken = 25;
constexpr double kLongShare = 0.1;
constexpr std::uint64_t kMaxPrefillTokens = 400'000;

// Maximum delay of a first token that is on time, by class. The delay is the time beyond that of an
// idle engine. 370 ms is the target of design 1.8; long requests can wait.
constexpr std::array<double, 2> kMaxDelayMs{ 370, 3'000 };

// The engine is slowed during part of the run.
constexpr int kDurationMs = 120'000;
constexpr int kSlowStartMs = 50'000;
constexpr int kSlowEndMs = 70'000;
constexpr double kSlowdownFactor = 3;

/// A request that waits for prefill.
struct Job
{
    admission::WorkClass workClass = admission::WorkClass::Short;
    int arrivalMs = 0;
    double prefillTokens = 0;
    double outputMs = 0;
};

/// Returns the new concurrency limit after a sample.
using Policy = std::function<double(const LimitSample &, TimePoint)>;

/// Results of one simulated run.
struct Outcome
{
    double onTimePerSecond = 0; ///< First tokens on time.
    double delayP99Ms = 0;      ///< Delay of the first tokens of short requests.
};

/// Simulates one engine behind a concurrency limit in steps of 1 ms. Requests above the limit are
/// rejected and not repeated.
class Simulation
{
public:
    Simulation(double requestsPerSecond, std::uint64_t seed)
        : random_(seed), arrivalsPerMs_(requestsPerSecond / 1000)
    {
    }

    Outcome run(double limit, const Policy &policy)
    {
        setLimit(limit);
        for (now_ = 0; now_ < kDurationMs; ++now_) {
            admitArrivals();
            finishDecoding();
            prefill(policy);
        }
        return { 1000.0 * onTime_ / kDurationMs, percentile(delays_, 0.99) };
    }

private:
    /// A request in decode.
    struct Decode
    {
        admission::WorkClass workClass;
        double endMs;
    };

    void setLimit(double limit)
    {
        admission::setLimits(budget_, { static_cast<std::uint32_t>(limit), kMaxPrefillTokens }, {});
    }

    void finishDecoding()
    {
        std::erase_if(decoding_, [this](const Decode &decode) {
            const bool ended = decode.endMs <= now_;
            if (ended)
                admission::release(budget_, decode.workClass);
            return ended;
        });
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    void admitArrivals()
    {
        for (int n = std::poisson_distribution<int>(arrivalsPerMs_)(random_); n > 0; --n) {
            const bool isLong = uniform(0, 1) < kLongShare;
            const double tokens = isLong ? uniform(10'000, 40'000) : uniform(200, 4'000);
            const double output = uniform(60, 400) * kDecodeMsPerToken;
            const auto workClass =
                    isLong ? admission::WorkClass::Long : admission::WorkClass::Short;
            if (admission::tryReserve(budget_, workClass, static_cast<std::uint64_t>(tokens)))
                waiting_[isLong ? 1 : 0].push_back({ workClass, now_, tokens, output });
        }
    }

    void prefill(const Policy &policy)
    {
        const bool slowed = now_ >= kSlowStartMs && now_ < kSlowEndMs;
        const double prefillShare = std::max(
                0.1, 1 - kPrefillShareLostPerDecode * static_cast<double>(decoding_.size()));
        double tokens = kPrefillTokensPerMs * prefillShare / (slowed ? kSlowdownFactor : 1);
        for (auto &queue : waiting_) {
            while (!queue.empty() && tokens > 0) {
                Job &job = queue.front();
                const double done = std::min(tokens, job.prefillTokens - progress(job));
                tokens -= done;
                progress(job) += done;
                if (progress(job) < job.prefillTokens)
                    break;
                completePrefill(job, slowed, policy);
                queue.pop_front();
            }
        }
    }

    /// Returns the prefilled tokens of `job`, which must be the first of its queue.
    double &progress(const Job &job)
    {
        return progress_[!waiting_[0].empty() && &waiting_[0].front() == &job ? 0 : 1];
    }

    void completePrefill(Job &job, bool slowed, const Policy &policy)
    {
        progress(job) = 0;
        const double idleMs = job.prefillTokens / kPrefillTokensPerMs;
        const double observedMs = now_ + 1 - job.arrivalMs;
        const double delay = observedMs - idleMs;
        const auto classIndex = static_cast<std::size_t>(job.workClass);
        onTime_ += delay <= kMaxDelayMs[classIndex] ? 1 : 0;
        if (job.workClass == admission::WorkClass::Short)
            delays_.push_back(delay);
        admission::finishPrefill(budget_, job.workClass,
                                 static_cast<std::uint64_t>(job.prefillTokens));
        decoding_.push_back(
                { job.workClass, now_ + job.outputMs * (slowed ? kSlowdownFactor : 1) });
        const LimitSample sample{ .workClass = job.workClass,
                                  .observedFirstToken =
                                          microseconds(std::llround(observedMs * 1000)),
                                  .predictedFirstToken = microseconds(std::llround(idleMs * 1000)),
                                  .running = budget_.usage[0].running + budget_.usage[1].running };
        setLimit(policy(sample, TimePoint(milliseconds(now_ + 1'000))));
    }

    std::mt19937_64 random_;
    double arrivalsPerMs_;
    admission::TargetBudget budget_;
    int now_ = 0;
    double onTime_ = 0;
    std::array<std::deque<Job>, 2> waiting_;
    std::array<double, 2> progress_{};
    std::vector<Decode> decoding_;
    std::vector<double> delays_;
};

Outcome runAdaptive(double load, std::uint64_t seed)
{
    admission::ConcurrencyLimit limit;
    const admission::ConcurrencyLimitOptions options;
    return Simulation(load, seed).run(limit.limit, [&](const LimitSample &sample, TimePoint now) {
        admission::updateLimit(limit, sample, options, now);
        return limit.limit;
    });
}

/// Runs a gradient limit: each sample scales the limit by the ratio of the accepted to the observed
/// first-token time and adds the square root of the limit; the result is smoothed over samples.
/// The smoothing factor is that of the best of 12 combinations of smoothing factor and addend.
Outcome runGradient(double load, std::uint64_t seed)
{
    constexpr double kSmoothing = 0.1;
    const admission::ConcurrencyLimitOptions options;
    double limit = options.initialLimit;
    return Simulation(load, seed).run(limit, [&](const LimitSample &sample, TimePoint) {
        if (2 * sample.running < limit)
            return limit;
        const std::chrono::duration<double> observed = sample.observedFirstToken;
        const double gradient =
                std::clamp(admission::maxFirstTokenTime(sample, options) / observed, 0.5, 1.0);
        const double gradientLimit = limit * gradient + std::sqrt(limit);
        limit = std::clamp((1 - kSmoothing) * limit + kSmoothing * gradientLimit, options.minLimit,
                           options.maxLimit);
        return limit;
    });
}

Outcome runFixed(double load, std::uint64_t seed, double limit)
{
    return Simulation(load, seed).run(limit, [limit](const LimitSample &, TimePoint) {
        return limit;
    });
}

/// Returns the outcome of the fixed limit that has the most first tokens on time at this load.
Outcome runBestFixed(double load, std::uint64_t seed)
{
    Outcome best;
    for (const double limit : { 4, 8, 12, 16, 24, 32, 48, 64, 96, 128 }) {
        const Outcome outcome = runFixed(load, seed, limit);
        if (outcome.onTimePerSecond > best.onTimePerSecond)
            best = outcome;
    }
    return best;
}

Outcome mean(const std::vector<Outcome> &outcomes)
{
    Outcome result;
    for (const Outcome &outcome : outcomes) {
        result.onTimePerSecond += outcome.onTimePerSecond / static_cast<double>(outcomes.size());
        result.delayP99Ms += outcome.delayP99Ms / static_cast<double>(outcomes.size());
    }
    return result;
}

} // namespace

std::vector<Row> compareLimits(std::uint64_t seed)
{
    constexpr std::uint64_t kSeeds = 3;
    std::vector<Outcome> adaptive;
    std::vector<Outcome> gradient;
    std::vector<Outcome> bestFixed;
    std::vector<Outcome> unlimited;
    for (const double load : { 4.0, 8.0, 16.0, 24.0 }) {
        for (std::uint64_t i = 0; i < kSeeds; ++i) {
            adaptive.push_back(runAdaptive(load, seed + i));
            gradient.push_back(runGradient(load, seed + i));
            bestFixed.push_back(runBestFixed(load, seed + i));
            unlimited.push_back(
                    runFixed(load, seed + i, admission::ConcurrencyLimitOptions().maxLimit));
        }
    }
    Row onTime{ .name = "limit_on_time_per_s", .unit = "1/s" };
    Row delay{ .name = "limit_short_delay_p99_ms", .unit = "ms" };
    onTime.value = mean(adaptive).onTimePerSecond;
    delay.value = mean(adaptive).delayP99Ms;
    const auto addBaseline = [&](const std::string &name, const std::vector<Outcome> &outcomes) {
        onTime.baselines[name] = mean(outcomes).onTimePerSecond;
        delay.baselines[name] = mean(outcomes).delayP99Ms;
    };
    addBaseline("gradient", gradient);
    addBaseline("best_fixed_per_load", bestFixed);
    addBaseline("unlimited", unlimited);
    return { onTime, delay };
}

} // namespace chervilfield::bench
