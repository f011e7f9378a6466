#include "admission/fair_shares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace chervilfield::admission {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart{ std::chrono::hours(1) };

/// Weight and demand of one customer in a simulated overload.
struct Load
{
    double weight;
    int requestsPerTick;
};

/// Returns each customer's share of the completed work. Every request uses 10 of 1000 tokens of
/// capacity for 20 ticks.
std::vector<double> simulate(const std::vector<Load> &loads)
{
    struct Running
    {
        std::size_t customer;
        int endTick;
    };
    FairShares shares;
    shares.setCapacity(1000);
    std::deque<Running> running;
    std::vector<double> completed(loads.size());
    double total = 0;
    for (int tick = 0; tick < 2'000; ++tick) {
        while (!running.empty() && running.front().endTick <= tick) {
            shares.release(running.front().customer, 10, kStart + milliseconds(tick));
            completed[running.front().customer] += 1;
            total += 1;
            running.pop_front();
        }
        for (int i = 0; i < 100; ++i) {
            for (std::size_t c = 0; c < loads.size(); ++c) {
                const bool arrives = i < loads[c].requestsPerTick;
                if (arrives && !shares.admit(c, loads[c].weight, 10, kStart + milliseconds(tick)))
                    running.push_back({ c, tick + 20 });
            }
        }
    }
    for (double &value : completed)
        value /= total;
    return completed;
}

} // namespace

class FairSharesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairSharesTest);
    CPPUNIT_TEST(dividesSaturatedCapacityByWeight);
    CPPUNIT_TEST(lendsIdleCapacity);
    CPPUNIT_TEST(usageMatchesWorkInProgress);
    CPPUNIT_TEST(evictsIdleCustomers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that a saturated capacity is divided by weight whatever the demand of each customer.
    // Guards against a customer with many requests that starves the others.
    void dividesSaturatedCapacityByWeight()
    {
        struct Row
        {
            const char *name;
            std::vector<Load> loads;
            std::vector<double> expected;
        };
        const Row rows[] = {
            { "equal weights, very unequal demand",
              { { 1, 100 }, { 1, 5 }, { 1, 5 }, { 1, 5 } },
              { 0.25, 0.25, 0.25, 0.25 } },
            { "weights", { { 3, 50 }, { 1, 50 } }, { 0.75, 0.25 } },
        };
        for (const Row &row : rows) {
            const std::vector<double> measured = simulate(row.loads);
            for (std::size_t i = 0; i < measured.size(); ++i)
                CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name, row.expected[i], measured[i], 0.03);
        }
    }

    // Tests that a customer may use the unused shares of others up to the lending limit, and that
    // refusals tell a full quota from a full pool. Guards against capacity that stays idle although
    // a customer could use it.
    void lendsIdleCapacity()
    {
        FairShares shares;
        shares.setCapacity(1000);
        CPPUNIT_ASSERT(!shares.admit(2, 1, 10, kStart));
        CPPUNIT_ASSERT(!shares.admit(3, 1, 10, kStart));
        // 950 tokens may be lent and 20 are in use, so 93 requests of 10 tokens fit.
        for (int i = 0; i < 93; ++i)
            CPPUNIT_ASSERT(!shares.admit(1, 1, 10, kStart));
        const auto quotaRefusal = shares.admit(1, 1, 10, kStart);
        CPPUNIT_ASSERT(quotaRefusal && quotaRefusal->result == base::Result::QuotaExceeded);
        CPPUNIT_ASSERT(quotaRefusal->work == base::WorkStatus::NotRun);
        // Customer 2 is below its share and may use the last 50 tokens.
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(!shares.admit(2, 1, 10, kStart));
        const auto overloadRefusal = shares.admit(2, 1, 10, kStart);
        CPPUNIT_ASSERT(overloadRefusal && overloadRefusal->result == base::Result::Overloaded);
        CPPUNIT_ASSERT(overloadRefusal->work == base::WorkStatus::NotRun);
    }

    // Tests that usage equals the work in progress after any sequence of requests. Guards against
    // usage that drifts from the work in progress, and against overcommitment.
    void usageMatchesWorkInProgress()
    {
        const bool holds = rc::check("usage equals admitted minus released work", [] {
            FairShares shares;
            shares.setCapacity(500);
            std::vector<std::pair<std::uint64_t, std::uint64_t>> inProgress;
            std::map<std::uint64_t, std::uint64_t> used;
            TimePoint now = kStart;
            for (int i = 0; i < 200; ++i) {
                now += milliseconds(*rc::gen::inRange(0, 800));
                if (!inProgress.empty() && *rc::gen::arbitrary<bool>()) {
                    const auto [customer, tokens] = inProgress.back();
                    inProgress.pop_back();
                    shares.release(customer, tokens, now);
                    used[customer] -= tokens;
                    continue;
                }
                const auto customer = *rc::gen::inRange<std::uint64_t>(0, 12);
                const auto tokens = *rc::gen::inRange<std::uint64_t>(1, 300);
                const double weight = *rc::gen::inRange(0, 5);
                if (!shares.admit(customer, weight, tokens, now)) {
                    inProgress.emplace_back(customer, tokens);
                    used[customer] += tokens;
                }
                RC_ASSERT(shares.usedTokens() <= 500U);
                double sum = 0;
                for (std::uint64_t c = 0; c < 12; ++c)
                    sum += shares.shareOf(c);
                RC_ASSERT(std::abs(sum - 500) < 1e-6);
            }
            for (const auto &[customer, tokens] : used)
                RC_ASSERT(shares.usedTokensOf(customer) == tokens);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that customers are evicted once they are idle. Guards against memory that grows with
    // every customer ever seen.
    void evictsIdleCustomers()
    {
        FairShares shares;
        shares.setCapacity(1000);
        TimePoint now = kStart;
        for (std::uint64_t customer = 0; customer < 42'000; ++customer, now += milliseconds(1)) {
            if (!shares.admit(customer, 1, 1, now))
                shares.release(customer, 1, now);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(shares.activeCustomerCount()),
                               shares.activeCustomerCount() <= 5'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairSharesTest);

} // namespace chervilfield::admission
