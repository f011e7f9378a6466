#include "dispatch/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chervilfield::dispatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{ std::chrono::hours(1) };
constexpr std::uint32_t kSlots = 24;

// Returns a view with a pool `p` of engines. The first `localCount` are in data centre "d".
fleet::ViewPtr makeView(std::size_t count, std::size_t localCount, std::uint64_t startedAt = 1)
{
    auto configuration = std::make_shared<fleet::Configuration>();
    configuration->pools = {
        { .name = "p", .engine = fleet::EngineTraits{ .slots = kSlots, .cacheTokens = 165'000 } },
        { .name = "services" }
    };
    std::vector<fleet::Target> targets;
    for (const std::string pool : { "p", "services" }) {
        for (std::size_t i = 0; i < count; ++i)
            targets.push_back({ .id = pool + std::to_string(i),
                                .pool = pool,
                                .dataCentre = i < localCount ? "d" : "other",
                                .slots = kSlots,
                                .startedAt = startedAt,
                                .weights = { { "m", 1 } } });
    }
    fleet::WeightsHistory history{ { "m", { { 1, kStart - seconds(100) } } } };
    return std::make_shared<const fleet::View>(configuration, targets, history, 1);
}

PlacementRequest shortRequest()
{
    return { .model = "m",
             .promptTokens = 383,
             .maxOutputTokens = 6,
             .latencyGoal = milliseconds(400),
             .timeLeft = milliseconds(4000) };
}

PlacementRequest longRequest(const std::vector<PromptPart> &parts)
{
    return { .model = "m",
             .parts = parts,
             .promptTokens = 17'020,
             .maxOutputTokens = 17,
             .latencyGoal = milliseconds(600),
             .timeLeft = milliseconds(8000) };
}

std::vector<PromptPart> makeParts(int prefix)
{
    return { { "shared" + std::to_string(prefix), 13'300 }, { "own", 3720 } };
}

Placement place(Placer &placer, const PlacementRequest &request, const fleet::View &view, Time now,
                const std::string &pool = "p")
{
    return std::get<Placement>(placer.place(request, pool, view, Acceptance::Late, now));
}

// Records samples of all targets for 20 s. `relativeTime` is by the index of the target in its
// pool. Returns the time of the last sample.
Time teach(Placer &placer, const fleet::View &view,
           const std::function<double(std::size_t index)> &relativeTime,
           const std::function<double(double concurrency)> &interval = {}, Time now = kStart)
{
    std::mt19937_64 random(11);
    std::normal_distribution<double> noise(0, 0.2);
    const Time end = now + seconds(20);
    for (; now < end; now += milliseconds(100)) {
        for (const fleet::Target &target : view.targets()) {
            const auto index = static_cast<std::size_t>(
                    std::stoi(target.id.substr(target.id.find_first_of("0123456789"))));
            InFlightRequest request;
            const bool isEngine = target.pool == "p";
            request.conditions = { .uncachedTokens = isEngine ? 383.0 : 0,
                                   .requestsAtSend = static_cast<double>(random() % kSlots),
                                   .slots = kSlots };
            const double factor = relativeTime(index) * std::exp(noise(random));
            AnswerTimes times{ .timeToFirstEvent = Seconds(0.02 * factor) };
            if (isEngine && interval)
                times.eventInterval =
                        Seconds(interval(request.conditions.requestsAtSend + 1) * factor);
            placer.targetTracker().recordTimes(target, request, times, now);
        }
    }
    return now;
}

} // namespace

class PerformancePlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PerformancePlacementTest);
    CPPUNIT_TEST(equalTargetsChangeNoDecision);
    CPPUNIT_TEST(expectedTimesFollowLearnedSpeed);
    CPPUNIT_TEST(slowTargetsGetFewerRequests);
    CPPUNIT_TEST(homesFollowLearnedSpeed);
    CPPUNIT_TEST(requestsLeaveTheDataCentreBeforeTheyQueue);
    CPPUNIT_TEST(usefulConcurrencyReplacesSlots);
    CPPUNIT_TEST(placementCarriesConditions);
    CPPUNIT_TEST(newRunsAreNeutral);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that observations of equal targets change no decision, compared with a placer that has
    // none. Guards against deployments that behave differently although there is nothing to learn.
    void equalTargetsChangeNoDecision()
    {
        for (const std::size_t instances : { 1, 90 }) {
            const auto view = makeView(12, 8);
            Placer taught("d", 3);
            Placer untaught("d", 3);
            for (Placer *placer : { &taught, &untaught })
                placer->targetTracker().setInstanceShare({ .instances = instances });
            Time now = teach(taught, *view, [](std::size_t) { return 1; });
            std::mt19937_64 random(5);
            for (int i = 0; i < 3000; ++i) {
                now += milliseconds(2);
                const auto parts = makeParts(static_cast<int>(random() % 30));
                const bool isService = random() % 4 == 0;
                PlacementRequest request = random() % 3 == 0 ? longRequest(parts) : shortRequest();
                if (isService)
                    request.model.clear();
                const std::string pool = isService ? "services" : "p";
                const auto acceptance = random() % 2 == 0 ? Acceptance::InTime : Acceptance::Late;
                const auto first = taught.place(request, pool, *view, acceptance, now);
                const auto second = untaught.place(request, pool, *view, acceptance, now);
                CPPUNIT_ASSERT_EQUAL(first.index(), second.index());
                const auto *placement = std::get_if<Placement>(&first);
                if (placement == nullptr)
                    continue;
                const auto &other = std::get<Placement>(second);
                CPPUNIT_ASSERT_EQUAL(placement->target, other.target);
                CPPUNIT_ASSERT_EQUAL(placement->expectedTime.count(), other.expectedTime.count());
                taught.recordSent(request, *placement, *view, now);
                untaught.recordSent(request, other, *view, now);
                const fleet::Target &target = view->targets()[placement->target];
                if (random() % 3 == 0)
                    continue;
                taught.targetTracker().endRequest(target, placement->inFlightRequest, now);
                untaught.targetTracker().endRequest(target, other.inFlightRequest, now);
            }
        }
    }

    // Tests that the expected time of a request is multiplied by the learned time of its target,
    // for engines and plain services. Guards against expected times that hold for usual targets
    // only.
    void expectedTimesFollowLearnedSpeed()
    {
        const double classes[] = { 1 / 0.6, 1, 1 / 1.6 };
        const auto view = makeView(12, 12);
        Placer taught("d", 3);
        const Time now = teach(taught, *view, [&](std::size_t i) { return classes[i % 3]; });
        Placer untaught("d", 3);
        for (const std::string pool : { "p", "services" }) {
            for (std::size_t i = 0; i < 12; ++i) {
                PlacementRequest request = shortRequest();
                if (pool == "services")
                    request.model.clear();
                std::vector<std::string> excluded;
                for (std::size_t j = 0; j < 12; ++j) {
                    if (j != i)
                        excluded.push_back(pool + std::to_string(j));
                }
                request.excluded = excluded;
                const Placement usual = place(untaught, request, *view, now, pool);
                const Placement learned = place(taught, request, *view, now, pool);
                const double ratio = learned.expectedTime / usual.expectedTime;
                CPPUNIT_ASSERT_MESSAGE(pool + std::to_string(i) + ": " + std::to_string(ratio),
                                       std::abs(std::log(ratio / classes[i % 3])) < 0.2);
            }
        }
    }

    // Tests that requests prefer fast targets, and that the fast ones are not overloaded. Guards
    // against slow targets that get the same share of the work.
    void slowTargetsGetFewerRequests()
    {
        const auto view = makeView(9, 9);
        Placer placer("d", 3);
        const Time now = teach(placer, *view, [](std::size_t i) { return i % 3 == 0 ? 3.0 : 1.0; });
        std::map<std::size_t, int> counts;
        const PlacementRequest request = shortRequest();
        for (int i = 0; i < 90; ++i) {
            const Placement placement = place(placer, request, *view, now);
            placer.recordSent(request, placement, *view, now);
            ++counts[placement.target];
        }
        for (std::size_t i = 0; i < 9; ++i) {
            const std::string message = std::to_string(i) + ": " + std::to_string(counts[i]);
            CPPUNIT_ASSERT_MESSAGE(message, i % 3 == 0 ? counts[i] <= 8 : counts[i] >= 9);
        }
    }

    // Tests that a target that has become clearly slow is no longer the home of prefixes, that no
    // other prefix moves, that homes come back after it has recovered, and that fast targets are
    // homes more often than slow ones. Guards against hot prefixes at slow targets and against
    // caches that are lost because homes move without need.
    void homesFollowLearnedSpeed()
    {
        const auto view = makeView(12, 12);
        const auto homes = [&](Placer &placer, Time now) {
            std::vector<std::size_t> result;
            for (int prefix = 0; prefix < 300; ++prefix) {
                const auto parts = makeParts(prefix);
                result.push_back(place(placer, longRequest(parts), *view, now).target);
            }
            return result;
        };
        const auto makePlacer = [] {
            Placer placer("d", 3);
            placer.targetTracker().setInstanceShare({ .instances = 90 });
            return placer;
        };
        Placer placer = makePlacer();
        const auto before = homes(placer, kStart);
        Time now = teach(placer, *view, [](std::size_t i) { return i == 4 ? 4.0 : 1.0; });
        const auto slow = homes(placer, now);
        for (std::size_t i = 0; i < before.size(); ++i) {
            CPPUNIT_ASSERT(slow[i] != 4);
            if (before[i] != 4)
                CPPUNIT_ASSERT_EQUAL(before[i], slow[i]);
        }
        now = teach(
                placer, *view, [](std::size_t) { return 1.0; }, {}, now);
        now = teach(
                placer, *view, [](std::size_t) { return 1.0; }, {}, now);
        CPPUNIT_ASSERT(homes(placer, now) == before);

        const double classes[] = { 1 / 0.6, 1, 1 / 1.6 };
        Placer mixed = makePlacer();
        now = teach(mixed, *view, [&](std::size_t i) { return classes[i % 3]; });
        std::map<std::size_t, int> counts;
        for (const std::size_t home : homes(mixed, now))
            ++counts[home % 3];
        const std::string message = std::to_string(counts[0]) + " " + std::to_string(counts[1])
                                    + " " + std::to_string(counts[2]);
        // In proportion to the speeds: 56, 94 and 150.
        CPPUNIT_ASSERT_MESSAGE(message, counts[0] > 30 && counts[0] < counts[1]);
        CPPUNIT_ASSERT_MESSAGE(message, counts[1] < counts[2] && counts[2] < 190);
    }

    // Tests that requests go to another data centre once those of this one would wait, in a pool
    // with known differences, and not before. Guards against queues here beside free targets there.
    void requestsLeaveTheDataCentreBeforeTheyQueue()
    {
        const auto view = makeView(20, 10);
        Placer placer("d", 3);
        const Time now = teach(placer, *view, [](std::size_t i) { return i % 2 == 0 ? 1.6 : 1.0; });
        for (std::size_t i = 0; i < 20; ++i) {
            TargetTracker &tracker = placer.targetTracker();
            tracker.startRequest(view->targets()[i], {});
            tracker.endRequest(view->targets()[i], {}, now);
        }
        const PlacementRequest request = shortRequest();
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(place(placer, request, *view, now).target < 10);
        // Only two remote targets are free, which a random choice of two would mostly miss.
        for (std::size_t i = 0; i < 18; ++i) {
            for (std::uint32_t n = 0; n < kSlots; ++n)
                placer.targetTracker().startRequest(view->targets()[i], {});
        }
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(place(placer, request, *view, now).target >= 18);
    }

    // Tests that a request expects to wait at a target that runs as many requests as it does with
    // benefit, and that such a target is filled last. Guards against targets that are filled up to
    // their slots although that only slows them down.
    void usefulConcurrencyReplacesSlots()
    {
        const auto view = makeView(8, 8);
        Placer placer("d", 3);
        const Time now = teach(
                placer, *view, [](std::size_t) { return 1.0; },
                [](double c) { return 0.004 * std::max(1.0, c / 8); });
        const fleet::Target &target = view->targets()[0];
        const double useful = placer.targetTracker().usefulSlots(target, now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(useful), useful >= 6 && useful <= 14);
        const PlacementRequest request = shortRequest();
        for (int i = 0; i < 20; ++i)
            placer.targetTracker().startRequest(target, {});
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(place(placer, request, *view, now).target != 0);
        const std::vector<std::string> others{ "p1", "p2", "p3", "p4", "p5", "p6", "p7" };
        PlacementRequest only = request;
        only.excluded = others;
        const Seconds expected = place(placer, only, *view, now).expectedTime;
        const Seconds withoutWait = Seconds(383 / 40'000.0 + 0.003 * 20);
        CPPUNIT_ASSERT(expected > withoutWait + Seconds(0.2));
        CPPUNIT_ASSERT_EQUAL(24.0, placer.targetTracker().usefulSlots(view->targets()[8], now));
    }

    // Tests that a placement carries the state of the target before the request, with which its
    // times are compared later. Guards against samples that blame a target for its load.
    void placementCarriesConditions()
    {
        const auto view = makeView(1, 0);
        Placer placer("d", 3);
        const fleet::Target &target = view->targets()[0];
        placer.targetTracker().recordReport(target, { .slots = kSlots, .slowness = 1.5 }, kStart);
        placer.targetTracker().startRequest(target, { .waitingTokens = 500, .memoryTokens = 600 });
        const Placement placement = place(placer, shortRequest(), *view, kStart);
        const performance::Sample &conditions = placement.inFlightRequest.conditions;
        CPPUNIT_ASSERT_EQUAL(383.0, conditions.uncachedTokens);
        CPPUNIT_ASSERT_EQUAL(1.0, conditions.requestsAtSend);
        CPPUNIT_ASSERT_EQUAL(500.0, conditions.waitingTokensAtSend);
        CPPUNIT_ASSERT_EQUAL(1.5, conditions.slowness);
        CPPUNIT_ASSERT_EQUAL(24.0, conditions.slots);
        CPPUNIT_ASSERT(conditions.isRemote);
    }

    // Tests that a new run of a slow target is treated as usual, and that removed targets are
    // forgotten. Guards against a replaced target that is avoided because of its predecessor.
    void newRunsAreNeutral()
    {
        const auto view = makeView(12, 12);
        Placer placer("d", 3);
        const Time now = teach(placer, *view, [](std::size_t i) { return i == 4 ? 4.0 : 1.0; });
        TargetTracker &tracker = placer.targetTracker();
        CPPUNIT_ASSERT(tracker.performanceOf(view->targets()[4], now).relativeTime > 2);
        const auto later = makeView(12, 12, 2);
        tracker.retain(later->targets(), now);
        CPPUNIT_ASSERT_EQUAL(1.0, tracker.performanceOf(later->targets()[4], now).relativeTime);
        tracker.retain({}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tracker.performance().targetCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PerformancePlacementTest);

} // namespace chervilfield::dispatch
