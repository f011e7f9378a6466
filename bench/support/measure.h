#pragma once

#include "support/report.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chervilfield::bench {

/// Heap use of this process, counted by the `operator new` and `operator delete` that the support
/// library replaces.
struct HeapUse
{
    std::uint64_t allocations = 0; ///< Number of allocations since the start of the process.
    std::int64_t liveBytes = 0; ///< Usable size of all live blocks, with the allocator's rounding.
};

/// Returns the current heap use of all threads.
HeapUse heapUse();

/// Returns the CPU time of the calling thread that `work` takes, in nanoseconds. It is the minimum
/// of `repeats` runs, because other processes can only make a run slower.
double cpuNanoseconds(int repeats, const std::function<void()> &work);

/// Cost of an operation or a data structure as a function of its size.
struct Slope
{
    std::string name;
    std::string unit;                        ///< Unit of the slope: cost per unit of size.
    std::vector<double> sizes;               ///< Sizes to measure at; at least four.
    std::function<double(double size)> cost; ///< Measures the cost at one size.
};

/// Measures the cost at all sizes in several rounds and fits a line to the minimum cost of each
/// size; the value of the row is the slope. The minimum is used because other processes on the
/// machine can only raise a cost.
Row measureSlope(const Slope &slope);

} // namespace chervilfield::bench
