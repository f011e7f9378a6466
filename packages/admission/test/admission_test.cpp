#include "admission/admission.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::admission {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart{ std::chrono::hours(1) };

} // namespace

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(refusesWithReason);
    CPPUNIT_TEST(placesByDeadline);
    CPPUNIT_TEST(estimatesRetryAfter);
    CPPUNIT_TEST(adaptsLimit);
    CPPUNIT_TEST(appliesLimitToBudgets);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a refusal that keeps budgets reserved, gives no reason or claims that work
    // ran.
    void refusesWithReason()
    {
        struct Row
        {
            const char *name;
            std::uint64_t capacity;
            std::uint32_t places;
            milliseconds deadline;
            std::optional<base::Result> expected;
            bool isRetry = false;
        };
        const Row rows[] = {
            { "admitted", 1'000, 4, milliseconds(500), std::nullopt },
            { "deadline", 1'000, 4, milliseconds(100), base::Result::DeadlineUnreachable },
            { "target full", 1'000, 0, milliseconds(500), base::Result::Overloaded },
            { "pool full", 150, 4, milliseconds(500), base::Result::QuotaExceeded },
            { "retry", 1'000, 4, milliseconds(500), std::nullopt, true },
            { "retries spent", 1'000, 4, milliseconds(500), base::Result::RetryBudgetSpent, true },
        };
        for (const Row &row : rows) {
            PoolAdmission pool;
            pool.shares.setCapacity(row.capacity);
            CPPUNIT_ASSERT(!pool.shares.admit(1, 1, 100, kStart));
            TargetAdmission target;
            target.budget.limits.fill({ row.places, 1'000 });
            if (row.expected == base::Result::RetryBudgetSpent)
                target.retryBudget.available = 0;
            const AdmissionRequest request{ .customer = 1,
                                            .prefillTokens = 50,
                                            .totalTokens = 100,
                                            .deadline = kStart + row.deadline,
                                            .isRetry = row.isRetry };
            const auto refusal = admit(pool, target, request, { milliseconds(200), {} }, kStart);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected.has_value(), refusal.has_value());
            if (refusal) {
                CPPUNIT_ASSERT_MESSAGE(row.name, refusal->result == row.expected);
                CPPUNIT_ASSERT_MESSAGE(row.name, refusal->work == base::WorkStatus::NotRun);
                CPPUNIT_ASSERT_MESSAGE(row.name, refusal->retryAfter > milliseconds(0));
            } else {
                release(pool, target, request, false, kStart);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::uint64_t{ 100 }, pool.shares.used());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 0U, target.budget.usage[0].running);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::uint64_t{ 0 },
                                         target.budget.usage[0].prefillTokens);
        }
    }

    // Guards against starting work here that only another data centre can finish in time.
    void placesByDeadline()
    {
        struct Row
        {
            int hereMs;
            std::optional<int> elsewhereMs;
            std::optional<int> deadlineMs;
            Locality expected;
        };
        const Row rows[] = {
            { 9'000, {}, {}, Locality::Local },
            { 100, 50, 120, Locality::Local },
            { 200, 90, 120, Locality::OtherDataCentre },
            { 200, 110, 120, Locality::None },
            { 200, {}, 120, Locality::None },
            { 0, {}, -1, Locality::None },
        };
        for (const Row &row : rows) {
            ExpectedLatency expectedLatency{ .local = milliseconds(row.hereMs) };
            if (row.elsewhereMs)
                expectedLatency.otherDataCentre = milliseconds(*row.elsewhereMs);
            std::optional<TimePoint> deadline;
            if (row.deadlineMs)
                deadline = kStart + milliseconds(*row.deadlineMs);
            CPPUNIT_ASSERT(chooseLocality(expectedLatency, deadline, {}, kStart) == row.expected);
        }
    }

    // Guards against refused callers that all come back at once, or long after capacity is free.
    void estimatesRetryAfter()
    {
        const RetryAfterOptions options;
        CompletionRate rate;
        TimePoint now = kStart;
        for (int i = 0; i < 100; ++i, now += milliseconds(100))
            recordCompleted(rate, 100, options, now); // 1,000 tokens a second
        const bool holds = rc::check("the wait lies between the estimate and its extension", [&] {
            const auto wait =
                    retryAfter(rate, 3'000, options, *rc::gen::arbitrary<std::uint64_t>());
            RC_ASSERT(wait >= milliseconds(2'800));
            RC_ASSERT(wait <= milliseconds(4'700));
        });
        CPPUNIT_ASSERT(holds);
        CPPUNIT_ASSERT(retryAfter({}, 1, options, 0) == options.maxRetryAfter);
        CPPUNIT_ASSERT(retryAfterHeader(milliseconds(1)) == std::chrono::seconds(1));
        CPPUNIT_ASSERT(retryAfterHeader(milliseconds(1'001)) == std::chrono::seconds(2));
    }

    // Guards against a limit that ignores overload, collapses on one bad sample or grows while
    // idle.
    void adaptsLimit()
    {
        constexpr milliseconds kUnloaded{ 100 };
        constexpr WorkClass kShort = WorkClass::Short;
        struct Row
        {
            const char *name;
            LimitSample sample;
            int repeats;
            double least;
            double most;
        };
        const Row rows[] = {
            { "fast and busy", { kShort, kUnloaded, kUnloaded, false, 500 }, 100, 75, 85 },
            { "fast but idle", { kShort, kUnloaded, kUnloaded, false, 1 }, 100, 16, 16 },
            { "slow within the allowed delay",
              { kShort, 2 * kUnloaded, kUnloaded, false, 1 },
              100,
              16,
              16 },
            { "one slow sample", { kShort, 9 * kUnloaded, kUnloaded, false, 16 }, 1, 15, 15.5 },
            { "slow for 30 s", { kShort, 9 * kUnloaded, kUnloaded, false, 16 }, 3'000, 2, 2 },
            { "failures of one moment", { .hasFailed = true, .running = 16 }, 10, 11, 12 },
        };
        const ConcurrencyLimitOptions options;
        for (const Row &row : rows) {
            ConcurrencyLimit limit;
            for (int i = 0; i < row.repeats; ++i)
                updateLimit(limit, row.sample, options, kStart + milliseconds(10 * i));
            CPPUNIT_ASSERT_MESSAGE(row.name + std::string(" ") + std::to_string(limit.limit),
                                   limit.limit >= row.least && limit.limit <= row.most);
        }
    }

    // Guards against a limit that falls while the budgets still admit as before.
    void appliesLimitToBudgets()
    {
        PoolAdmission pool;
        pool.shares.setCapacity(1'000'000);
        TargetAdmission target;
        applyLimit(target, pool);
        const auto admitted = [&] {
            TargetAdmission trialTarget = target;
            PoolAdmission trialPool = pool;
            int count = 0;
            while (!admit(trialPool, trialTarget, { .customer = 1, .totalTokens = 1 }, {}, kStart))
                ++count;
            return count;
        };
        CPPUNIT_ASSERT_EQUAL(12, admitted()); // Half of 16 places, and half of the others.
        for (int i = 0; i < 100; ++i)
            adaptLimit(target, pool, { .hasFailed = true }, kStart + std::chrono::seconds(i));
        CPPUNIT_ASSERT_EQUAL(1, admitted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace chervilfield::admission
