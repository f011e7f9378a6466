#include "performance/performance_model.h"

#include "statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace chervilfield::performance {

using detail::decayFactor;
using detail::findUsefulConcurrency;
using detail::interquartileMean;
using detail::median;
using detail::weightedMedian;
using detail::WeightedValue;

using detail::ConcurrencyCurve;
using detail::DecayedMean;

namespace {

// Logarithm of the largest factor between two times that is believed.
constexpr double kMaxLogRatio = 2.1;
// Variance of single samples before any was observed, and the number of samples that it counts for.
constexpr double kPriorVariance = 0.15;
constexpr double kPriorVarianceSamples = 15;
// Lower bound of the variance of single samples: load reports are about this inaccurate.
constexpr double kMinVariance = 0.01;
// Weight at which the confidence is one half: the evidence of four samples of the prior variance.
constexpr double kHalfConfidenceWeight = 4 / kPriorVariance;
// Number of earlier and of later samples that a sample is compared with.
constexpr std::size_t kComparedOnEachSide = 8;
// Step of steady relative times in the logarithm: about a third slower or faster.
constexpr double kStep = 0.3;

// Returns the share of a difference that counts if it is this many standard errors beyond what is
// expected by chance. The share grows gradually, so that figures do not jump.
double countedShare(double errors, double minErrors)
{
    constexpr double kRange = 1;
    return std::clamp((errors - minErrors) / kRange, 0.0, 1.0);
}

bool isBetween(double value, double least, double most)
{
    return value >= least && value <= most; // False for values that are not numbers.
}

bool isValidTime(Seconds time)
{
    constexpr double kMaxSeconds = 600;
    return isBetween(time.count(), 1e-6, kMaxSeconds);
}

bool isValid(const Sample &sample)
{
    constexpr double kMaxTokens = 1e8;
    constexpr double kMaxRequests = 1e6;
    const bool hasFirstEvent = sample.timeToFirstEvent.count() != 0;
    return isBetween(sample.uncachedTokens, 0, kMaxTokens)
           && isBetween(sample.waitingTokensAtSend, 0, kMaxTokens)
           && isBetween(sample.requestsAtSend, 0, kMaxRequests)
           && isBetween(sample.slots, 0, kMaxRequests) && isBetween(sample.slowness, 0, 1e6)
           && (!hasFirstEvent || isValidTime(sample.timeToFirstEvent))
           && (!sample.eventInterval || isValidTime(*sample.eventInterval));
}

// Placement bounds the reported slowness alike.
double boundedSlowness(const Sample &sample)
{
    return std::max(0.5, sample.slowness);
}

std::size_t tokenClass(const Sample &sample)
{
    if (sample.uncachedTokens <= 0)
        return 0;
    if (sample.uncachedTokens <= 512)
        return 1;
    if (sample.uncachedTokens <= 2048)
        return 2;
    return sample.uncachedTokens <= 8192 ? 3 : 4;
}

// Returns the class of 2^n to 2^(n+1) - 1 concurrent requests.
std::size_t loadClass(double concurrency, std::size_t classes)
{
    const double exponent = std::floor(std::log2(std::max(1.0, concurrency)));
    return std::min(classes - 1, static_cast<std::size_t>(exponent));
}

} // namespace

Seconds predictedTime(const Sample &sample, const PerformanceOptions &options)
{
    const double tokens = sample.uncachedTokens + sample.waitingTokensAtSend;
    const double excess = sample.slots > 0 ? std::max(0.0, sample.requestsAtSend + 1 - sample.slots)
                                                     / sample.slots
                                           : 0;
    const Seconds time = options.minTime + Seconds(tokens / options.prefillRate)
                         + options.delayPerRunningRequest * sample.requestsAtSend
                         + options.slotHoldTime * excess;
    return time * boundedSlowness(sample);
}

double PerformanceModel::varianceOf(const Pool &pool) const
{
    const double samples = pool.variance.weight;
    const double sum = pool.variance.mean() * samples + kPriorVariance * kPriorVarianceSamples;
    return std::max(kMinVariance, sum / (samples + kPriorVarianceSamples));
}

PerformanceModel::TargetState *PerformanceModel::addTarget(Pool &pool, std::uint64_t target,
                                                           std::uint64_t startedAt)
{
    const auto found = pool.targets.find(target);
    if (found == pool.targets.end()) {
        if (targetCount() >= options_.maxTargets)
            return nullptr;
        TargetState &state = pool.targets[target];
        state.startedAt = startedAt;
        return &state;
    }
    TargetState &state = found->second;
    if (state.startedAt < startedAt) {
        state = {};
        state.startedAt = startedAt;
    }
    return state.startedAt == startedAt ? &state : nullptr;
}

void PerformanceModel::record(const std::string &poolName, std::uint64_t target,
                              std::uint64_t startedAt, const Sample &sample, Time now)
{
    if (!isValid(sample))
        return;
    Pool &pool = pools_[poolName];
    TargetState *state = addTarget(pool, target, startedAt);
    if (state == nullptr)
        return;
    refresh(poolName, pool, now);
    const double concurrency = sample.requestsAtSend + 1;
    const auto addToCurve = [&](Seconds time) {
        const std::size_t bucket = loadClass(concurrency, ConcurrencyCurve::kBuckets);
        const Seconds decayTime = options_.concurrencyDecayTime;
        state->curve.logTimes[bucket].add(std::log(time.count() / boundedSlowness(sample)), 1, now,
                                          decayTime);
        state->curve.logConcurrencies[bucket].add(std::log(concurrency), 1, now, decayTime);
    };
    if (sample.timeToFirstEvent.count() > 0) {
        const double ratio = sample.timeToFirstEvent / predictedTime(sample, options_);
        observe(pool, target, *state, sample.isRemote ? 1 : 0, sample, std::log(ratio), now);
        // The first event of an engine mainly depends on prompt tokens; see `eventInterval`.
        if (sample.uncachedTokens <= 0)
            addToCurve(sample.timeToFirstEvent);
    }
    if (sample.eventInterval) {
        const double time = sample.eventInterval->count() / boundedSlowness(sample);
        observe(pool, target, *state, 2, sample, std::log(time), now);
        addToCurve(*sample.eventInterval);
    }
}

// Compares the sample with the usual time for its load, and keeps the rest for the comparison with
// samples of other targets.
void PerformanceModel::observe(Pool &pool, std::uint64_t target, const TargetState &state,
                               std::size_t kind, const Sample &sample, double logRatio, Time now)
{
    const std::size_t load = loadClass(sample.requestsAtSend + 1, kLoadClasses);
    DecayedMean &usual =
            pool.usual[(kind * kTokenClasses + tokenClass(sample)) * kLoadClasses + load];
    DecayedMean &usualOfKind = pool.usualOfKind[kind];
    const Seconds usualDecay = options_.usualTimeDecayTime;
    // Combinations of tokens and load with few samples take the mean of their kind.
    constexpr double kMeanWeight = 3;
    const double usualWeight = usual.weightAt(now, usualDecay);
    const bool isFirstOfKind = usualOfKind.weight <= 0;
    const double expected =
            isFirstOfKind ? logRatio
                          : (usual.mean() * usualWeight + usualOfKind.mean() * kMeanWeight)
                                    / (usualWeight + kMeanWeight);
    const double deviation = std::clamp(logRatio - expected, -kMaxLogRatio, kMaxLogRatio);
    const double usualValue = logRatio - state.logRelativeTime;
    // Bounded for the same reason as above.
    const double bounded = isFirstOfKind ? usualValue
                                         : std::clamp(usualValue, expected - kMaxLogRatio,
                                                      expected + kMaxLogRatio);
    usual.add(bounded, 1, now, usualDecay);
    usualOfKind.add(bounded, 1, now, usualDecay);
    pool.recent.push_back(
            { .target = target, .startedAt = state.startedAt, .logRatio = deviation, .at = now });
    compareRecent(pool, now);
}

// Compares samples as soon as there are enough later ones. With earlier samples alone, the first
// ones after a change of the instance's own speed would count against their targets.
void PerformanceModel::compareRecent(Pool &pool, Time now)
{
    while (pool.compared < pool.recent.size()) {
        const std::size_t later = pool.recent.size() - 1 - pool.compared;
        if (later < kComparedOnEachSide
            && now - pool.recent[pool.compared].at < options_.comparisonAge / 2)
            return;
        compare(pool, pool.compared);
        ++pool.compared;
        if (pool.compared > kComparedOnEachSide) {
            pool.recent.pop_front();
            --pool.compared;
        }
    }
}

// Records the difference of a sample to those of other targets before and after it as an
// observation of its target.
void PerformanceModel::compare(Pool &pool, std::size_t index)
{
    const RecentSample &sample = pool.recent[index];
    const auto found = pool.targets.find(sample.target);
    if (found == pool.targets.end() || found->second.startedAt != sample.startedAt)
        return;
    TargetState &state = found->second;
    std::vector<double> others;
    for (std::size_t i = 0; i < std::min(pool.recent.size(), index + kComparedOnEachSide + 1);
         ++i) {
        const RecentSample &other = pool.recent[i];
        if (other.target == sample.target || sample.at - other.at > options_.comparisonAge
            || other.at - sample.at > options_.comparisonAge)
            continue;
        const auto known = pool.targets.find(other.target);
        others.push_back(other.logRatio
                         - (known == pool.targets.end() ? 0 : known->second.logRelativeTime));
    }
    if (others.size() < options_.minComparedSamples)
        return;
    const auto count = static_cast<double>(others.size());
    const double variance = varianceOf(pool);
    // A single sample moves the estimate by a bounded amount, however extreme it is. The bound
    // follows the estimate, so that it does not keep a real change from being learned.
    const double known = state.estimatedLogTime;
    const double maxStep = std::max(0.7, 2.5 * std::sqrt(variance));
    const double middle = median(others);
    const double value = std::clamp(sample.logRatio - middle, known - maxStep, known + maxStep);
    for (double &other : others)
        other = std::abs(other - middle);
    // Standard deviation of the others, as estimated from their median distance. It exceeds the
    // usual one while the instance changes between slow and fast, when samples tell little.
    const double spread = 1.48 * median(others);
    const double certainty = std::min(1.0, variance / std::max(1e-9, spread * spread));
    const Seconds decay = options_.decayTime;
    const double ownWeight = state.logTime.weightAt(sample.at, decay);
    if (ownWeight > 0) {
        const double error = value - state.logTime.mean();
        const double share = ownWeight / (ownWeight + 1);
        pool.variance.add(error * error * share, share, sample.at, options_.usualTimeDecayTime);
    }
    // The variance of a median is pi / 2 times that of a mean.
    constexpr double kMedianVariance = 1.57;
    state.logTime.add(value, certainty / (1 + kMedianVariance / count), sample.at, decay);
}

// Returns the reciprocal of the variance of the own observations. A value that was compared with
// few others is less certain; see `observe`.
double PerformanceModel::evidence(const TargetState &state, double variance, Time now) const
{
    const double count = state.logTime.effectiveCount(now, options_.decayTime);
    const double valueWeight =
            state.logTime.weight > 0 ? state.logTime.squaredWeight / state.logTime.weight : 0;
    return count * valueWeight / variance;
}

// Returns the mean of the own and the shared observations. Values far from their median count as if
// they were at most a factor of two away, so that a faulty instance has little influence.
PerformanceModel::Estimate PerformanceModel::combine(TargetState &state, double sampleVariance,
                                                     Time now) const
{
    constexpr double kMaxDistance = 0.7;
    std::vector<WeightedValue> values;
    // Sum of the weights with decay squared: the variance of the weighted sum.
    double variance = 0;
    double newest = 0; // Decay of the newest evidence.
    const auto add = [&](double value, double weight, Time at) {
        const double decay = decayFactor(at, now, options_.decayTime);
        if (weight <= 0)
            return;
        values.push_back({ value, weight * decay });
        variance += weight * decay * decay;
        newest = std::max(newest, decay);
    };
    add(state.logTime.mean(), evidence(state, sampleVariance, state.logTime.at), state.logTime.at);
    for (const SharedEvidence &shared : state.shared)
        add(shared.logTime, shared.weight, shared.at);
    Estimate estimate{ .state = &state };
    const double center = weightedMedian(values);
    double total = 0;
    for (const auto &[value, weight] : values) {
        estimate.logTime +=
                std::clamp(value, center - kMaxDistance, center + kMaxDistance) * weight;
        total += weight;
    }
    if (total <= 0 || variance <= 0)
        return estimate;
    estimate.logTime /= total;
    estimate.weight = total * total / variance * newest;
    return estimate;
}

// Returns the useful concurrency that most instances with an opinion see, or 0.
double PerformanceModel::combineConcurrency(const TargetState &state, double variance,
                                            Time now) const
{
    constexpr std::size_t kMinOpinions = 3;
    const auto own =
            findUsefulConcurrency(state.curve, variance, now, options_.concurrencyDecayTime);
    std::vector<double> opinions;
    if (own.usefulConcurrency > 0)
        opinions.push_back(own.usefulConcurrency);
    for (const SharedEvidence &shared : state.shared) {
        if (shared.usefulConcurrency > 0 && now - shared.at < options_.concurrencyDecayTime)
            opinions.push_back(shared.usefulConcurrency);
    }
    if (opinions.size() >= kMinOpinions) {
        const double middle = median(opinions);
        return middle < kUnlimitedConcurrency ? middle : 0;
    }
    return own.isSignificant ? own.usefulConcurrency : 0;
}

void PerformanceModel::updateSteadyLevel(const std::string &pool, std::uint64_t target,
                                         TargetState &state, Time now) const
{
    constexpr std::size_t kMaxChanges = 64;
    constexpr double kHysteresis = 0.75;
    const double deviation = state.logRelativeTime / kStep - state.steadyLevel;
    if (std::abs(deviation) <= kHysteresis)
        state.steadySince = now;
    if (now - state.steadySince < options_.steadyTime)
        return;
    const int before = state.steadyLevel;
    state.steadyLevel = static_cast<int>(std::round(state.logRelativeTime / kStep));
    if (changes_.size() < kMaxChanges)
        changes_.push_back({ .pool = pool,
                             .target = target,
                             .startedAt = state.startedAt,
                             .before = std::exp(kStep * before),
                             .relativeTime = std::exp(kStep * state.steadyLevel) });
    state.steadySince = now;
}

void PerformanceModel::refresh(const std::string &name, Pool &pool, Time now) const
{
    if (now - pool.refreshedAt < options_.refreshInterval && now >= pool.refreshedAt)
        return;
    pool.refreshedAt = now;
    const double variance = varianceOf(pool);
    std::vector<Estimate> estimates;
    std::vector<WeightedValue> centerValues;
    std::vector<double> limits;
    for (auto &[key, state] : pool.targets) {
        Estimate &estimate = estimates.emplace_back(combine(state, variance, now));
        estimate.target = key;
        state.confidence = estimate.weight / (estimate.weight + kHalfConfidenceWeight);
        centerValues.push_back({ estimate.logTime, state.confidence });
        state.usefulConcurrency = combineConcurrency(state, variance, now);
        if (state.usefulConcurrency > 0)
            limits.push_back(state.usefulConcurrency);
    }
    const double center = interquartileMean(centerValues);
    // Spread of the pool beyond what chance explains, as in a random-effects model.
    double totalWeight = 0;
    double squares = 0;
    // A few targets far from the others are not a spread of the pool; each of them counts alone.
    constexpr double kMaxSquare = 16;
    double boundedSquares = 0;
    double count = 0;
    for (const Estimate &estimate : estimates) {
        if (estimate.weight <= 0)
            continue;
        const double distance = estimate.logTime - center;
        const double square = distance * distance * estimate.weight;
        squares += square;
        boundedSquares += std::min(square, kMaxSquare);
        totalWeight += estimate.weight;
        ++count;
    }
    // Variance of the squares; 2 for a normal distribution, while times have heavier tails.
    constexpr double kSquareVariance = 4;
    // Few targets are compared with each other only, which makes large sums more likely.
    constexpr double kMinCount = 10;
    const double chance = std::sqrt(kSquareVariance * (count + kMinCount));
    const double minSpread = options_.minDifference * options_.minDifference;
    const double spread = totalWeight > 0 ? (squares - count) / totalWeight : 0;
    const double poolErrors = (boundedSquares - count) / chance;
    const double poolSpread =
            spread > minSpread ? spread * countedShare(poolErrors, options_.minPoolErrors) : 0;
    pool.usefulConcurrency = limits.size() * 2 > pool.targets.size() ? median(limits) : 0;
    pool.hasDifferences = pool.usefulConcurrency > 0;
    for (const Estimate &estimate : estimates) {
        TargetState &state = *estimate.state;
        state.logRelativeTime = 0;
        state.estimatedLogTime = 0;
        if (estimate.weight > 0) {
            const double distance = estimate.logTime - center;
            state.estimatedLogTime = std::clamp(distance, -kMaxLogRatio, kMaxLogRatio);
            const double errors = std::abs(distance) * std::sqrt(estimate.weight);
            // The share of the distance that counts: by the spread of the pool, or because the
            // target alone is beyond chance.
            const double byPool = poolSpread / (poolSpread + 1 / estimate.weight);
            const bool hasEnough = estimate.weight * variance >= options_.minSamples;
            const double byTarget = hasEnough ? countedShare(errors, options_.minTargetErrors) : 0;
            const double counted = distance * std::max(byPool, byTarget);
            if (std::abs(counted) >= options_.minDifference / 2
                && std::abs(distance) >= options_.minDifference)
                state.logRelativeTime = std::clamp(counted, -kMaxLogRatio, kMaxLogRatio);
        }
        updateSteadyLevel(name, estimate.target, state, now);
        pool.hasDifferences =
                pool.hasDifferences || state.logRelativeTime != 0 || state.usefulConcurrency > 0;
    }
}

const PerformanceModel::TargetState *PerformanceModel::find(const std::string &poolName,
                                                            std::uint64_t target,
                                                            std::uint64_t startedAt, Time now) const
{
    const auto pool = pools_.find(poolName);
    if (pool == pools_.end())
        return nullptr;
    refresh(poolName, pool->second, now);
    const auto found = pool->second.targets.find(target);
    const bool isSameRun =
            found != pool->second.targets.end() && found->second.startedAt == startedAt;
    return isSameRun ? &found->second : nullptr;
}

TargetFigures PerformanceModel::figures(const std::string &pool, std::uint64_t target,
                                        std::uint64_t startedAt, double slots, Time now) const
{
    TargetFigures result;
    const TargetState *state = find(pool, target, startedAt, now);
    double limit = 0;
    if (state != nullptr) {
        result.relativeTime = std::exp(state->logRelativeTime);
        result.confidence = state->confidence;
        limit = state->usefulConcurrency;
    }
    // A run without own evidence starts with the limit of its pool.
    if (limit <= 0 && pools_.contains(pool))
        limit = pools_.at(pool).usefulConcurrency;
    const double bounded = std::max({ 1.0, slots * options_.minUsefulShare, limit });
    if (limit > 0 && bounded < slots)
        result.usefulConcurrency = bounded;
    return result;
}

double PerformanceModel::steadyRelativeTime(const std::string &pool, std::uint64_t target,
                                            std::uint64_t startedAt, Time now) const
{
    const TargetState *state = find(pool, target, startedAt, now);
    return state == nullptr || state->steadyLevel == 0 ? 1 : std::exp(kStep * state->steadyLevel);
}

bool PerformanceModel::hasDifferences(const std::string &poolName, Time now) const
{
    const auto pool = pools_.find(poolName);
    if (pool == pools_.end())
        return false;
    refresh(poolName, pool->second, now);
    return pool->second.hasDifferences;
}

std::vector<SharedFigures> PerformanceModel::takeShared(std::size_t limit, Time now)
{
    // Older observations than a few samples of the decay time tell nothing.
    constexpr double kMinWeight = 0.2;
    struct Item
    {
        std::uint64_t target = 0;
        TargetState *state = nullptr;
        double variance = 0;
    };
    std::vector<Item> items;
    for (auto &[name, pool] : pools_) {
        const double variance = varianceOf(pool);
        for (auto &[target, state] : pool.targets) {
            if (state.logTime.weightAt(now, options_.decayTime) >= kMinWeight)
                items.push_back({ target, &state, variance });
        }
    }
    // The order of equal times depends on the target, so that it is the same for all runs.
    std::ranges::sort(items, {}, [](const Item &item) {
        return std::pair(item.state->sharedAt, item.target);
    });
    if (items.size() > limit)
        items.resize(limit);
    std::vector<SharedFigures> result;
    for (const auto &[target, state, variance] : items) {
        state->sharedAt = now;
        const auto opinion =
                findUsefulConcurrency(state->curve, variance, now, options_.concurrencyDecayTime);
        result.push_back(
                { .target = target,
                  .startedAt = state->startedAt,
                  .relativeTime =
                          std::exp(std::clamp(state->logTime.mean(), -kMaxLogRatio, kMaxLogRatio)),
                  .usefulConcurrency = opinion.usefulConcurrency,
                  .weight = std::min(evidence(*state, variance, now), options_.maxSharedWeight) });
    }
    return result;
}

void PerformanceModel::mergeShared(std::uint64_t sender, std::span<const SharedFigures> figures,
                                   Time now)
{
    const double maxRatio = std::exp(kMaxLogRatio);
    for (const SharedFigures &entry : figures) {
        if (!isBetween(entry.relativeTime, 1e-3, 1e3) || !isBetween(entry.weight, 0, 1e9)
            || !isBetween(entry.usefulConcurrency, 0, kUnlimitedConcurrency))
            continue;
        for (auto &[name, pool] : pools_) {
            const auto found = pool.targets.find(entry.target);
            if (found == pool.targets.end() || found->second.startedAt != entry.startedAt)
                continue;
            auto &shared = found->second.shared;
            auto known = std::ranges::find(shared, sender, &SharedEvidence::sender);
            if (known == shared.end()) {
                known = shared.size() < options_.maxSharers
                                ? shared.emplace(shared.end())
                                : std::ranges::min_element(shared, {}, &SharedEvidence::at);
            }
            *known = { .sender = sender,
                       .logTime = std::log(std::clamp(entry.relativeTime, 1 / maxRatio, maxRatio)),
                       .usefulConcurrency = entry.usefulConcurrency,
                       .weight = std::min(entry.weight, options_.maxSharedWeight),
                       .at = now };
        }
    }
}

void PerformanceModel::retain(std::span<const TargetRun> runs, Time now)
{
    std::unordered_map<std::string, std::unordered_map<std::uint64_t, std::uint64_t>> listed;
    for (const TargetRun &run : runs)
        listed[run.pool][run.target] = run.startedAt;
    std::erase_if(pools_, [&](const auto &entry) { return !listed.contains(entry.first); });
    for (auto &[name, pool] : pools_) {
        const auto &targets = listed[name];
        std::erase_if(pool.targets, [&](const auto &entry) {
            const auto found = targets.find(entry.first);
            return found == targets.end() || found->second != entry.second.startedAt;
        });
    }
    for (const TargetRun &run : runs)
        addTarget(pools_[run.pool], run.target, run.startedAt);
    for (auto &[name, pool] : pools_)
        refresh(name, pool, now);
}

std::vector<PerformanceChange> PerformanceModel::takeChanges()
{
    return std::exchange(changes_, {});
}

std::size_t PerformanceModel::targetCount() const
{
    return std::accumulate(
            pools_.begin(), pools_.end(), std::size_t{ 0 },
            [](std::size_t sum, const auto &pool) { return sum + pool.second.targets.size(); });
}

} // namespace chervilfield::performance
