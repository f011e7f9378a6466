#pragma once

#include "admission/types.h"

#include <array>

namespace chervilfield::admission {

struct ConcurrencyLimitOptions
{
    double initial = 16;
    double least = 2;
    double most = 512;
    double tolerance = 1.5; ///< Factor on the unloaded first-token time that is accepted.
    /// Delay that is accepted in addition, by class.
    std::array<std::chrono::milliseconds, kWorkClasses> allowedDelay{
        std::chrono::milliseconds(150), std::chrono::milliseconds(2'000)
    };
    // Increase, decrease and interval gave the most first tokens on time in a search over 36
    // combinations; bench `decision` compares the result with other limits.
    double increase = 32;   ///< Increase over one limit's worth of good samples.
    double decrease = 0.95; ///< Factor of one decrease.
    double failure = 0.7;   ///< Factor of one decrease after a failure.
    std::chrono::milliseconds decreaseInterval{ 500 }; ///< Least time between two decreases.
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
    WorkClass workClass = WorkClass::Short;
    std::chrono::microseconds observed{ 0 };  ///< Time from dispatch to the first token.
    std::chrono::microseconds predicted{ 0 }; ///< The same as predicted without load.
    bool failed = false;                      ///< The target refused, failed or timed out.
    std::uint32_t running = 0; ///< Work in progress on the target when the sample was taken.
};

/// Returns the longest first-token time that does not count as overload.
std::chrono::duration<double> acceptedFirstToken(const LimitSample &sample,
                                                 const ConcurrencyLimitOptions &options);

/// Moves the limit by one sample. It grows only while at least half of it is in use; otherwise the
/// samples say nothing about a higher limit.
void updateLimit(ConcurrencyLimit &limit, const LimitSample &sample,
                 const ConcurrencyLimitOptions &options, TimePoint now);

} // namespace chervilfield::admission
