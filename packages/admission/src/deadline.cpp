#include "admission/deadline.h"

#include <algorithm>

namespace chervilfield::admission {

namespace {

using Seconds = std::chrono::duration<double>;

bool meets(std::chrono::microseconds expected, TimePoint deadline, const DeadlineOptions &options,
           TimePoint now)
{
    return Seconds(expected) * options.safetyFactor <= Seconds(deadline - now);
}

} // namespace

Locality chooseLocality(const ExpectedLatency &expectedLatency, std::optional<TimePoint> deadline,
                        const DeadlineOptions &options, TimePoint now)
{
    if (!deadline || meets(expectedLatency.local, *deadline, options, now))
        return Locality::Local;
    if (expectedLatency.otherDataCentre
        && meets(*expectedLatency.otherDataCentre, *deadline, options, now))
        return Locality::OtherDataCentre;
    return Locality::None;
}

Refusal deadlineRefusal(const ExpectedLatency &expectedLatency, TimePoint deadline,
                        const DeadlineOptions &options, TimePoint now)
{
    Refusal refusal{ .result = base::Result::DeadlineUnreachable };
    if (deadline <= now)
        return refusal;
    const std::chrono::microseconds expected = std::min(
            expectedLatency.local, expectedLatency.otherDataCentre.value_or(expectedLatency.local));
    const Seconds excess = Seconds(expected) * options.safetyFactor - Seconds(deadline - now);
    refusal.retryAfter = std::max(std::chrono::ceil<std::chrono::milliseconds>(excess),
                                  std::chrono::milliseconds(0));
    return refusal;
}

} // namespace chervilfield::admission
