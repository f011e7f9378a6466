#include "scheduling/admission_verdict.h"

#include "requests.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::scheduling {

using std::chrono::milliseconds;

namespace {

constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinity = std::numeric_limits<double>::infinity();
const Time kStart{ std::chrono::hours(1) };

ScheduledRequest quickCheck()
{
    return { .id = 1,
             .priority = 0,
             .promptTokens = 383,
             .expectedWork = Seconds(0.05),
             .arrivedAt = kStart,
             .goalAt = kStart + milliseconds(400),
             .deadline = kStart + milliseconds(4000) };
}

ScheduledRequest review()
{
    return { .id = 2,
             .priority = 2,
             .promptTokens = 17'020,
             .expectedWork = Seconds(0.3),
             .arrivedAt = kStart,
             .goalAt = kStart + milliseconds(1200),
             .deadline = kStart + milliseconds(6000) };
}

constexpr Standing kReady{ .isReady = true };
constexpr Standing kUrgentNearGoal{ .isReady = true, .urgentGoalUse = 0.6 };
constexpr Standing kUrgentAtGoal{ .isReady = true, .urgentGoalUse = 0.9 };
constexpr PoolCapacity kFree{ .slots = 100, .requestsInFlight = 60, .speed = 8, .instances = 5 };
constexpr PoolCapacity kFull{ .slots = 100, .requestsInFlight = 100, .speed = 8, .instances = 5 };
// 100 excess requests: a free slot is expected after 0.6 s.
constexpr PoolCapacity kOverfull{
    .slots = 100, .requestsInFlight = 199, .speed = 8, .instances = 5
};
// 4.0 s of prefill.
constexpr PoolCapacity kBacklogged{
    .slots = 100, .requestsInFlight = 100, .backlogTokens = 3'200'000, .speed = 8, .instances = 5
};

struct Row
{
    std::string name;
    ScheduledRequest request;
    Standing standing;
    std::optional<Seconds> timeToFirstEvent;
    PoolCapacity capacity;
    milliseconds waited;
    Verdict verdict;
};

std::string toText(Verdict verdict)
{
    switch (verdict) {
    case Verdict::SendNow:
        return "send";
    case Verdict::Wait:
        return "wait";
    case Verdict::Refuse:
        return "refuse";
    }
    return {};
}

void check(const std::vector<Row> &rows)
{
    for (const Row &row : rows)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, toText(row.verdict),
                                     toText(decide(row.request, row.standing, row.timeToFirstEvent,
                                                   row.capacity, {}, kStart + row.waited)));
}

rc::Gen<double> anyNumber()
{
    return rc::gen::oneOf(
            rc::gen::element(0.0, -1.0, kNaN, kInfinity, -kInfinity, 1e300),
            rc::gen::map(rc::gen::inRange(0, 10'000), [](int value) { return value / 100.0; }));
}

rc::Gen<milliseconds> anyTime()
{
    return rc::gen::map(rc::gen::inRange(0, 10'000), [](int value) { return milliseconds(value); });
}

ScheduledRequest anyRequest()
{
    ScheduledRequest request{ .id = *rc::gen::arbitrary<std::uint64_t>(),
                              .priority = *rc::gen::inRange(-1, 6),
                              .promptTokens = *rc::gen::element(0.0, 383.0, 17'020.0, kNaN),
                              .expectedWork = Seconds(*anyNumber()),
                              .arrivedAt = kStart,
                              .hasStarted = *rc::gen::arbitrary<bool>() };
    request.goalAt = kStart + *anyTime();
    request.deadline = kStart + *anyTime();
    return request;
}

Standing anyStanding()
{
    return { .isReady = *rc::gen::arbitrary<bool>(),
             .hasFloorTurn = *rc::gen::arbitrary<bool>(),
             .isExcess = *rc::gen::arbitrary<bool>(),
             .workBefore = Seconds(*rc::gen::inRange(0, 100)),
             .urgentGoalUse = *rc::gen::inRange(0, 20) / 10.0 };
}

PoolCapacity anyCapacity()
{
    return { .slots = *anyNumber(),
             .requestsInFlight = *anyNumber(),
             .backlogTokens = *anyNumber(),
             .speed = *anyNumber(),
             .instances = *anyNumber() };
}

std::optional<Seconds> anyEstimate()
{
    if (*rc::gen::arbitrary<bool>())
        return std::nullopt;
    return Seconds(*anyNumber());
}

} // namespace

class AdmissionVerdictTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionVerdictTest);
    CPPUNIT_TEST(servableRequestsAreKept);
    CPPUNIT_TEST(lessUrgentRequestsAreHeldBack);
    CPPUNIT_TEST(lateRequestsUseFreeSlots);
    CPPUNIT_TEST(refusalsAreForUnservableRequestsOnly);
    CPPUNIT_TEST(onlyReadyRequestsAreSent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals of requests that a target could still serve, and against requests
    // that wait although nothing can serve them any more.
    void servableRequestsAreKept()
    {
        check({
                { "in time", quickCheck(), kReady, Seconds(0.05), kFree, milliseconds(0),
                  Verdict::SendNow },
                { "in time, all slots taken", quickCheck(), kReady, Seconds(0.3), kFull,
                  milliseconds(0), Verdict::SendNow },
                { "no target", quickCheck(), kReady, std::nullopt, kFull, milliseconds(0),
                  Verdict::Wait },
                { "no target although slots are free", quickCheck(), kReady, std::nullopt, kFree,
                  milliseconds(3900), Verdict::Wait },
                { "deadline has passed", quickCheck(), kReady, Seconds(0.05), kFree,
                  milliseconds(4000), Verdict::Refuse },
                { "shorter time left than work", quickCheck(), kReady, std::nullopt, kFree,
                  milliseconds(3960), Verdict::Refuse },
                { "a target is fast enough all the same", quickCheck(), kReady, Seconds(0.03),
                  kFree, milliseconds(3960), Verdict::SendNow },
                { "no slot before the deadline", quickCheck(), kReady, std::nullopt, kOverfull,
                  milliseconds(3400), Verdict::Refuse },
                { "slot before the deadline", quickCheck(), kReady, std::nullopt, kOverfull,
                  milliseconds(3300), Verdict::Wait },
                { "backlog beyond the deadline", review(), kReady, std::nullopt, kBacklogged,
                  milliseconds(1800), Verdict::Refuse },
                { "backlog within the deadline", review(), kReady, std::nullopt, kBacklogged,
                  milliseconds(1600), Verdict::Wait },
                { "backlog does not delay short prompts", quickCheck(), kReady, std::nullopt,
                  kBacklogged, milliseconds(1800), Verdict::Wait },
                // 72 s of work at each of 5 instances on 100 slots take 3.6 s.
                { "waiting work beyond the deadline",
                  quickCheck(),
                  { .isReady = false, .workBefore = Seconds(72) },
                  std::nullopt,
                  kFull,
                  milliseconds(400),
                  Verdict::Refuse },
                { "no capacity at all",
                  quickCheck(),
                  kReady,
                  std::nullopt,
                  {},
                  milliseconds(3400),
                  Verdict::Refuse },
        });
    }

    // Guards against long prompts, floods and less urgent kinds that take the capacity of urgent
    // requests, and against their starvation.
    void lessUrgentRequestsAreHeldBack()
    {
        constexpr Standing kFloorTurn{ .isReady = true, .hasFloorTurn = true, .urgentGoalUse = 5 };
        constexpr Standing kExcess{ .isReady = true, .isExcess = true, .urgentGoalUse = 0.6 };
        ScheduledRequest lessUrgent = quickCheck();
        lessUrgent.priority = 1;
        check({
                { "long, urgent requests unhurt", review(), kReady, Seconds(0.1), kFull,
                  milliseconds(0), Verdict::SendNow },
                { "long, urgent requests near their goal", review(), kUrgentNearGoal, Seconds(0.1),
                  kFree, milliseconds(0), Verdict::Wait },
                { "long, floor", review(), kFloorTurn, Seconds(0.1), kFull, milliseconds(0),
                  Verdict::SendNow },
                { "long, late, floor", review(), kFloorTurn, Seconds(0.1), kFull,
                  milliseconds(3000), Verdict::SendNow },
                { "excess of a flood", quickCheck(), kExcess, Seconds(0.1), kFree, milliseconds(0),
                  Verdict::Wait },
                { "short, urgent requests near their goal", lessUrgent, kUrgentNearGoal,
                  Seconds(0.1), kFree, milliseconds(0), Verdict::SendNow },
                { "short, urgent requests at their goal", lessUrgent, kUrgentAtGoal, Seconds(0.1),
                  kFree, milliseconds(0), Verdict::Wait },
                { "begun", begun(review()), kUrgentAtGoal, Seconds(0.1), kFull, milliseconds(3000),
                  Verdict::SendNow },
                { "begun, not ready",
                  begun(review()),
                  {},
                  Seconds(0.1),
                  kFull,
                  milliseconds(0),
                  Verdict::SendNow },
                { "not ready",
                  quickCheck(),
                  {},
                  Seconds(0.1),
                  kFree,
                  milliseconds(0),
                  Verdict::Wait },
        });
    }

    // Guards against late requests that are dropped while slots are free, and against late ones
    // that take the capacity of those in time.
    void lateRequestsUseFreeSlots()
    {
        ScheduledRequest withoutGoal = quickCheck();
        withoutGoal.goalAt = withoutGoal.arrivedAt;
        ScheduledRequest largest = review();
        largest.expectedWork = Seconds(2);
        check({
                { "waits for a better target", quickCheck(), kReady, Seconds(0.5), kFree,
                  milliseconds(0), Verdict::Wait },
                { "no better target", quickCheck(), kReady, Seconds(0.5), kFree, milliseconds(200),
                  Verdict::SendNow },
                { "late, free slot", quickCheck(), kReady, Seconds(0.1), kFree, milliseconds(1000),
                  Verdict::SendNow },
                { "late, no free slot", quickCheck(), kReady, Seconds(0.1), kFull,
                  milliseconds(1000), Verdict::Wait },
                { "no goal", withoutGoal, kReady, Seconds(2), kFull, milliseconds(1000),
                  Verdict::SendNow },
                { "goal below its own work", largest, kReady, Seconds(2.5), kFull,
                  milliseconds(1000), Verdict::SendNow },
        });
    }

    // Guards against refusals because of load, also if values are absurd.
    void refusalsAreForUnservableRequestsOnly()
    {
        CPPUNIT_ASSERT(rc::check("refusals", [] {
            const ScheduledRequest request = anyRequest();
            const Standing standing = anyStanding();
            const PoolCapacity capacity = anyCapacity();
            const auto estimate = anyEstimate();
            const Time now = kStart + *anyTime();
            const Verdict verdict = decide(request, standing, estimate, capacity, {}, now);
            const Seconds timeLeft = request.deadline - now;
            if (timeLeft <= Seconds(0)) {
                RC_ASSERT(verdict == Verdict::Refuse);
                return;
            }
            if (estimate && *estimate < timeLeft)
                RC_ASSERT(verdict != Verdict::Refuse);
            const bool isServableWhenIdle = !(request.expectedWork >= timeLeft);
            const bool hasFreeSlot =
                    capacity.slots > 0 && !(capacity.requestsInFlight >= capacity.slots);
            if (hasFreeSlot && isServableWhenIdle)
                RC_ASSERT(verdict != Verdict::Refuse);
        }));
    }

    // Guards against requests that overtake those before them.
    void onlyReadyRequestsAreSent()
    {
        CPPUNIT_ASSERT(rc::check("sends", [] {
            const ScheduledRequest request = anyRequest();
            const Standing standing = anyStanding();
            const auto estimate = anyEstimate();
            const Time now = kStart + *anyTime();
            if (decide(request, standing, estimate, anyCapacity(), {}, now) != Verdict::SendNow)
                return;
            RC_ASSERT(estimate.has_value());
            RC_ASSERT(standing.isReady || request.hasStarted);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionVerdictTest);

} // namespace chervilfield::scheduling
