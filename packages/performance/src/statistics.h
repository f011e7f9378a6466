#pragma once

#include "performance/performance_model.h"

#include <vector>

namespace chervilfield::performance::detail {

/// Returns the factor by which a weight decays from `at` to `now`.
double decayFactor(Time at, Time now, Seconds decayTime);

/// Returns the median, and reorders the values, of which there must be at least one.
double median(std::vector<double> &values);

/// A value and its weight in a mean or a median.
struct WeightedValue
{
    double value = 0;
    double weight = 0;
};

/// Returns the mean of the values between the quartiles. Unlike the median, it changes little when
/// half of the targets are fast and half are slow; unlike the mean, it does not follow a few that
/// become slow.
double interquartileMean(std::vector<WeightedValue> values);

/// Returns the weighted median, 0 if there is no value. Sorts the values.
double weightedMedian(std::vector<WeightedValue> &values);

/// What the curve of a target says about its useful concurrency.
struct ConcurrencyOpinion
{
    double usefulConcurrency = 0; ///< As in `SharedFigures`.
    bool isSignificant = false;
};

/// Finds the concurrency from which times grow about as fast as the concurrency, so that more
/// requests at once do not finish earlier than one after the other. `variance` is that of a single
/// logarithm of a time.
ConcurrencyOpinion findUsefulConcurrency(const ConcurrencyCurve &curve, double variance, Time now,
                                         Seconds decayTime);

} // namespace chervilfield::performance::detail
