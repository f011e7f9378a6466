#pragma once

#include "admission/types.h"

namespace chervilfield::admission {

struct ConcurrencyLimitOptions
{
    double initial = 16;
    double least = 2;
    double most = 512;
    double tolerance = 2.0; ///< Ratio of observed to unloaded first-token time that is accepted.
    double decrease = 0.9;  ///< Factor of one decrease.
    double failure = 0.7;   ///< Factor of one decrease after a failure.
    double increase = 1.0;  ///< Increase over one limit's worth of good samples.
    std::chrono::milliseconds decreaseInterval{ 200 }; ///< Least time between two decreases.
};

/// Adaptive limit of the work in progress on one target: additive increase, multiplicative
/// decrease.
struct ConcurrencyLimit
{
    double limit = 16;
    TimePoint decreasedAt{};
};

/// One finished prefill or failed request.
struct LimitSample
{
    double ratio = 1;          ///< Observed first-token time over the one predicted without load.
    bool failed = false;       ///< The target refused, failed or timed out.
    std::uint32_t running = 0; ///< Work in progress on the target when the sample was taken.
};

/// Moves the limit by one sample. It grows only while at least half of it is in use; otherwise the
/// samples say nothing about a higher limit.
void updateLimit(ConcurrencyLimit &limit, const LimitSample &sample,
                 const ConcurrencyLimitOptions &options, TimePoint now);

} // namespace chervilfield::admission
