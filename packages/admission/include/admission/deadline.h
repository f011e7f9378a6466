#pragma once

#include "admission/types.h"

#include <optional>

namespace chervilfield::admission {

struct DeadlineOptions
{
    double safetyFactor =
            1.2; ///< Factor on the expected time, for what the prediction does not see.
};

/// Expected time until a request's answer, here and in the best other data centre.
struct ExpectedLatency
{
    std::chrono::microseconds local{ 0 };
    std::optional<std::chrono::microseconds>
            otherDataCentre{}; ///< Includes the path there and back.
};

enum class Locality { Local, OtherDataCentre, None };

/// Chooses where the request meets its deadline; `Here` whenever that is possible. `Nowhere` means
/// that the request is refused with `deadlineRefusal()`. No deadline is always met.
Locality chooseLocality(const ExpectedLatency &expectedLatency, std::optional<TimePoint> deadline,
                        const DeadlineOptions &options, TimePoint now);

/// Returns the refusal `DeadlineUnreachable`, with the time by which the wait would have to shrink,
/// or without a retry time if the deadline has passed.
Refusal deadlineRefusal(const ExpectedLatency &expectedLatency, TimePoint deadline,
                        const DeadlineOptions &options, TimePoint now);

} // namespace chervilfield::admission
