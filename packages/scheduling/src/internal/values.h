#pragma once

#include "scheduling/types.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::scheduling::detail {

/// Returns `value`, or 0 if it is negative or not a number.
inline double atLeastZero(double value)
{
    return value > 0 ? value : 0;
}

/// Returns the expected work of a request within bounds that keep time arithmetic from overflowing.
inline Seconds boundedWork(Seconds work)
{
    constexpr double kMaxWorkSeconds = 3600;
    return Seconds(std::min(atLeastZero(work.count()), kMaxWorkSeconds));
}

/// Returns the factor by which an average with this time constant decays in `elapsed`.
inline double decayFactor(Seconds elapsed, Seconds timeConstant)
{
    return std::exp(-(std::max(Seconds(0), elapsed) / timeConstant));
}

} // namespace chervilfield::scheduling::detail
