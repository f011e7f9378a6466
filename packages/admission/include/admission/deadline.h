#pragma once

#include "admission/types.h"

#include <optional>

namespace chervilfield::admission {

struct DeadlineOptions
{
    double safety = 1.2; ///< Factor on the expected time, for what the prediction does not see.
};

/// Expected time until a request's answer, here and in the best other data centre.
struct Expectation
{
    std::chrono::microseconds here{ 0 };
    std::optional<std::chrono::microseconds> elsewhere{}; ///< Includes the path there and back.
};

enum class Place { Here, OtherDataCentre, Nowhere };

/// Chooses where the request meets its deadline; `Here` whenever that is possible. `Nowhere` means
/// that the request is refused with `deadlineRefusal()`. No deadline is always met.
Place placeByDeadline(const Expectation &expectation, std::optional<TimePoint> deadline,
                      const DeadlineOptions &options, TimePoint now);

/// Returns the refusal `DeadlineUnreachable`, with the time by which the wait would have to shrink,
/// or without a retry time if the deadline has passed.
Refusal deadlineRefusal(const Expectation &expectation, TimePoint deadline,
                        const DeadlineOptions &options, TimePoint now);

} // namespace chervilfield::admission
