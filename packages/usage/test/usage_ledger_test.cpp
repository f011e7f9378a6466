#include "usage/usage_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace chervilfield::usage {

using fleet::CostUnit;
using fleet::UsageLimit;
using std::chrono::milliseconds;

namespace {

const CustomerKey kCustomer = customerKey("c", CostUnit::Tokens);
const CustomerKey kRefunds = refundKey(kCustomer);

Time timeOf(milliseconds at)
{
    return Time(std::chrono::hours(1)) + at;
}

void limit(UsageLedger &ledger, milliseconds at, double rate = 1000, double burst = 1000,
           double initialBalance = 0)
{
    const LedgerLimit entry{
        .customer = kCustomer,
        .limit = { .ratePerSecond = rate, .burst = burst, .unit = CostUnit::Tokens },
        .initialBalance = initialBalance
    };
    ledger.setLimits({ &entry, 1 }, timeOf(at));
}

/// Calls the ledger every 50 ms, as its owner does, so that it does not count as frozen.
void run(UsageLedger &ledger, milliseconds from, milliseconds to)
{
    for (; from <= to; from += milliseconds(50))
        ledger.setLiveShare(1, timeOf(from));
}

double balanceAt(const UsageLedger &ledger, milliseconds at)
{
    const auto balance = ledger.balance(kCustomer, "a", timeOf(at));
    return balance ? std::round(balance->balance) : std::numeric_limits<double>::quiet_NaN();
}

void record(UsageLedger &ledger, std::vector<UsageEntry> entries, milliseconds at,
            std::uint64_t life = 1, const std::string &reporter = "a")
{
    ledger.record(reporter, life, entries, timeOf(at));
}

} // namespace

class UsageLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageLedgerTest);
    CPPUNIT_TEST(newBucketGrantsNoBurst);
    CPPUNIT_TEST(reportsAreCharged);
    CPPUNIT_TEST(changedLimitsKeepBalance);
    CPPUNIT_TEST(missingInstancesReduceRefill);
    CPPUNIT_TEST(scarceBalancesAreFound);
    CPPUNIT_TEST(usageDuringFreezeIsCharged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that a new bucket starts at 0 or with the debt that is known, is refilled up to the
    // burst, and is not sent at first. Guards against a takeover that grants a second burst.
    void newBucketGrantsNoBurst()
    {
        for (const double initial : { 500.0, 0.0, -300.0, std::nan("") }) {
            UsageLedger ledger;
            limit(ledger, milliseconds(0), 1000, 1000, initial);
            const std::string name = std::to_string(initial);
            run(ledger, milliseconds(0), milliseconds(400));
            CPPUNIT_ASSERT_MESSAGE(name, std::isnan(balanceAt(ledger, milliseconds(200))));
            const double expected = initial < 0 ? 100 : 400;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, expected, balanceAt(ledger, milliseconds(400)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1000.0, balanceAt(ledger, milliseconds(3000)));
        }
    }

    // Tests what successive reports charge to a full bucket. Guards against usage that is charged
    // twice after repeated, reordered or restarted reports, or not at all.
    void reportsAreCharged()
    {
        struct Report
        {
            std::uint64_t life;
            std::vector<UsageEntry> entries;
        };
        struct Row
        {
            const char *name;
            std::vector<Report> reports;
            double balance;
            double includedCost;
        };
        const double nan = std::nan("");
        const Row rows[] = {
            { "none", {}, 1000, -1 },
            { "only the base", { { 1, { { kCustomer, 700 } } } }, 1000, 700 },
            { "base and usage", { { 1, { { kCustomer, 500 }, { kCustomer, 700 } } } }, 800, 700 },
            { "repeated base",
              { { 1, { { kCustomer, 0 }, { kCustomer, 100 } } },
                { 1, { { kCustomer, 0 }, { kCustomer, 150 } } } },
              850,
              150 },
            { "reordered",
              { { 1, { { kCustomer, 0 }, { kCustomer, 300 } } },
                { 1, { { kCustomer, 200 } } },
                { 1, { { kCustomer, 300 } } } },
              700,
              300 },
            { "into debt", { { 1, { { kCustomer, 0 }, { kCustomer, 4000 } } } }, -3000, 4000 },
            { "implausible", { { 1, { { kCustomer, 0 }, { kCustomer, 1e15 } } } }, -11'000, 1e15 },
            { "charged elsewhere",
              { { 1, { { kCustomer, 0 }, { kCustomer, 400 } } },
                { 1, { { kCustomer, 5000 }, { kCustomer, 5001 } } } },
              -1,
              5001 },
            { "new life",
              { { 1, { { kCustomer, 0 }, { kCustomer, 300 } } },
                { 2, { { kCustomer, 0 }, { kCustomer, 100 } } } },
              600,
              100 },
            { "old life",
              { { 2, { { kCustomer, 0 }, { kCustomer, 300 } } },
                { 1, { { kCustomer, 0 }, { kCustomer, 900 } } } },
              700,
              300 },
            { "refund",
              { { 1,
                  { { kCustomer, 0 }, { kCustomer, 300 }, { kRefunds, 0 }, { kRefunds, 200 } } } },
              900,
              100 },
            { "invalid",
              { { 1, { { kCustomer, -5 }, { kCustomer, nan }, { 77, 3 } } } },
              1000,
              -1 },
        };
        for (const Row &row : rows) {
            UsageLedger ledger({ .informationDelay = milliseconds(0) });
            limit(ledger, milliseconds(0));
            run(ledger, milliseconds(0), milliseconds(3000));
            for (const Report &report : row.reports)
                record(ledger, report.entries, milliseconds(3000), report.life);
            const auto balance = ledger.balance(kCustomer, "a", timeOf(milliseconds(3000)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.balance, balance->balance);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.includedCost, balance->includedCost);
        }
    }

    // Tests that a changed limit keeps the balance, capped at the new burst, and that a removed
    // limit ends the bucket. Guards against changes that grant a burst or a debt.
    void changedLimitsKeepBalance()
    {
        UsageLedger ledger;
        limit(ledger, milliseconds(0));
        run(ledger, milliseconds(0), milliseconds(600));
        limit(ledger, milliseconds(600), 5000, 5000);
        CPPUNIT_ASSERT_EQUAL(600.0, balanceAt(ledger, milliseconds(600)));
        CPPUNIT_ASSERT_EQUAL(1100.0, balanceAt(ledger, milliseconds(700)));
        limit(ledger, milliseconds(700), 100, 200);
        CPPUNIT_ASSERT_EQUAL(200.0, balanceAt(ledger, milliseconds(700)));
        ledger.setLimits({}, timeOf(milliseconds(700)));
        CPPUNIT_ASSERT(std::isnan(balanceAt(ledger, milliseconds(2000))));
    }

    // Tests the refill while some instances are not live. Guards against a limit that is exceeded
    // because instances that are cut off serve their share besides.
    void missingInstancesReduceRefill()
    {
        struct Row
        {
            double share;
            double balance; ///< After 600 ms.
        };
        const Row rows[] = { { 1, 600 }, { 0.5, 300 }, { 0, 0 },
                             { -1, 0 },  { 7, 600 },   { std::nan(""), 600 } };
        for (const Row &row : rows) {
            UsageLedger ledger;
            limit(ledger, milliseconds(0));
            ledger.setLiveShare(row.share, timeOf(milliseconds(0)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(row.share), row.balance,
                                         balanceAt(ledger, milliseconds(600)));
        }
    }

    // Tests which balances are scarce. Guards against instances that do not hear in time that a
    // customer uses up its limit, and against needless messages.
    void scarceBalancesAreFound()
    {
        struct Row
        {
            const char *name;
            std::vector<double> costs; ///< Reported by different instances at the same time.
            bool isScarce;
            double balance;
        };
        const Row rows[] = {
            { "unused", {}, false, 1000 },
            { "used a little", { 100 }, false, 900 },
            { "one large request", { 450 }, false, 550 },
            { "below half of the burst", { 501 }, true, 499 },
            // 350 in 300 ms, without the largest report, exceed the refill by 167 per second.
            { "used faster than the rate", std::vector<double>(8, 50), true, 600 - 167 * 0.6 },
        };
        for (const Row &row : rows) {
            UsageLedger ledger;
            limit(ledger, milliseconds(0));
            run(ledger, milliseconds(0), milliseconds(3000));
            for (std::size_t i = 0; i < row.costs.size(); ++i)
                record(ledger, { { kCustomer, 0 }, { kCustomer, row.costs[i] } },
                       milliseconds(3000), 1, "r" + std::to_string(i));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    row.name, row.isScarce,
                    !ledger.scarceCustomers(timeOf(milliseconds(3000))).empty());
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name, row.balance,
                                                 balanceAt(ledger, milliseconds(3000)), 1);
        }
    }

    // Tests that an aggregation point that was frozen charges the usage of that time against its
    // refill before it sends balances. Guards against a debt of a customer that used less than its
    // rate, and against a second burst.
    void usageDuringFreezeIsCharged()
    {
        struct Row
        {
            double cost; ///< During a freeze of 2 s.
            double balance;
        };
        const Row rows[] = { { 0, 1000 }, { 1800, 1000 }, { 3500, -100 } };
        for (const Row &row : rows) {
            UsageLedger ledger({ .informationDelay = milliseconds(0) });
            limit(ledger, milliseconds(0));
            run(ledger, milliseconds(0), milliseconds(3000));
            record(ledger, { { kCustomer, 0 } }, milliseconds(3000));
            ledger.setLiveShare(1, timeOf(milliseconds(5000)));
            CPPUNIT_ASSERT(std::isnan(balanceAt(ledger, milliseconds(5000))));
            record(ledger, { { kCustomer, row.cost } }, milliseconds(5000));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(row.cost), row.balance,
                                         balanceAt(ledger, milliseconds(5400)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageLedgerTest);

} // namespace chervilfield::usage
