#include "statistics.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace chervilfield::performance::detail {

double decayFactor(Time at, Time now, Seconds decayTime)
{
    return now <= at ? 1 : std::exp(-Seconds(now - at) / decayTime);
}

double DecayedMean::weightAt(Time now, Seconds decayTime) const
{
    return weight * decayFactor(at, now, decayTime);
}

double DecayedMean::effectiveCount(Time now, Seconds decayTime) const
{
    return weight > 0 ? weight * weight / squaredWeight * decayFactor(at, now, decayTime) : 0;
}

void DecayedMean::add(double value, double valueWeight, Time now, Seconds decayTime)
{
    const double factor = decayFactor(at, now, decayTime);
    sum = sum * factor + value * valueWeight;
    weight = weight * factor + valueWeight;
    squaredWeight = squaredWeight * factor * factor + valueWeight * valueWeight;
    at = std::max(at, now);
}

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    if (values.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

double interquartileMean(std::vector<WeightedValue> values)
{
    std::ranges::sort(values, {}, &WeightedValue::value);
    double total = 0;
    for (const WeightedValue &value : values)
        total += value.weight;
    double before = 0;
    double sum = 0;
    for (const auto &[value, weight] : values) {
        const double inside =
                std::min(before + weight, 0.75 * total) - std::max(before, 0.25 * total);
        sum += value * std::max(0.0, inside);
        before += weight;
    }
    return total > 0 ? sum / (0.5 * total) : 0;
}

double weightedMedian(std::vector<WeightedValue> &values)
{
    std::ranges::sort(values, {}, &WeightedValue::value);
    double total = 0;
    for (const WeightedValue &value : values)
        total += value.weight;
    double sum = 0;
    for (const auto &[value, weight] : values) {
        sum += weight;
        if (sum >= total / 2)
            return value;
    }
    return 0;
}

ConcurrencyOpinion findUsefulConcurrency(const ConcurrencyCurve &curve, double variance, Time now,
                                         Seconds decayTime)
{
    constexpr double kMinWeight = 2.5;
    constexpr double kMinGrowth = 0.85;
    // Distance of two buckets in the logarithm of concurrency from which growth can be measured.
    constexpr double kMinDistance = 0.3;
    ConcurrencyOpinion result;
    std::optional<std::size_t> previous;
    for (std::size_t i = 0; i < ConcurrencyCurve::kBuckets; ++i) {
        const double weight = curve.logTimes[i].weightAt(now, decayTime);
        if (weight < kMinWeight)
            continue;
        const std::size_t lower = previous.value_or(i);
        previous = i;
        const double distance =
                curve.logConcurrencies[i].mean() - curve.logConcurrencies[lower].mean();
        if (distance < kMinDistance)
            continue;
        const double growth = (curve.logTimes[i].mean() - curve.logTimes[lower].mean()) / distance;
        const double lowerWeight = curve.logTimes[lower].weightAt(now, decayTime);
        const double error = std::sqrt(variance * (1 / weight + 1 / lowerWeight)) / distance;
        if (growth >= kMinGrowth) {
            return { .usefulConcurrency = std::exp(curve.logConcurrencies[lower].mean()),
                     .isSignificant = growth - 2 * error >= kMinGrowth };
        }
        result.usefulConcurrency = kUnlimitedConcurrency;
    }
    return result;
}

} // namespace chervilfield::performance::detail
