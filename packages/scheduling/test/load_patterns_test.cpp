#include "scheduling/admission_verdict.h"
#include "scheduling/wait_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chervilfield::scheduling {

using std::chrono::milliseconds;

namespace {

const Time kStart{ std::chrono::hours(1) };
// The usual load of customers is known after a minute.
constexpr int kLoadStartMs = 60'000; ///< From here on, the load pattern.
constexpr int kLoadEndMs = 68'000;
constexpr int kEndMs = 75'000;

/// Requests of one kind and customer.
struct Load
{
    std::string name;
    std::string customer;
    ScheduledRequest request; ///< Its times are relative to the arrival.
    double usualPerSecond;
    double patternPerSecond; ///< During the load pattern.
};

/// Requests of one load that arrived during the pattern.
struct Outcome
{
    double arrived = 0;
    double inGoal = 0;
    double served = 0;
    double refused = 0;
    Seconds work{ 0 }; ///< Slot time that began during the pattern.
};

ScheduledRequest kind(int priority, double promptTokens, Seconds work, milliseconds goal,
                      milliseconds timeout)
{
    return { .priority = priority,
             .promptTokens = promptTokens,
             .expectedWork = work,
             .arrivedAt = Time{},
             .goalAt = Time(goal),
             .deadline = Time(timeout) };
}

// The quick checks use 30 of 100 slots, the reviews 54.
ScheduledRequest quickCheck()
{
    return kind(0, 383, Seconds(0.05), milliseconds(400), milliseconds(4000));
}

ScheduledRequest review()
{
    return kind(2, 17'020, Seconds(0.6), milliseconds(1200), milliseconds(6000));
}

ScheduledRequest largestReview()
{
    return kind(2, 93'000, Seconds(2), milliseconds(1200), milliseconds(6000));
}

/// Instances that send to one pool of slots and poll as the relay does. The first event follows
/// after half of the slot time.
class PoolModel
{
public:
    PoolModel(std::vector<Load> loads, std::size_t instances)
        : loads_(std::move(loads)), queues_(instances)
    {
    }

    std::map<std::string, Outcome> run(int patternSlots)
    {
        for (int ms = 0; ms < kEndMs; ++ms) {
            now_ = kStart + milliseconds(ms);
            isPattern_ = ms >= kLoadStartMs && ms < kLoadEndMs;
            setSlots(isPattern_ ? patternSlots : kSlots);
            endRequests();
            addArrivals();
            // The order of polls does not depend on that of the arrivals.
            const auto dueEnd = std::partition(
                    waiting_.begin(), waiting_.end(),
                    [this](const Waiting &waiting) { return waiting.pollAt <= now_; });
            std::shuffle(waiting_.begin(), dueEnd, random_);
            const auto kept = std::remove_if(waiting_.begin(), dueEnd,
                                             [this](Waiting &waiting) { return !poll(waiting); });
            waiting_.erase(kept, dueEnd);
        }
        return outcomes_;
    }

private:
    static constexpr int kSlots = 100;

    struct Waiting
    {
        ScheduledRequest request;
        const Load *load;
        WaitQueue *queue;
        Time pollAt;
        bool isCounted; ///< Arrived during the pattern.
    };

    // Requests at lost targets end without an answer.
    void setSlots(int slots)
    {
        const int lost = slots < slots_ ? inFlight_ - inFlight_ * slots / slots_ : 0;
        slots_ = slots;
        for (int i = 0; i < lost; ++i) {
            const auto skipped = static_cast<std::ptrdiff_t>(random_() % ends_.size());
            ends_.erase(std::next(ends_.begin(), skipped));
            --inFlight_;
        }
    }

    void endRequests()
    {
        for (; !ends_.empty() && ends_.begin()->first <= now_; ends_.erase(ends_.begin()))
            --inFlight_;
        for (; !firstEvents_.empty() && firstEvents_.begin()->first <= now_;
             firstEvents_.erase(firstEvents_.begin())) {
            const Waiting &sent = firstEvents_.begin()->second;
            sent.queue->recordFirstEvent(sent.request, now_);
        }
    }

    void addArrivals()
    {
        for (const Load &load : loads_) {
            const double perSecond = isPattern_ ? load.patternPerSecond : load.usualPerSecond;
            for (int i = std::poisson_distribution<int>(perSecond / 1000)(random_); i > 0; --i)
                addArrival(load);
        }
    }

    void addArrival(const Load &load)
    {
        ScheduledRequest request = load.request;
        request.id = ++lastId_;
        request.customer = load.customer;
        request.arrivedAt = now_;
        request.goalAt = now_ + load.request.goalAt.time_since_epoch();
        request.deadline = now_ + load.request.deadline.time_since_epoch();
        WaitQueue &queue = queues_.at(random_() % queues_.size());
        queue.add(request, now_);
        waiting_.push_back({ request, &load, &queue, now_, isPattern_ });
        outcomes_[load.name].arrived += isPattern_ ? 1 : 0;
    }

    // Returns false if the request no longer waits.
    bool poll(Waiting &waiting)
    {
        const ScheduledRequest &request = waiting.request;
        const Standing standing = waiting.queue->standing(request.id, now_);
        std::optional<Seconds> timeToFirstEvent;
        if (standing.isReady && inFlight_ < slots_)
            timeToFirstEvent = request.expectedWork / 2;
        const PoolCapacity capacity{ .slots = static_cast<double>(slots_),
                                     .requestsInFlight = static_cast<double>(inFlight_),
                                     .speed = 8,
                                     .instances = static_cast<double>(queues_.size()) };
        Outcome &outcome = outcomes_[waiting.load->name];
        switch (decide(request, standing, timeToFirstEvent, capacity, {}, now_)) {
        case Verdict::Wait:
            if (standing.isReady && !timeToFirstEvent)
                waiting.queue->recordRefused(request.id);
            waiting.pollAt = now_ + milliseconds(15);
            return true;
        case Verdict::Refuse:
            waiting.queue->remove(request.id);
            outcome.refused += waiting.isCounted ? 1 : 0;
            return false;
        case Verdict::SendNow:
            break;
        }
        waiting.queue->recordSent(request.id, now_);
        ++inFlight_;
        const auto toDuration = [](Seconds time) {
            return std::chrono::duration_cast<Time::duration>(time);
        };
        const Time firstEventAt = now_ + toDuration(*timeToFirstEvent);
        ends_.emplace(now_ + toDuration(request.expectedWork), 0);
        firstEvents_.emplace(firstEventAt, waiting);
        if (waiting.isCounted) {
            outcome.served += 1;
            outcome.inGoal += firstEventAt <= request.goalAt ? 1 : 0;
        }
        if (isPattern_)
            outcome.work += request.expectedWork;
        return false;
    }

    std::vector<Load> loads_;
    std::vector<WaitQueue> queues_;
    std::vector<Waiting> waiting_;
    std::multimap<Time, int> ends_;
    std::multimap<Time, Waiting> firstEvents_;
    std::map<std::string, Outcome> outcomes_;
    std::mt19937_64 random_{ 7 };
    Time now_{};
    std::uint64_t lastId_ = 0;
    int slots_ = kSlots;
    int inFlight_ = 0;
    bool isPattern_ = false;
};

/// Bounds for the requests of one load.
struct Expectation
{
    std::string name;
    double minInGoal = 0; ///< Share of the requests.
    double minServed = 0;
    double maxServed = 1;
    std::string halfOf; ///< Load of which at least half as large a share is served.
    /// Share of the slot time of all requests, less one request per instance.
    double minWork = 0;
};

struct Row
{
    std::string name;
    std::vector<Load> loads;
    int slots;
    std::vector<Expectation> expectations;
};

void check(const Row &row, std::size_t instances)
{
    auto outcomes = PoolModel(row.loads, instances).run(row.slots);
    Seconds work{ 0 };
    for (const auto &[name, outcome] : outcomes)
        work += outcome.work;
    constexpr Seconds kPattern = milliseconds(kLoadEndMs - kLoadStartMs);
    std::string text = row.name + ", " + std::to_string(instances) + " instances: used "
                       + std::to_string(work / (kPattern * row.slots));
    for (const auto &[name, outcome] : outcomes)
        text += "; " + name + ": in goal " + std::to_string(outcome.inGoal / outcome.arrived)
                + ", served " + std::to_string(outcome.served / outcome.arrived) + ", work "
                + std::to_string(outcome.work / work);
    // Order must not cost capacity that requests wait for.
    CPPUNIT_ASSERT_MESSAGE(text, work / (kPattern * row.slots) > 0.9);
    for (const Expectation &expected : row.expectations) {
        const Outcome &outcome = outcomes.at(expected.name);
        CPPUNIT_ASSERT_MESSAGE(text, outcome.arrived == outcome.served + outcome.refused);
        CPPUNIT_ASSERT_MESSAGE(text, outcome.inGoal >= expected.minInGoal * outcome.arrived);
        CPPUNIT_ASSERT_MESSAGE(text, outcome.served >= expected.minServed * outcome.arrived);
        CPPUNIT_ASSERT_MESSAGE(text, outcome.served <= expected.maxServed * outcome.arrived);
        if (!expected.halfOf.empty()) {
            const Outcome &other = outcomes.at(expected.halfOf);
            CPPUNIT_ASSERT_MESSAGE(text, outcome.served / outcome.arrived
                                                 >= 0.5 * other.served / other.arrived);
        }
        const Seconds tolerance = static_cast<double>(instances) * review().expectedWork;
        CPPUNIT_ASSERT_MESSAGE(text, outcome.work + tolerance >= expected.minWork * work);
    }
}

} // namespace

class LoadPatternsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadPatternsTest);
    CPPUNIT_TEST(urgentRequestsMeetTheirGoals);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against urgent requests that miss their goals behind others, and against less urgent
    // ones that are not served at all.
    void urgentRequestsMeetTheirGoals()
    {
        const double floor = WaitQueueOptions{}.floorShare;
        const std::vector<Row> rows{
            { "burst of long requests",
              { { "quick", "a", quickCheck(), 600, 600 }, { "review", "a", review(), 90, 225 } },
              100,
              { { .name = "quick", .minInGoal = 0.99 },
                { .name = "review", .minServed = 0.45, .minWork = floor } } },
            { "burst of short requests",
              { { "quick", "a", quickCheck(), 600, 950 }, { "review", "a", review(), 90, 90 } },
              100,
              { { .name = "quick", .minInGoal = 0.99 },
                { .name = "review", .minServed = 0.8, .minWork = floor } } },
            { "half of the targets gone",
              { { "quick", "a", quickCheck(), 600, 600 }, { "review", "a", review(), 90, 90 } },
              50,
              { { .name = "quick", .minInGoal = 0.99 },
                { .name = "review", .minServed = 0.3, .minWork = floor } } },
            { "uniform overload",
              { { "quick", "a", quickCheck(), 600, 1000 }, { "review", "a", review(), 90, 150 } },
              60,
              { { .name = "quick", .minInGoal = 0.95 },
                { .name = "review", .maxServed = 0.5, .minWork = floor } } },
            { "short requests exceed all slots",
              { { "quick", "a", quickCheck(), 600, 2400 }, { "review", "a", review(), 90, 90 } },
              100,
              { { .name = "quick", .minServed = 0.7 },
                { .name = "review", .maxServed = 0.7, .minWork = floor } } },
            { "burst of long requests of two sizes",
              { { "quick", "a", quickCheck(), 600, 600 },
                { "review", "a", review(), 80, 200 },
                { "largest review", "a", largestReview(), 3, 8 } },
              100,
              { { .name = "quick", .minInGoal = 0.99 },
                { .name = "largest review", .halfOf = "review" } } },
            { "flood of one customer",
              { { "quick", "a", quickCheck(), 450, 450 },
                { "quick of flood", "b", quickCheck(), 150, 900 },
                { "review", "a", review(), 90, 90 } },
              100,
              { { .name = "quick", .minInGoal = 0.99 },
                { .name = "quick of flood", .minServed = 2.0 / 6 },
                { .name = "review", .minServed = 0.9 } } },
        };
        for (const Row &row : rows) {
            // With many instances, each of them sees few requests.
            for (const std::size_t instances : { 4, 40 })
                check(row, instances);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPatternsTest);

} // namespace chervilfield::scheduling
