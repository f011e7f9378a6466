#pragma once

#include "support/report.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chervilfield::bench {

/// Heap use of this process, counted by the replaced `operator new` of the support library.
struct HeapUse
{
    std::uint64_t allocations = 0; ///< Since the start of the process.
    std::int64_t liveBytes = 0;    ///< As the allocator rounds them.
};

HeapUse heapUse();

/// Returns the processor time of the calling thread that `work` takes, in nanoseconds: the least of
/// `repeats` runs, because other processes can only make a run slower.
double cpuNanoseconds(int repeats, const std::function<void()> &work);

/// Cost of something against its size. A bench lists these as table rows.
struct Slope
{
    std::string name;
    std::string unit;                        ///< Unit of one step of the cost per unit of size.
    std::vector<double> sizes;               ///< At least four.
    std::function<double(double size)> cost; ///< Measures the cost at one size.
};

/// Measures the cost at each size several times, in turn, and fits a line to the least costs; the
/// value of the row is its slope. Other processes on the machine can only raise a cost.
Row measureSlope(const Slope &slope);

} // namespace chervilfield::bench
