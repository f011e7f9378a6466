#pragma once

#include "admission/types.h"

#include <optional>

namespace chervilfield::admission {

/// Options of the decision whether a request can meet its deadline.
struct DeadlineOptions
{
    /// Factor on the expected latency that covers what the prediction does not account for.
    double safetyFactor = 1.2;
};

/// Expected time until a request is answered, in this data centre and in the best other one.
struct ExpectedLatency
{
    std::chrono::microseconds local{ 0 };
    /// Includes the network round trip to the other data centre.
    std::optional<std::chrono::microseconds> otherDataCentre{};
};

/// Where a request can meet its deadline.
enum class Locality { Local, OtherDataCentre, None };

/// Returns where the request meets its deadline: `Local` whenever that is possible, and for a
/// request without a deadline. `None` means that the request is to be refused with
/// `deadlineRefusal()`.
Locality chooseLocality(const ExpectedLatency &expectedLatency, std::optional<TimePoint> deadline,
                        const DeadlineOptions &options, TimePoint now);

/// Returns the refusal `DeadlineUnreachable`. Its retry time is the time by which the expected
/// latency would have to shrink, or zero if the deadline has passed.
Refusal deadlineRefusal(const ExpectedLatency &expectedLatency, TimePoint deadline,
                        const DeadlineOptions &options, TimePoint now);

} // namespace chervilfield::admission
