#include "scheduling/return_schedule.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

namespace chervilfield::scheduling {

using std::chrono::milliseconds;

namespace {

const Time kStart{ std::chrono::hours(1) };
// This instance has 10 of the slots.
constexpr PoolCapacity kCapacity{ .slots = 100, .requestsInFlight = 100, .instances = 10 };

ScheduledRequest requestOf(std::uint64_t id, int priority, milliseconds timeLeft, Seconds work)
{
    return { .id = id,
             .priority = priority,
             .promptTokens = 383,
             .expectedWork = work,
             .arrivedAt = kStart,
             .goalAt = kStart + milliseconds(400),
             .deadline = kStart + timeLeft };
}

struct Row
{
    std::string name;
    int priority;
    milliseconds timeLeft;
    Seconds workBefore;
    /// Return times in milliseconds.
    int min;
    int max;
};

} // namespace

class ReturnScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReturnScheduleTest);
    CPPUNIT_TEST(returnTimes);
    CPPUNIT_TEST(completionRateSpreadsReturns);
    CPPUNIT_TEST(moreUrgentCallersReturnFirst);
    CPPUNIT_TEST(returnTimesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against callers that return before they can be admitted, or after they have given up.
    void returnTimes()
    {
        const std::vector<Row> rows{
            { "nothing before it", 0, milliseconds(6000), Seconds(0), 20, 110 },
            { "work before it", 0, milliseconds(6000), Seconds(10), 1000, 1100 },
            { "third of the remaining time", 0, milliseconds(6000), Seconds(1000), 1900, 2000 },
            { "little time left", 0, milliseconds(30), Seconds(1000), 7, 10 },
            { "no time left", 0, milliseconds(0), Seconds(1), 0, 0 },
            { "deadline has passed", 0, milliseconds(-100), Seconds(1), 0, 0 },
            { "work that is not a number", 0, milliseconds(6000),
              Seconds(std::numeric_limits<double>::quiet_NaN()), 20, 110 },
        };
        for (const Row &row : rows) {
            ReturnSchedule schedule;
            const auto wait =
                    schedule.retryAfter(requestOf(1, row.priority, row.timeLeft, Seconds(1)),
                                        row.workBefore, kCapacity, kStart);
            CPPUNIT_ASSERT_MESSAGE(row.name + ": " + std::to_string(wait.count()),
                                   wait >= milliseconds(row.min) && wait <= milliseconds(row.max));
        }
    }

    // Guards against refused callers that return at the same moment or faster than work completes.
    void completionRateSpreadsReturns()
    {
        ReturnSchedule schedule;
        // 5 slot seconds complete per second.
        for (int ms = 0; ms <= 4000; ms += 10)
            schedule.recordCompleted(Seconds(0.05), kStart + milliseconds(ms - 4000));
        std::vector<milliseconds> returns;
        for (std::uint64_t id = 0; id < 100; ++id)
            returns.push_back(
                    schedule.retryAfter(requestOf(id, 0, milliseconds(60'000), Seconds(0.05)),
                                        Seconds(0), kCapacity, kStart));
        // 100 callers with 0.05 s of work each need 1 s.
        for (milliseconds from(0); from < milliseconds(1000); from += milliseconds(100)) {
            const auto count = std::ranges::count_if(returns, [from](milliseconds wait) {
                return wait >= from && wait < from + milliseconds(100);
            });
            CPPUNIT_ASSERT_MESSAGE(std::to_string(from.count()), count >= 5 && count <= 15);
        }
    }

    // Guards against less urgent callers that return before more urgent ones.
    void moreUrgentCallersReturnFirst()
    {
        CPPUNIT_ASSERT(rc::check("order of returns", [] {
            ReturnSchedule schedule;
            const auto earlier = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(0, 100),
                                                                       rc::gen::inRange(0, 4));
            const Seconds work(*rc::gen::inRange(1, 100) / 100.0);
            const Seconds workBefore(*rc::gen::inRange(0, 10));
            const milliseconds timeLeft(*rc::gen::inRange(0, 30'000));
            std::uint64_t id = 0;
            std::vector<milliseconds> lastReturns(5);
            for (const int priority : earlier) {
                const auto wait = schedule.retryAfter(requestOf(++id, priority, timeLeft, work),
                                                      workBefore, kCapacity, kStart);
                for (int other = 0; other <= priority; ++other)
                    RC_ASSERT(wait >= lastReturns.at(static_cast<std::size_t>(other)));
                auto &last = lastReturns.at(static_cast<std::size_t>(priority));
                last = std::max(last, wait);
            }
        }));
    }

    // Guards against times that callers do not honour and against values that overflow.
    void returnTimesAreBounded()
    {
        CPPUNIT_ASSERT(rc::check("bounds", [] {
            ReturnSchedule schedule;
            const double inf = std::numeric_limits<double>::infinity();
            const double nan = std::numeric_limits<double>::quiet_NaN();
            const auto number = [&] {
                return *rc::gen::element(0.0, -1.0, 0.5, 10.0, 1e300, inf, -inf, nan);
            };
            for (int i = *rc::gen::inRange(0, 50); i > 0; --i) {
                const Time now = kStart + milliseconds(*rc::gen::inRange(0, 10'000));
                if (*rc::gen::arbitrary<bool>()) {
                    schedule.recordCompleted(Seconds(number()), now);
                    continue;
                }
                const auto request =
                        requestOf(1, *rc::gen::inRange(-2, 12),
                                  milliseconds(*rc::gen::inRange(0, 10'000)), Seconds(number()));
                const auto wait =
                        schedule.retryAfter(request, Seconds(number()),
                                            { .slots = number(), .instances = number() }, now);
                const auto timeLeft = std::max(Seconds(0), Seconds(request.deadline - now));
                RC_ASSERT(wait >= milliseconds(0));
                RC_ASSERT(Seconds(wait) <= timeLeft / 3);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnScheduleTest);

} // namespace chervilfield::scheduling
