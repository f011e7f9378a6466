#include "admission/deadline.h"

#include <algorithm>

namespace chervilfield::admission {

namespace {

using Seconds = std::chrono::duration<double>;

bool meets(std::chrono::microseconds expected, TimePoint deadline, const DeadlineOptions &options,
           TimePoint now)
{
    return Seconds(expected) * options.safety <= Seconds(deadline - now);
}

} // namespace

Place placeByDeadline(const Expectation &expectation, std::optional<TimePoint> deadline,
                      const DeadlineOptions &options, TimePoint now)
{
    if (!deadline || meets(expectation.here, *deadline, options, now))
        return Place::Here;
    if (expectation.elsewhere && meets(*expectation.elsewhere, *deadline, options, now))
        return Place::OtherDataCentre;
    return Place::Nowhere;
}

Refusal deadlineRefusal(const Expectation &expectation, TimePoint deadline,
                        const DeadlineOptions &options, TimePoint now)
{
    Refusal refusal{ .result = base::Result::DeadlineUnreachable };
    if (deadline <= now)
        return refusal;
    const std::chrono::microseconds expected =
            std::min(expectation.here, expectation.elsewhere.value_or(expectation.here));
    const Seconds excess = Seconds(expected) * options.safety - Seconds(deadline - now);
    refusal.retryAfter = std::max(std::chrono::ceil<std::chrono::milliseconds>(excess),
                                  std::chrono::milliseconds(0));
    return refusal;
}

} // namespace chervilfield::admission
