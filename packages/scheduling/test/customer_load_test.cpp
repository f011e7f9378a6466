#include "scheduling/customer_load.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chervilfield::scheduling {

using std::chrono::milliseconds;

namespace {

const Time kStart{ std::chrono::hours(1) };

/// Load of one customer: `usual` requests per second, and `flood` from 60 to 68 s.
struct Load
{
    std::string customer;
    double usual;
    double flood;
};

struct Row
{
    std::string name;
    std::vector<Load> loads;
    /// Bounds of the share of excess among the requests of the first customer in the flood.
    double min;
    double max;
    double othersMax; ///< Bound of the same share of each other customer, at any time.
};

struct Count
{
    double arrived = 0;
    double excess = 0;
    double share() const { return arrived == 0 ? 0 : excess / arrived; }
};

constexpr int kFloodStartMs = 60'000;
constexpr int kEndMs = 68'000;

/// Arrivals at random times. Counts the requests of the first customer in its flood, and all of
/// the others.
std::map<std::string, Count> run(const std::vector<Load> &loads)
{
    CustomerLoad customerLoad;
    std::mt19937_64 random(7);
    std::map<std::string, Count> counts;
    for (int ms = 0; ms < kEndMs; ++ms) {
        const bool isFlood = ms >= kFloodStartMs;
        for (const Load &load : loads) {
            const double perMs = (isFlood ? load.flood : load.usual) / 1000;
            if (std::uniform_real_distribution<double>(0, 1)(random) >= perMs)
                continue;
            const bool isExcess =
                    customerLoad.recordArrival(load.customer, kStart + milliseconds(ms));
            if (!isFlood && load.customer == loads.front().customer)
                continue;
            counts[load.customer].arrived += 1;
            counts[load.customer].excess += isExcess ? 1 : 0;
        }
    }
    return counts;
}

} // namespace

class CustomerLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomerLoadTest);
    CPPUNIT_TEST(onlyFloodsAreExcess);
    CPPUNIT_TEST(lastingGrowthBecomesUsual);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against floods at the expense of other customers, and against customers that are
    // served last although they send what they usually do.
    void onlyFloodsAreExcess()
    {
        // A flood of f times the usual load may keep 2 / f of it, more while it begins.
        const std::vector<Row> rows{
            { "large customer, 7.5 times",
              { { "a", 3, 22.5 }, { "b", 4, 4 }, { "c", 4, 4 } },
              0.4,
              0.74,
              0.02 },
            { "large customer, 4 times",
              { { "a", 3, 12 }, { "b", 4, 4 }, { "c", 4, 4 } },
              0.05,
              0.5,
              0.02 },
            { "burst of all", { { "a", 3, 7.5 }, { "b", 4, 10 }, { "c", 4, 10 } }, 0, 0.02, 0.02 },
            { "high tide of all",
              { { "a", 3, 4.7 }, { "b", 4, 6.2 }, { "c", 4, 6.2 } },
              0,
              0.02,
              0.02 },
            { "large beside small",
              { { "a", 9, 9 }, { "b", 1, 1 }, { "c", 1, 1 } },
              0,
              0.02,
              0.02 },
            { "rare customer", { { "a", 0.1, 0.4 }, { "b", 4, 4 }, { "c", 4, 4 } }, 0, 0, 0.02 },
            { "only customer", { { "a", 10, 40 } }, 0.05, 0.5, 0 },
            { "busy instance",
              { { "a", 100, 500 }, { "b", 200, 200 }, { "c", 200, 200 } },
              0.3,
              0.6,
              0.02 },
        };
        for (const Row &row : rows) {
            auto counts = run(row.loads);
            const double share = counts[row.loads.front().customer].share();
            CPPUNIT_ASSERT_MESSAGE(row.name + ": " + std::to_string(share),
                                   share >= row.min && share <= row.max);
            for (std::size_t i = 1; i < row.loads.size(); ++i) {
                const double other = counts[row.loads[i].customer].share();
                CPPUNIT_ASSERT_MESSAGE(row.name + ", other: " + std::to_string(other),
                                       other <= row.othersMax);
            }
        }
    }

    // Guards against a customer that is served last for good after it has grown.
    void lastingGrowthBecomesUsual()
    {
        CustomerLoad customerLoad;
        int excess = 0;
        for (int ms = 0; ms < 360'000; ms += 10) {
            const Time now = kStart + milliseconds(ms);
            customerLoad.recordArrival("other", now);
            // From 60 s on, five times as often as before.
            if (ms % (ms < 60'000 ? 250 : 50) == 0 && customerLoad.recordArrival("a", now)
                && ms >= 300'000)
                ++excess;
        }
        CPPUNIT_ASSERT_EQUAL(0, excess);
    }

    // Guards against memory that grows with the number of customers.
    void memoryIsBounded()
    {
        CustomerLoad customerLoad({ .maxCustomers = 10 });
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(!customerLoad.recordArrival(std::to_string(i), kStart));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), customerLoad.size());
        // The first ones are forgotten after ten minutes.
        customerLoad.recordArrival("new", kStart + std::chrono::minutes(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), customerLoad.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerLoadTest);

} // namespace chervilfield::scheduling
