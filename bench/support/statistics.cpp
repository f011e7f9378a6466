#include "support/statistics.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace chervilfield::bench {

LinearFit fitLine(std::span<const Point> points)
{
    const auto count = static_cast<double>(points.size());
    double meanX = 0;
    double meanY = 0;
    for (const Point &point : points) {
        meanX += point.x / count;
        meanY += point.y / count;
    }
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (const Point &point : points) {
        xx += (point.x - meanX) * (point.x - meanX);
        xy += (point.x - meanX) * (point.y - meanY);
        yy += (point.y - meanY) * (point.y - meanY);
    }
    const double slope = xy / xx;
    return { .slope = slope,
             .intercept = meanY - slope * meanX,
             .r2 = yy == 0 ? 1 : xy * xy / (xx * yy) };
}

double percentile(std::vector<double> &values, double quantile)
{
    if (values.empty())
        return 0;
    const auto last = static_cast<double>(values.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(std::ceil(quantile * last));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

} // namespace chervilfield::bench
