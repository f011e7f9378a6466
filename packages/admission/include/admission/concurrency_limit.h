#pragma once

#include "admission/types.h"

#include <array>

namespace chervilfield::admission {

struct ConcurrencyLimitOptions
{
    double initialLimit = 16;
    double minLimit = 2;
    double maxLimit = 512;
    double latencyTolerance = 1.5; ///< Factor on the unloaded first-token time that is accepted.
    /// Delay that is accepted in addition, by class.
    std::array<std::chrono::milliseconds, kWorkClassCount> allowedDelay{
        std::chrono::milliseconds(150), std::chrono::milliseconds(2'000)
    };
    // Increase, decrease and interval gave the most first tokens on time in a search over 36
    // combinations; bench `decision` compares the result with other limits.
    double additiveIncrease = 32;       ///< Increase over one limit's worth of good samples.
    double decreaseFactor = 0.95;       ///< Factor of one decrease.
    double failureDecreaseFactor = 0.7; ///< Factor of one decrease after a failure.
    std::chrono::milliseconds minDecreaseInterval{ 500 }; ///< Least time between two decreases.
};

/// Adaptive limit of the work in progress on one target: additive increase, multiplicative
/// decrease.
struct ConcurrencyLimit
{
    double limit = 16;
    TimePoint lastDecreaseAt{};
};

/// One finished prefill or failed request.
struct LimitSample
{
    WorkClass workClass = WorkClass::Short;
    std::chrono::microseconds observedFirstToken{ 0 };  ///< Time from dispatch to the first token.
    std::chrono::microseconds predictedFirstToken{ 0 }; ///< The same as predicted without load.
    bool hasFailed = false;    ///< The target refused, failed or timed out.
    std::uint32_t running = 0; ///< Work in progress on the target when the sample was taken.
};

/// Returns the longest first-token time that does not count as overload.
std::chrono::duration<double> maxFirstTokenTime(const LimitSample &sample,
                                                const ConcurrencyLimitOptions &options);

/// Moves the limit by one sample. It grows only while at least half of it is in use; otherwise the
/// samples say nothing about a higher limit.
void updateLimit(ConcurrencyLimit &limit, const LimitSample &sample,
                 const ConcurrencyLimitOptions &options, TimePoint now);

} // namespace chervilfield::admission
