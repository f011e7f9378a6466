#include "scheduling/wait_queue.h"

#include "requests.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilfield::scheduling {

using std::chrono::milliseconds;

namespace {

constexpr double kShort = 383;
constexpr double kLong = 17'020;
const Time kStart{ std::chrono::hours(1) };

// Arrives at `arrivedAtMs` with a goal of 400 ms.
ScheduledRequest requestOf(std::uint64_t id, int priority, double promptTokens, int arrivedAtMs = 0)
{
    const Time arrivedAt = kStart + milliseconds(arrivedAtMs);
    return { .id = id,
             .priority = priority,
             .promptTokens = promptTokens,
             .expectedWork = Seconds(0.05),
             .arrivedAt = arrivedAt,
             .goalAt = arrivedAt + milliseconds(400),
             .deadline = arrivedAt + milliseconds(4000) };
}

std::string toText(const std::vector<std::uint64_t> &ids)
{
    std::string text;
    for (const std::uint64_t id : ids)
        text += std::to_string(id) + " ";
    return text;
}

std::vector<std::uint64_t> readyIds(const WaitQueue &queue, std::size_t count, Time now)
{
    std::vector<std::uint64_t> ids;
    for (std::uint64_t id = 1; id <= count; ++id) {
        if (queue.ready(id, now))
            ids.push_back(id);
    }
    return ids;
}

/// Requests with the ids 1, 2, ... in the order of arrival.
struct OrderRow
{
    std::string name;
    std::vector<ScheduledRequest> requests;
    milliseconds at;
    std::vector<std::uint64_t> order; ///< In which `next()` returns them.
};

struct ReadyRow
{
    std::string name;
    std::vector<ScheduledRequest> requests;
    std::function<void(WaitQueue &)> act;
    std::vector<std::uint64_t> ready; ///< 100 ms after the start.
};

const Time kReadyAt = kStart + milliseconds(100);

// Goals in whole steps of 50 ms, so that equal ones occur.
ScheduledRequest anyRequest(std::uint64_t id)
{
    const auto time = [](int maxMs) {
        return milliseconds(50 * *rc::gen::inRange(-1, maxMs / 50));
    };
    ScheduledRequest request{ .id = id,
                              .priority = *rc::gen::inRange(-1, 6),
                              .promptTokens = *rc::gen::element(0.0, kShort, kLong),
                              .expectedWork =
                                      Seconds(*rc::gen::element(0.0, 0.05, 0.3, -1.0, 1e300)),
                              .arrivedAt = kStart + time(500),
                              .hasStarted = *rc::gen::arbitrary<bool>(),
                              .customer = *rc::gen::element<std::string>("", "a", "b") };
    request.goalAt = request.arrivedAt + time(1000);
    request.deadline = request.arrivedAt + time(3000);
    return request;
}

} // namespace

class WaitQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WaitQueueTest);
    CPPUNIT_TEST(order);
    CPPUNIT_TEST(onlyFirstRequestsAreReady);
    CPPUNIT_TEST(excessComesLast);
    CPPUNIT_TEST(floorIsKept);
    CPPUNIT_TEST(urgentGoalUseOfWaitingAndServed);
    CPPUNIT_TEST(countsTellWhatHappened);
    CPPUNIT_TEST(isBeforeIsStrictOrder);
    CPPUNIT_TEST(someRequestIsAlwaysReady);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against less urgent requests that are sent first, and against late requests that make
    // others late.
    void order()
    {
        ScheduledRequest largest = requestOf(1, 0, kLong);
        largest.expectedWork = Seconds(1);
        ScheduledRequest withoutGoal = requestOf(1, 0, kShort);
        withoutGoal.goalAt = withoutGoal.arrivedAt;
        const std::vector<OrderRow> rows{
            { "priority",
              { requestOf(1, 2, kShort), requestOf(2, 0, kShort), requestOf(3, 1, kShort) },
              milliseconds(10),
              { 2, 3, 1 } },
            { "short before long",
              { requestOf(1, 0, kLong), requestOf(2, 0, kShort), requestOf(3, 1, kShort) },
              milliseconds(10),
              { 2, 1, 3 } },
            { "begun before new",
              { requestOf(1, 1, kShort), begun(requestOf(2, 1, kShort, 5)) },
              milliseconds(10),
              { 2, 1 } },
            { "earliest goal",
              { requestOf(1, 0, kShort, 2), requestOf(2, 0, kShort, 1),
                requestOf(3, 0, kShort, 3) },
              milliseconds(10),
              { 2, 1, 3 } },
            { "late after those in time",
              { requestOf(1, 0, kShort, 0), requestOf(2, 0, kShort, 50),
                requestOf(3, 0, kShort, 100) },
              milliseconds(440),
              { 3, 1, 2 } },
            { "late before less urgent",
              { requestOf(1, 1, kShort, 400), requestOf(2, 0, kShort, 0) },
              milliseconds(460),
              { 2, 1 } },
            { "goal below its own work is not late",
              { largest, requestOf(2, 0, kLong, 0) },
              milliseconds(460),
              { 1, 2 } },
            { "no goal",
              { withoutGoal, requestOf(2, 0, kShort, 100) },
              milliseconds(440),
              { 2, 1 } },
        };
        for (const OrderRow &row : rows) {
            WaitQueue queue;
            const Time now = kStart + row.at;
            for (const ScheduledRequest &request : row.requests)
                queue.add(request, request.arrivedAt);
            std::vector<std::uint64_t> order;
            while (const auto id = queue.next(now)) {
                order.push_back(*id);
                queue.remove(*id);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, toText(row.order), toText(order));
            std::vector<ScheduledRequest> sorted = row.requests;
            std::ranges::sort(sorted,
                              [now](const auto &a, const auto &b) { return isBefore(a, b, now); });
            for (std::size_t i = 0; i < sorted.size(); ++i)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.order[i], sorted[i].id);
        }
    }

    // Guards against requests that take capacity before those that have waited for it, and against
    // a queue that stands still or is slower than the targets.
    void onlyFirstRequestsAreReady()
    {
        const auto nothing = [](WaitQueue &) {};
        std::vector<ScheduledRequest> tenShort;
        for (std::uint64_t id = 1; id <= 10; ++id)
            tenShort.push_back(requestOf(id, 0, kShort, static_cast<int>(id)));
        std::vector<ScheduledRequest> expired = tenShort;
        for (std::size_t i = 0; i < 8; ++i)
            expired[i].deadline = kReadyAt;
        const auto sendTwice = [](WaitQueue &queue) {
            queue.recordSent(1, kReadyAt);
            queue.recordSent(2, kReadyAt);
        };
        const std::vector<ReadyRow> rows{
            { "one short, one long",
              { requestOf(1, 0, kShort), requestOf(2, 0, kLong) },
              nothing,
              { 1 } },
            { "short beside a more urgent long one",
              { requestOf(1, 0, kLong), requestOf(2, 1, kShort) },
              nothing,
              { 1, 2 } },
            { "first two of equals", tenShort, nothing, { 1, 2 } },
            // The ids that have left are unknown to the queue, and therefore ready.
            { "success opens the window", tenShort, sendTwice, { 1, 2, 3, 4, 5, 6 } },
            { "failure closes it",
              tenShort,
              [sendTwice](WaitQueue &queue) {
                  sendTwice(queue);
                  queue.recordRefused(3);
              },
              { 1, 2, 3, 4 } },
            { "failure leaves two",
              tenShort,
              [](WaitQueue &queue) {
                  for (int i = 0; i < 10; ++i)
                      queue.recordRefused(1);
              },
              { 1, 2 } },
            { "caller disconnects",
              tenShort,
              [](WaitQueue &queue) { queue.remove(1); },
              { 1, 2, 3 } },
            { "deadlines have passed", expired, nothing, { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 } },
            { "first ones fit on no target, others do",
              { requestOf(1, 0, kShort, 1), requestOf(2, 0, kShort, 2), requestOf(3, 0, kShort, 3),
                requestOf(4, 0, kShort, 4), requestOf(5, 0, kShort, 5) },
              [](WaitQueue &queue) {
                  for (std::uint64_t id = 11; id <= 14; ++id) {
                      queue.add(requestOf(id, 0, kShort, 50), kStart);
                      queue.recordSent(id, kReadyAt);
                  }
                  for (int i = 0; i < 5; ++i)
                      queue.recordRefused(1);
              },
              { 1, 2, 3, 4, 5 } },
        };
        for (const ReadyRow &row : rows) {
            WaitQueue queue;
            for (const ScheduledRequest &request : row.requests)
                queue.add(request, request.arrivedAt);
            row.act(queue);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, toText(row.ready),
                                         toText(readyIds(queue, row.requests.size(), kReadyAt)));
        }
    }

    // Guards against a flood that delays the requests of other customers.
    void excessComesLast()
    {
        WaitQueue queue;
        std::uint64_t id = 0;
        Time now = kStart;
        const auto add = [&](const std::string &customer, int priority, double promptTokens) {
            ScheduledRequest request = requestOf(++id, priority, promptTokens);
            request.arrivedAt = now;
            request.goalAt = now + milliseconds(400);
            request.deadline = now + milliseconds(4000);
            request.customer = customer;
            queue.add(request, now);
            return id;
        };
        for (; now < kStart + std::chrono::seconds(60); now += milliseconds(100)) {
            queue.remove(add("a", 0, kShort));
            queue.remove(add("b", 0, kShort));
        }
        std::uint64_t last = 0;
        for (int i = 0; i < 200; ++i)
            last = add("a", 0, kShort);
        CPPUNIT_ASSERT(queue.standing(last, now).isExcess);
        const std::uint64_t other = add("b", 2, kLong);
        CPPUNIT_ASSERT(!queue.standing(other, now).isExcess);
        // The usual part of the first customer leaves, its excess does not hold up the other one.
        for (std::uint64_t earlier = 1; earlier < last; ++earlier) {
            if (!queue.standing(earlier, now).isExcess)
                queue.remove(earlier);
        }
        CPPUNIT_ASSERT(queue.size() > 100);
        CPPUNIT_ASSERT_EQUAL(other, queue.next(now).value_or(0));
        CPPUNIT_ASSERT(queue.ready(other, now));
        CPPUNIT_ASSERT(!queue.ready(last, now));
    }

    // Guards against the starvation of the least urgent, and against a floor that grows beyond its
    // share of the work.
    void floorIsKept()
    {
        for (const double share : { 0.05, 0.1, 0.3 }) {
            WaitQueue queue({ .floorShare = share });
            std::map<int, double> work;
            std::uint64_t id = 0;
            std::map<std::uint64_t, ScheduledRequest> waiting;
            const auto add = [&](int priority, double promptTokens, double seconds) {
                ScheduledRequest request = requestOf(++id, priority, promptTokens);
                request.expectedWork = Seconds(seconds);
                queue.add(request, kStart);
                waiting[id] = request;
            };
            // Capacity is never enough for the requests of priority 0.
            for (int i = 0; i < 4000; ++i) {
                add(0, kShort, 0.05);
                add(0, kShort, 0.05);
                if (i % 10 == 0)
                    add(2, kLong, 0.3);
                const std::uint64_t next = *queue.next(kStart);
                work[waiting[next].priority] += waiting[next].expectedWork.count();
                CPPUNIT_ASSERT(queue.ready(next, kStart));
                queue.recordSent(next, kStart);
            }
            const double leastShare = work[2] / (work[0] + work[2]);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(leastShare),
                                   leastShare > 0.9 * share && leastShare < 1.1 * share);
        }
    }

    // Guards against long prompts that are sent while short ones miss their goals, and against
    // those that are held back for good.
    void urgentGoalUseOfWaitingAndServed()
    {
        WaitQueue queue;
        const auto use = [&](std::uint64_t id, int atMs) {
            return queue.standing(id, kStart + milliseconds(atMs)).urgentGoalUse;
        };
        queue.add(requestOf(1, 2, kLong), kStart);
        CPPUNIT_ASSERT_EQUAL(0.0, use(1, 0));
        queue.add(requestOf(2, 0, kShort), kStart);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, use(1, 200), 1e-6);
        CPPUNIT_ASSERT_EQUAL(0.0, use(2, 200));
        queue.remove(2);
        CPPUNIT_ASSERT_EQUAL(0.0, use(1, 200));
        for (int ms = 1000; ms <= 2000; ms += 50)
            queue.recordFirstEvent(requestOf(3, 0, kShort, ms - 300), kStart + milliseconds(ms));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, use(1, 2000), 0.05);
        CPPUNIT_ASSERT(use(1, 3000) < 0.05);
        // Long prompts do not hold back others, nor do less urgent requests.
        queue.recordFirstEvent(requestOf(3, 0, kLong, 4000), kStart + milliseconds(4400));
        queue.recordFirstEvent(requestOf(3, 3, kShort, 4000), kStart + milliseconds(4400));
        CPPUNIT_ASSERT(use(1, 4400) < 0.05);
    }

    // Guards against metrics that hide requests which their flow has forgotten in the queue.
    void countsTellWhatHappened()
    {
        WaitQueue queue;
        queue.add(requestOf(1, 0, kShort), kStart);
        queue.add(requestOf(2, 0, kShort), kStart);
        queue.add(requestOf(3, 0, kLong), kStart);
        queue.recordRefused(1);
        queue.recordRefused(9);
        queue.recordSent(2, kStart);
        queue.recordSent(9, kStart);
        queue.remove(1);
        // The last one expires.
        queue.add(requestOf(4, 0, kShort, 5000), kStart + milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.size());
        const WaitQueueCounts &counts = queue.counts();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), counts.added);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counts.excess);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.sent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counts.sentByFloor);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.refusedTries);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.expired);
    }

    // Guards against an order that depends on the order of arrival or comparison.
    void isBeforeIsStrictOrder()
    {
        CPPUNIT_ASSERT(rc::check("strict order", [] {
            const ScheduledRequest a = anyRequest(1);
            const ScheduledRequest b = anyRequest(2);
            const ScheduledRequest c = anyRequest(3);
            const Time now = kStart + milliseconds(*rc::gen::inRange(0, 1000));
            RC_ASSERT(!isBefore(a, a, now));
            RC_ASSERT(isBefore(a, b, now) != isBefore(b, a, now));
            if (isBefore(a, b, now) && isBefore(b, c, now))
                RC_ASSERT(isBefore(a, c, now));
            if (engineUrgency(a) < engineUrgency(b))
                RC_ASSERT(isBefore(a, b, now));
        }));
    }

    // Guards against a queue in which all requests wait for each other, also with absurd values.
    void someRequestIsAlwaysReady()
    {
        CPPUNIT_ASSERT(rc::check("progress", [] {
            WaitQueue queue;
            std::set<std::uint64_t> waiting;
            Time now = kStart;
            for (int i = *rc::gen::inRange(0, 200); i > 0; --i) {
                now += milliseconds(*rc::gen::inRange(0, 20));
                const auto id = *rc::gen::inRange<std::uint64_t>(1, 40);
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    queue.remove(id);
                    waiting.erase(id);
                    break;
                case 1:
                    queue.recordSent(id, now);
                    waiting.erase(id);
                    break;
                case 2:
                    queue.recordRefused(id);
                    break;
                case 3:
                    queue.recordFirstEvent(anyRequest(id), now);
                    break;
                default:
                    queue.add(anyRequest(id), now);
                    waiting.insert(id);
                }
                const auto next = queue.next(now);
                RC_ASSERT(next.has_value() == (queue.size() > 0));
                if (!next)
                    continue;
                RC_ASSERT(waiting.contains(*next));
                RC_ASSERT(queue.ready(*next, now));
                RC_ASSERT(queue.standing(*next, now).isReady);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitQueueTest);

} // namespace chervilfield::scheduling
