#include "support/measure.h"
#include "support/statistics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace chervilfield::bench {

class StatisticsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StatisticsTest);
    CPPUNIT_TEST(fitsLines);
    CPPUNIT_TEST(findsPercentiles);
    CPPUNIT_TEST(measuresSlopes);
    CPPUNIT_TEST(countsHeapUse);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that slope, intercept and r2 of a fit are those of least squares, also for points
    // without any relation. Guards against capacity estimates that are derived from a wrong fit.
    void fitsLines()
    {
        struct Row
        {
            const char *name;
            std::vector<Point> points;
            LinearFit expected;
        };
        const Row rows[] = {
            { "exact line", { { 1, 5 }, { 2, 7 }, { 4, 11 } }, { 2, 3, 1 } },
            { "no slope", { { 1, 4 }, { 2, 4 }, { 3, 4 } }, { 0, 4, 1 } },
            { "no relation", { { -1, 1 }, { 0, 0 }, { 0, 2 }, { 1, 1 } }, { 0, 1, 0 } },
            { "scattered", { { 0, 0 }, { 1, 3 }, { 2, 3 } }, { 1.5, 0.5, 0.75 } },
        };
        for (const Row &row : rows) {
            const LinearFit fit = fitLine(row.points);
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name, row.expected.slope, fit.slope, 1e-9);
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name, row.expected.intercept, fit.intercept,
                                                 1e-9);
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name, row.expected.r2, fit.r2, 1e-9);
        }
    }

    // Tests percentiles of no values and of unsorted values. Guards against a rank that is rounded
    // down, so that a high percentile leaves out the slowest samples.
    void findsPercentiles()
    {
        std::vector<double> values;
        CPPUNIT_ASSERT_EQUAL(0.0, percentile(values, 0.99));
        for (int i = 100; i >= 0; --i)
            values.push_back(i);
        CPPUNIT_ASSERT_EQUAL(0.0, percentile(values, 0));
        CPPUNIT_ASSERT_EQUAL(50.0, percentile(values, 0.5));
        CPPUNIT_ASSERT_EQUAL(99.0, percentile(values, 0.99));
        CPPUNIT_ASSERT_EQUAL(100.0, percentile(values, 0.995));
    }

    // Tests that one slow run does not change the slope. Guards against a fit to single runs, which
    // other processes on the machine can slow down.
    void measuresSlopes()
    {
        int run = 0;
        const Row row = measureSlope({ .name = "cost",
                                       .unit = "ns",
                                       .sizes = { 1, 2, 3, 4 },
                                       .cost = [&run](double size) {
                                           const double disturbance = run++ == 2 ? 100 : 0;
                                           return 10 * size + 1 + disturbance;
                                       } });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, row.value, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, row.fit->line.r2, 1e-9);
    }

    // Tests that heapUse() counts an allocation while it is live and its bytes not after it was
    // freed. Guards against memory figures that miss allocations or include freed ones.
    void countsHeapUse()
    {
        constexpr std::size_t kBytes = 100'000;
        // The assertions allocate memory, too, so all readings are taken before them.
        const HeapUse before = heapUse();
        HeapUse during;
        {
            const std::vector<char> buffer(kBytes);
            during = heapUse();
        }
        const HeapUse after = heapUse();
        const std::int64_t bytes = during.liveBytes - before.liveBytes;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, during.allocations - before.allocations);
        CPPUNIT_ASSERT(bytes >= static_cast<std::int64_t>(kBytes));
        CPPUNIT_ASSERT(bytes <= static_cast<std::int64_t>(kBytes + 4'096));
        CPPUNIT_ASSERT_EQUAL(before.liveBytes, after.liveBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatisticsTest);

} // namespace chervilfield::bench
