#pragma once

#include "admission/types.h"

#include <array>

namespace chervilfield::admission {

/// Options of the adaptive limit of a target. Limits are numbers of requests in progress.
struct ConcurrencyLimitOptions
{
    double initialLimit = 16; ///< Start value; `updateLimit()` does not apply it.
    double minLimit = 2;
    double maxLimit = 512;
    /// Factor on the predicted first-token time that does not count as overload.
    double latencyTolerance = 1.5;
    /// Delay by class that is accepted in addition to the tolerated first-token time.
    std::array<std::chrono::milliseconds, kWorkClassCount> allowedDelay{
        std::chrono::milliseconds(150), std::chrono::milliseconds(2'000)
    };
    // Of 36 combinations of `additiveIncrease`, `decreaseFactor` and `minDecreaseInterval`, these
    // values gave the most first tokens on time. The benchmark `decision` compares the resulting
    // limit with others.
    /// Increase of the limit after as many good samples as the limit allows concurrent requests.
    double additiveIncrease = 32;
    double decreaseFactor = 0.95;                         ///< Factor of a decrease after overload.
    double failureDecreaseFactor = 0.7;                   ///< Factor of a decrease after a failure.
    std::chrono::milliseconds minDecreaseInterval{ 500 }; ///< Minimum time between two decreases.
};

/// Adaptive limit of the requests in progress on one target: additive increase, multiplicative
/// decrease (AIMD).
struct ConcurrencyLimit
{
    double limit = 16; ///< Requests in progress; the fraction accumulates small increases.
    TimePoint lastDecreaseAt{};
};

/// Observation of one finished prefill or failed request.
struct LimitSample
{
    WorkClass workClass = WorkClass::Short;
    std::chrono::microseconds observedFirstToken{ 0 };  ///< Time from dispatch to the first token.
    std::chrono::microseconds predictedFirstToken{ 0 }; ///< The same time, predicted without load.
    bool hasFailed = false;    ///< The target refused, failed or timed out.
    std::uint32_t running = 0; ///< Requests in progress on the target at the time of the sample.
};

/// Returns the longest first-token time that does not count as overload.
std::chrono::duration<double> maxFirstTokenTime(const LimitSample &sample,
                                                const ConcurrencyLimitOptions &options);

/// Updates the limit with one sample. The limit grows only while at least half of it is in use;
/// otherwise the samples do not show whether the target could take more.
void updateLimit(ConcurrencyLimit &limit, const LimitSample &sample,
                 const ConcurrencyLimitOptions &options, TimePoint now);

} // namespace chervilfield::admission
