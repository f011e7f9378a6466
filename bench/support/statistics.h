#pragma once

#include <span>
#include <vector>

namespace chervilfield::bench {

struct Point
{
    double x = 0;
    double y = 0;
};

/// y = intercept + slope * x, with the coefficient of determination.
struct LinearFit
{
    double slope = 0;
    double intercept = 0;
    double r2 = 0;
};

/// Fits a line by least squares; needs at least two different x.
LinearFit fitLine(std::span<const Point> points);

/// Returns the value below which the part `quantile` (0 to 1) of `values` lies; reorders `values`.
double percentile(std::vector<double> &values, double quantile);

} // namespace chervilfield::bench
