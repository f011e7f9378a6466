#include "usage/usage_limiter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>
#include <map>
#include <string>
#include <vector>

namespace chervilfield::usage {

using fleet::CostUnit;
using fleet::UsageLimit;
using std::chrono::milliseconds;

namespace {

constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr UsageLimit kLimit{
    .ratePerSecond = 1000, .burst = 1000, .unit = CostUnit::Tokens, .defaultTokens = 40
};
const CustomerKey kCustomer = customerKey("c", CostUnit::Tokens);

Time timeOf(milliseconds at)
{
    return Time(std::chrono::hours(1)) + at;
}

UsageBalance balanceOf(double balance, double includedCost = 0, double rate = 1000)
{
    return { .customer = kCustomer,
             .balance = balance,
             .ratePerSecond = rate,
             .includedCost = includedCost };
}

void receive(UsageLimiter &limiter, const UsageBalance &balance, milliseconds at)
{
    limiter.applyBalances({ &balance, 1 }, timeOf(at));
}

bool admits(UsageLimiter &limiter, double cost, milliseconds at, const UsageLimit &limit = kLimit)
{
    return !limiter.admit("c", limit, cost, timeOf(at)).has_value();
}

} // namespace

class UsageLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageLimiterTest);
    CPPUNIT_TEST(costsAreRead);
    CPPUNIT_TEST(invalidLimitsAdmitEverything);
    CPPUNIT_TEST(balanceDecides);
    CPPUNIT_TEST(localShareDecidesWithoutAnswer);
    CPPUNIT_TEST(newInstanceUsesShare);
    CPPUNIT_TEST(refundsAreTakenBack);
    CPPUNIT_TEST(unitsAreCountedSeparately);
    CPPUNIT_TEST(invalidBalancesAreIgnored);
    CPPUNIT_TEST(instancesResumeAtDifferentBalances);
    CPPUNIT_TEST(refusedCallersAreAdmittedOnReturn);
    CPPUNIT_TEST(refusedCallersReturnOneAfterAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the cost of a request. Guards against headers of callers that make the counters
    // invalid.
    void costsAreRead()
    {
        struct Row
        {
            const char *name;
            CostUnit unit;
            std::optional<double> stated;
            double expected;
        };
        const Row rows[] = {
            { "stated", CostUnit::Tokens, 17'035, 17'035 },
            { "zero", CostUnit::Tokens, 0, 0 },
            { "missing", CostUnit::Tokens, std::nullopt, 40 },
            { "negative", CostUnit::Tokens, -1, 40 },
            { "not a number", CostUnit::Tokens, kNan, 40 },
            { "infinite", CostUnit::Tokens, kInfinity, 40 },
            { "absurd", CostUnit::Tokens, 1e300, 1e12 },
            { "requests", CostUnit::Requests, 17'035, 1 },
        };
        for (const Row &row : rows) {
            UsageLimit limit = kLimit;
            limit.unit = row.unit;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected, requestCost(limit, row.stated));
        }
    }

    // Tests that a limit without a positive, finite rate and burst does not limit. Guards against a
    // broken configuration that refuses a customer entirely.
    void invalidLimitsAdmitEverything()
    {
        for (const double value : { 0.0, -1.0, kNan, kInfinity }) {
            for (const bool isRate : { true, false }) {
                UsageLimit limit = kLimit;
                (isRate ? limit.ratePerSecond : limit.burst) = value;
                UsageLimiter limiter(timeOf(milliseconds(0)));
                for (int i = 0; i < 10; ++i)
                    CPPUNIT_ASSERT(admits(limiter, 1e9, milliseconds(0), limit));
                CPPUNIT_ASSERT(limiter.totals(timeOf(milliseconds(0))).empty());
            }
        }
    }

    // Tests the estimate of the balance: refilled since it was received, capped at the burst, and
    // reduced by the usage that it does not include. Guards against requests that are counted twice
    // or not at all.
    void balanceDecides()
    {
        struct Row
        {
            const char *name;
            double balance;
            double includedCost;
            double rate;
            milliseconds age;
            double costBefore; ///< Admitted before the request.
            bool isAdmitted;
        };
        const Row rows[] = {
            { "positive", 1, 0, 1000, milliseconds(0), 0, true },
            { "zero", 0, 0, 1000, milliseconds(0), 0, false },
            { "refilled", -99, 0, 1000, milliseconds(100), 0, true },
            { "not refilled yet", -101, 0, 1000, milliseconds(100), 0, false },
            { "rate of the aggregation point", -99, 0, 500, milliseconds(100), 0, false },
            { "own usage", 500, 0, 1000, milliseconds(10), 520, false },
            { "included usage", 500, 520, 1000, milliseconds(10), 520, true },
            { "capped", 1000, 0, 1000, milliseconds(60'000), 1001, false },
        };
        for (const Row &row : rows) {
            UsageLimiter limiter(timeOf(milliseconds(0)));
            limiter.setInstances(10, 10);
            receive(limiter, balanceOf(2000), milliseconds(0));
            if (row.costBefore > 0)
                CPPUNIT_ASSERT(admits(limiter, row.costBefore, milliseconds(0)));
            receive(limiter, balanceOf(row.balance, row.includedCost, row.rate), milliseconds(0));
            // An unanswered use would start the local share after a long time.
            if (row.age > milliseconds(1000))
                receive(limiter, balanceOf(row.balance, row.includedCost, row.rate), row.age);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isAdmitted, admits(limiter, 1, row.age));
        }
    }

    // Tests that an instance uses its share of the limit while its usage is not answered, or is
    // never included in the balances. Guards against an instance that is cut off and serves the
    // whole limit.
    void localShareDecidesWithoutAnswer()
    {
        for (const bool isAnswered : { true, false }) {
            for (const bool isIncluded : { true, false }) {
                UsageLimiter limiter(timeOf(milliseconds(0)));
                limiter.setInstances(5, 10);
                double admitted = 0;
                receive(limiter, balanceOf(1000), milliseconds(0));
                for (milliseconds at{ 0 }; at < milliseconds(10'000); at += milliseconds(10)) {
                    if (isAnswered && at % milliseconds(100) == milliseconds(0))
                        receive(limiter, balanceOf(1000, isIncluded ? admitted : 0), at);
                    if (admits(limiter, 20, at))
                        admitted += 20;
                }
                const std::string name = std::to_string(admitted);
                if (isAnswered && isIncluded)
                    CPPUNIT_ASSERT_MESSAGE(name, admitted > 10'000);
                else // The burst, the refill until the silence is noticed, and a tenth of the rate.
                    CPPUNIT_ASSERT_MESSAGE(name, admitted < 1000 + 1200 + 1000 + 20);
                CPPUNIT_ASSERT_EQUAL(!(isAnswered && isIncluded),
                                     limiter.counters().admittedLocally > 0);
            }
        }
    }

    // Tests that an instance without a balance admits its share of the limit since its start.
    // Guards against starting instances that refuse everything or serve a whole burst.
    void newInstanceUsesShare()
    {
        UsageLimiter limiter(timeOf(milliseconds(0)));
        limiter.setInstances(10, 10);
        CPPUNIT_ASSERT(!admits(limiter, 300, milliseconds(0)));
        CPPUNIT_ASSERT(admits(limiter, 300, milliseconds(10)));    // One request of debt,
        CPPUNIT_ASSERT(!admits(limiter, 300, milliseconds(2900))); // repaid at 100 per second.
        CPPUNIT_ASSERT(admits(limiter, 300, milliseconds(3050)));
        CPPUNIT_ASSERT_EQUAL(295.0, limiter.totals(timeOf(milliseconds(3050))).at(0).debt);
        receive(limiter, balanceOf(1000, 600), milliseconds(3060));
        CPPUNIT_ASSERT(admits(limiter, 300, milliseconds(3060)));
        CPPUNIT_ASSERT_EQUAL(0.0, limiter.totals(timeOf(milliseconds(3060))).at(0).debt);
        CPPUNIT_ASSERT(limiter.totals(timeOf(milliseconds(9000))).empty());
    }

    // Tests that a refund restores the balance, at most by the admitted cost. Guards against
    // requests that no target has run but that count, and against refunds that raise the limit.
    void refundsAreTakenBack()
    {
        UsageLimiter limiter(timeOf(milliseconds(0)));
        receive(limiter, balanceOf(100), milliseconds(0));
        limiter.refund("c", kLimit, 500, timeOf(milliseconds(0))); // Not admitted.
        CPPUNIT_ASSERT(admits(limiter, 300, milliseconds(0)));
        CPPUNIT_ASSERT(!admits(limiter, 1, milliseconds(0)));
        limiter.refund("c", kLimit, kNan, timeOf(milliseconds(0)));
        limiter.refund("c", kLimit, -100, timeOf(milliseconds(0)));
        limiter.refund("other", kLimit, 300, timeOf(milliseconds(0)));
        CPPUNIT_ASSERT(!admits(limiter, 1, milliseconds(0)));
        limiter.refund("c", kLimit, 500, timeOf(milliseconds(0)));
        const UsageTotal expected{ .customer = kCustomer, .cost = 300, .refunded = 300, .debt = 0 };
        CPPUNIT_ASSERT(limiter.totals(timeOf(milliseconds(0))).at(0) == expected);
        receive(limiter, balanceOf(1000, 0), milliseconds(0));
        CPPUNIT_ASSERT(admits(limiter, 1, milliseconds(0)));
    }

    // Tests that a change of the unit starts a new bucket and that a change back continues the
    // counters. Guards against counters that go back within the life of a process.
    void unitsAreCountedSeparately()
    {
        UsageLimit requests = kLimit;
        requests.unit = CostUnit::Requests;
        UsageLimiter limiter(timeOf(milliseconds(-10'000)));
        CPPUNIT_ASSERT(admits(limiter, 700, milliseconds(0)));
        CPPUNIT_ASSERT(admits(limiter, 1, milliseconds(0), requests));
        CPPUNIT_ASSERT(admits(limiter, 200, milliseconds(0)));
        std::map<CustomerKey, double> costs;
        for (const UsageTotal &total : limiter.totals(timeOf(milliseconds(0))))
            costs[total.customer] = total.cost;
        CPPUNIT_ASSERT_EQUAL(900.0, costs.at(kCustomer));
        CPPUNIT_ASSERT_EQUAL(1.0, costs.at(customerKey("c", CostUnit::Requests)));
    }

    // Tests that balances with invalid values change nothing. Guards against a peer that makes an
    // instance admit or refuse everything.
    void invalidBalancesAreIgnored()
    {
        UsageLimiter limiter(timeOf(milliseconds(0)));
        receive(limiter, balanceOf(100), milliseconds(0));
        CPPUNIT_ASSERT(admits(limiter, 1, milliseconds(0)));
        for (const double value : { kNan, kInfinity, -kInfinity }) {
            receive(limiter, balanceOf(value), milliseconds(1));
            receive(limiter, balanceOf(-100, value), milliseconds(1));
            receive(limiter, balanceOf(-100, 0, value), milliseconds(1));
        }
        receive(limiter, balanceOf(-100, 0, -1), milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, limiter.counters().ignoredBalances);
        CPPUNIT_ASSERT(admits(limiter, 1, milliseconds(1)));
        limiter.setInstances(0, 0);
        CPPUNIT_ASSERT(admits(limiter, 1, milliseconds(1)));
    }

    // Tests that instances admit again at different balances after the limit was used up. Guards
    // against a fleet that overdraws the balance whenever it becomes positive.
    void instancesResumeAtDifferentBalances()
    {
        int resumed[] = { 0, 0, 0 };
        const double balances[] = { 10, 300, 600 };
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            UsageLimiter limiter(timeOf(milliseconds(0)), seed);
            receive(limiter, balanceOf(-101), milliseconds(0));
            CPPUNIT_ASSERT(!admits(limiter, 1, milliseconds(0)));
            for (std::size_t i = 0; i < std::size(balances); ++i) {
                receive(limiter, balanceOf(balances[i]), milliseconds(0));
                if (admits(limiter, 1, milliseconds(0))) {
                    ++resumed[i];
                    break;
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(resumed[0]), resumed[0] < 10);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(resumed[1]), resumed[1] > 30 && resumed[1] < 70);
        CPPUNIT_ASSERT_EQUAL(100, resumed[0] + resumed[1] + resumed[2]);

        UsageLimiter limiter(timeOf(milliseconds(0)));
        receive(limiter, balanceOf(-99), milliseconds(0)); // The debt of a single request.
        CPPUNIT_ASSERT(!admits(limiter, 1, milliseconds(0)));
        receive(limiter, balanceOf(10), milliseconds(0));
        CPPUNIT_ASSERT(admits(limiter, 1, milliseconds(0)));
    }

    // Tests that callers who return at their Retry-After are admitted, if no others come. Guards
    // against promises that are not kept.
    void refusedCallersAreAdmittedOnReturn()
    {
        const bool holds = rc::check("promises are kept", [] {
            UsageLimiter limiter(timeOf(milliseconds(0)), *rc::gen::arbitrary<std::uint64_t>());
            const double balance = -*rc::gen::inRange(0, 3000);
            receive(limiter, balanceOf(balance), milliseconds(0));
            std::multimap<Time, double> returns;
            const int callers = *rc::gen::inRange(1, 12);
            for (int i = 0; i < callers; ++i) {
                const double cost = *rc::gen::inRange(1, 900);
                const Time now = timeOf(milliseconds(*rc::gen::inRange(0, 3)));
                const auto refusal = limiter.admit("c", kLimit, cost, now);
                if (refusal)
                    returns.emplace(now + refusal->retryAfter, cost);
            }
            const double included = limiter.totals(timeOf(milliseconds(3))).at(0).cost;
            double used = included;
            for (const auto &[time, cost] : returns) {
                const double age =
                        std::chrono::duration<double>(time - timeOf(milliseconds(0))).count();
                // The aggregation point answers all usage.
                const UsageBalance answer = balanceOf(balance + 1000 * age - used, used);
                limiter.applyBalances({ &answer, 1 }, time);
                RC_ASSERT(!limiter.admit("c", kLimit, cost, time));
                used += cost;
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that the promised costs of successive callers, over all instances, follow one another
    // at the rate, up to the longest promise. Guards against callers who all return at once.
    void refusedCallersReturnOneAfterAnother()
    {
        UsageLimiter limiter(timeOf(milliseconds(0)), 7);
        limiter.setInstances(10, 10);
        receive(limiter, balanceOf(-500), milliseconds(0));
        // Each promise of 100 occupies the refill for 1 s on ten instances.
        for (int i = 0; i < 60; ++i) {
            const auto refusal = limiter.admit("c", kLimit, 100, timeOf(milliseconds(0)));
            CPPUNIT_ASSERT(refusal.has_value());
            const milliseconds latest(std::min(30'000, 500 + 600 + 1000 * (i + 1)));
            const milliseconds earliest(std::min(30'000, 500 + 1000 * i));
            const std::string name =
                    std::to_string(i) + ": " + std::to_string(refusal->retryAfter.count());
            CPPUNIT_ASSERT_MESSAGE(name, refusal->retryAfter >= earliest);
            CPPUNIT_ASSERT_MESSAGE(name, refusal->retryAfter <= latest);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageLimiterTest);

} // namespace chervilfield::usage
