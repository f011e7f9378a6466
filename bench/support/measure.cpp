#include "support/measure.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <limits>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{ 0 };
std::atomic<std::int64_t> liveBytes{ 0 };

// Counts the usable size, because countedFree() does not know the requested one.
void *countedAllocate(std::size_t size)
{
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (!memory)
        throw std::bad_alloc();
    allocations.fetch_add(1, std::memory_order_relaxed);
    liveBytes.fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)),
                        std::memory_order_relaxed);
    return memory;
}

void countedFree(void *memory)
{
    if (!memory)
        return;
    liveBytes.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)),
                        std::memory_order_relaxed);
    std::free(memory);
}

double threadCpuNanoseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

} // namespace

void *operator new(std::size_t size)
{
    return countedAllocate(size);
}

void *operator new[](std::size_t size)
{
    return countedAllocate(size);
}

void operator delete(void *memory) noexcept
{
    countedFree(memory);
}

void operator delete[](void *memory) noexcept
{
    countedFree(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    countedFree(memory);
}

void operator delete[](void *memory, std::size_t) noexcept
{
    countedFree(memory);
}

namespace chervilfield::bench {

HeapUse heapUse()
{
    return { .allocations = allocations.load(std::memory_order_relaxed),
             .liveBytes = liveBytes.load(std::memory_order_relaxed) };
}

double cpuNanoseconds(int repeats, const std::function<void()> &work)
{
    double minNanoseconds = std::numeric_limits<double>::max();
    for (int i = 0; i < repeats; ++i) {
        const double start = threadCpuNanoseconds();
        work();
        minNanoseconds = std::min(minNanoseconds, threadCpuNanoseconds() - start);
    }
    return minNanoseconds;
}

Row measureSlope(const Slope &slope)
{
    constexpr int kRounds = 5;
    Fit fit;
    for (const double size : slope.sizes)
        fit.points.push_back({ size, slope.cost(size) });
    for (int round = 1; round < kRounds; ++round) {
        for (Point &point : fit.points)
            point.y = std::min(point.y, slope.cost(point.x));
    }
    fit.line = fitLine(fit.points);
    return { .name = slope.name, .unit = slope.unit, .value = fit.line.slope, .fit = fit };
}

} // namespace chervilfield::bench
