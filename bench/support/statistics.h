#pragma once

#include <span>
#include <vector>

namespace chervilfield::bench {

struct Point
{
    double x = 0;
    double y = 0;
};

/// The line y = intercept + slope * x and its coefficient of determination.
struct LinearFit
{
    double slope = 0;
    double intercept = 0;
    double r2 = 0;
};

/// Returns the least-squares line through `points`, which must have at least two different x.
LinearFit fitLine(std::span<const Point> points);

/// Returns the given quantile (0 to 1) of `values`, or 0 if there are none. The rank is rounded up.
/// Reorders `values`.
double percentile(std::vector<double> &values, double quantile);

} // namespace chervilfield::bench
