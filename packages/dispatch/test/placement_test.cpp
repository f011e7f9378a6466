#include "dispatch/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <limits>
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
const std::vector<PromptPart> kParts{ { "shared", 13'000 }, { "own", 2'000 } };

PlacementRequest longRequest()
{
    return { .model = "m",
             .parts = kParts,
             .promptTokens = 15'000,
             .maxOutputTokens = 200,
             .latencyGoal = milliseconds(1000),
             .timeLeft = milliseconds(6000) };
}

PlacementRequest shortRequest()
{
    return { .model = "m",
             .promptTokens = 300,
             .maxOutputTokens = 80,
             .latencyGoal = milliseconds(600),
             .timeLeft = milliseconds(4000) };
}

// Returns a view with a pool `p` of `count` engines that have version 1 of the weights. `desired`
// is the desired version since `kStart`. The first `localCount` engines are in data centre "d".
fleet::ViewPtr makeView(std::size_t count, std::uint64_t desired = 1, bool hasStore = false,
                        std::size_t localCount = std::numeric_limits<std::size_t>::max())
{
    auto configuration = std::make_shared<fleet::Configuration>();
    configuration->pools = {
        { .name = "p", .engine = fleet::EngineTraits{ .slots = 64, .cacheTokens = 138'000 } }
    };
    if (hasStore)
        configuration->pools.push_back(
                { .name = "s", .store = fleet::CacheStore{ .address = { "10.0.9.9", 1 } } });
    std::vector<fleet::Target> targets;
    for (std::size_t i = 0; i < count; ++i)
        targets.push_back({ .id = "e" + std::to_string(i),
                            .pool = "p",
                            .address = { "10.0.0." + std::to_string(i + 1), 1 },
                            .dataCentre = i < localCount ? "d" : "other",
                            .slots = 64,
                            .startedAt = 1,
                            .weights = { { "m", 1 } } });
    fleet::WeightsHistory history{ { "m", { { 1, kStart - seconds(100) } } } };
    if (desired > 1)
        history["m"].push_back({ desired, kStart });
    return std::make_shared<const fleet::View>(configuration, targets, history, 1);
}

// Returns the id of the chosen target, or the result name of the refusal.
std::string choose(Placer &placer, const PlacementRequest &request, const fleet::View &view,
                   Acceptance acceptance = Acceptance::InTime, Time now = kStart)
{
    const auto result = placer.place(request, "p", view, acceptance, now);
    if (const auto *refusal = std::get_if<Refusal>(&result))
        return std::string(base::resultInfo(refusal->code).name);
    return view.targets()[std::get<Placement>(result).target].id;
}

Placement send(Placer &placer, const PlacementRequest &request, const fleet::View &view,
               Time now = kStart)
{
    auto placement = std::get<Placement>(placer.place(request, "p", view, Acceptance::InTime, now));
    placer.recordSent(request, placement, view, now);
    return placement;
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(faultyAndLoadingTargetsAreAvoided);
    CPPUNIT_TEST(engineIsAvoidedAfterOrderNotTaken);
    CPPUNIT_TEST(staleWeightsHaveALimit);
    CPPUNIT_TEST(nearAndConnectedTargetsComeFirst);
    CPPUNIT_TEST(instancesDoNotOverloadOneEngine);
    CPPUNIT_TEST(lastUsableEngineIsFound);
    CPPUNIT_TEST(oneLongPromptPerEngine);
    CPPUNIT_TEST(prefixesAreFoundAgain);
    CPPUNIT_TEST(instancesAgreeOnTheHome);
    CPPUNIT_TEST(homesFollowThePartWorthKeeping);
    CPPUNIT_TEST(manyInstancesExpectPrefixesAtTheirHomes);
    CPPUNIT_TEST(limitEndsOnlyWithLaterAnswers);
    CPPUNIT_TEST(requestsWithoutPermitAreDelayedOrRefused);
    CPPUNIT_TEST(callersReturnAfterThePauseOneAfterTheOther);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that targets with recent faults or a load of weights are chosen only if there is no
    // other target. Guards against sending requests to failing targets while others are free, and
    // against refusing requests when the failing target is the only one.
    void faultyAndLoadingTargetsAreAvoided()
    {
        struct Row
        {
            std::string name;
            std::function<void(TargetTracker &, const fleet::Target &)> event;
            milliseconds elapsed;
            bool isAvoided;
        };
        const auto fault = [](Fault kind) {
            return [kind](TargetTracker &targetTracker, const fleet::Target &target) {
                targetTracker.recordFault(target, kind, kStart);
            };
        };
        const Row rows[] = {
            { "unreachable", fault(Fault::Unreachable), milliseconds(100), true },
            { "timeout", fault(Fault::Timeout), milliseconds(100), true },
            { "refused", fault(Fault::Refused), milliseconds(50), true },
            { "refused a while ago", fault(Fault::Refused), milliseconds(150), false },
            { "unreachable long ago", fault(Fault::Unreachable), seconds(30), false },
            { "loading",
              [](TargetTracker &targetTracker, const fleet::Target &target) {
                  targetTracker.recordLoadStart(target, kStart);
              },
              milliseconds(500), true },
        };
        for (const Row &row : rows) {
            for (const std::size_t count : { 1, 2 }) {
                const auto view = makeView(count);
                Placer placer("d", 1);
                row.event(placer.targetTracker(), view->targets()[0]);
                const Time now = kStart + row.elapsed;
                std::size_t chosen = 0;
                constexpr std::size_t kTries = 50;
                for (std::size_t i = 0; i < kTries; ++i)
                    chosen +=
                            choose(placer, shortRequest(), *view, Acceptance::InTime, now) == "e0";
                if (count == 1)
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, kTries, chosen);
                else if (row.isAvoided)
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(0), chosen);
            }
        }
    }

    // Guards against an engine that is avoided although it did not take its order to load weights.
    void engineIsAvoidedAfterOrderNotTaken()
    {
        for (const bool isTaken : { true, false }) {
            const auto view = makeView(2);
            Placer placer("d", 1);
            placer.targetTracker().recordLoadStart(view->targets()[0], kStart);
            if (!isTaken)
                placer.targetTracker().recordLoadEnd(view->targets()[0], "m", 1, kStart);
            int chosen = 0;
            for (int i = 0; i < 50; ++i)
                chosen += choose(placer, shortRequest(), *view, Acceptance::InTime, kStart) == "e0";
            CPPUNIT_ASSERT_EQUAL(isTaken, chosen == 0);
        }
    }

    // Tests that an engine with replaced weights gets requests only until `maxStaleWeightsAge`
    // minus twice the latency goal of 0.6 s, with a matching time limit. Guards against requests
    // that begin on replaced weights too late, also because they waited at the engine.
    void staleWeightsHaveALimit()
    {
        struct Row
        {
            milliseconds elapsed;
            std::uint64_t reported; ///< Version that the engine sent with an answer, 0 if none.
            std::string choice;
            std::optional<milliseconds> timeLimit{};
        };
        const Row rows[] = {
            { milliseconds(100), 0, "e0", milliseconds(9200) },
            { milliseconds(8000), 0, "e0", milliseconds(1300) },
            { milliseconds(8200), 0, "no-target" },
            { milliseconds(8200), 2, "e0", std::nullopt },
        };
        for (const Row &row : rows) {
            const auto view = makeView(1, 2);
            Placer placer("d", 1);
            if (row.reported > 0)
                placer.targetTracker().recordWeights(view->targets()[0], "m", row.reported, kStart);
            const Time now = kStart + row.elapsed;
            CPPUNIT_ASSERT_EQUAL(row.choice,
                                 choose(placer, shortRequest(), *view, Acceptance::InTime, now));
            const auto result = placer.place(shortRequest(), "p", *view, Acceptance::InTime, now);
            if (const auto *placement = std::get_if<Placement>(&result))
                CPPUNIT_ASSERT(placement->timeLimit == row.timeLimit);
        }
    }

    // Tests that requests prefer a local engine with an idle connection, and go to the other data
    // centre when all local engines are busy. Guards against needless traffic between data centres,
    // needless new connections, and requests that queue at busy local engines.
    void nearAndConnectedTargetsComeFirst()
    {
        constexpr std::size_t kPerDataCentre = 20;
        const auto view = makeView(2 * kPerDataCentre, 1, false, kPerDataCentre);
        Placer placer("d", 1);
        const auto isLocal = [&](const Placement &placement) {
            return view->targets()[placement.target].dataCentre == "d";
        };
        std::set<std::size_t> used;
        for (int i = 0; i < 100; ++i) {
            // Requests follow one another, so a connection is idle from the second one on.
            const Time now = kStart + milliseconds(100 * i);
            const Placement placement = send(placer, shortRequest(), *view, now);
            CPPUNIT_ASSERT(isLocal(placement));
            used.insert(placement.target);
            placer.targetTracker().endRequest(view->targets()[placement.target],
                                              placement.inFlightRequest, now + milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), used.size());
        const Time later = kStart + seconds(20);
        for (const fleet::Target &target : view->targets()) {
            if (target.dataCentre == "d")
                placer.targetTracker().setOthersWork(target, { target.id, 60, 4000, 60'000 },
                                                     later);
        }
        int sentLocally = 0;
        for (int i = 0; i < 100; ++i)
            sentLocally += isLocal(std::get<Placement>(placer.place(shortRequest(), "p", *view,
                                                                    Acceptance::InTime, later)))
                                   ? 1
                                   : 0;
        CPPUNIT_ASSERT_EQUAL(0, sentLocally);
    }

    // Tests that several instances do not send all their requests to the same engine between two
    // exchanges of load. Guards against overload of the engine that looks best to all of them, here
    // the only one with the desired weights.
    void instancesDoNotOverloadOneEngine()
    {
        constexpr std::size_t kEngines = 12;
        constexpr int kInstances = 6;
        constexpr int kRequests = 20; // Per instance, between two exchanges.
        const auto view = makeView(kEngines, 2);
        int sentToBestEngine = 0;
        for (int instance = 0; instance < kInstances; ++instance) {
            Placer placer("d", static_cast<std::uint64_t>(instance));
            placer.targetTracker().recordWeights(view->targets()[0], "m", 2, kStart);
            for (int i = 0; i < kRequests; ++i)
                sentToBestEngine += send(placer, shortRequest(), *view).target == 0 ? 1 : 0;
        }
        constexpr int kEvenShare = kInstances * kRequests / static_cast<int>(kEngines);
        constexpr int kSlots = 64;
        CPPUNIT_ASSERT(sentToBestEngine > kEvenShare);
        CPPUNIT_ASSERT(sentToBestEngine < kSlots);
    }

    // Tests that the only usable engine of 40 is found. Guards against refusals because the sample
    // of compared engines contains no usable one.
    void lastUsableEngineIsFound()
    {
        constexpr std::size_t kEngines = 40;
        const Time now = kStart + seconds(20); // Past the limit for replaced weights.
        const auto view = makeView(kEngines, 2);
        for (std::size_t i = 0; i < kEngines; ++i) {
            Placer placer("d", i);
            placer.targetTracker().recordWeights(view->targets()[i], "m", 2, kStart);
            CPPUNIT_ASSERT_EQUAL(view->targets()[i].id,
                                 choose(placer, shortRequest(), *view, Acceptance::InTime, now));
        }
    }

    // Tests that an engine with a long prompt in its backlog takes another one only under
    // `Acceptance::Late` and no third one, and that requests are refused when their expected
    // latency is too high. Guards against engines that prefill several long prompts in a row,
    // during which their streams pause.
    void oneLongPromptPerEngine()
    {
        struct Row
        {
            std::string name;
            double othersTokens; ///< Waiting prompt tokens of other instances.
            PlacementRequest request;
            Acceptance acceptance;
            std::string choice;
        };
        const Row rows[] = {
            { "idle", 0, longRequest(), Acceptance::InTime, "e0" },
            { "busy", 15'000, longRequest(), Acceptance::InTime, "overloaded" },
            { "busy, late", 15'000, longRequest(), Acceptance::Late, "e0" },
            { "two prompts, late", 30'000, longRequest(), Acceptance::Late, "overloaded" },
            { "busy, short", 15'000, shortRequest(), Acceptance::InTime, "e0" },
            { "full, short", 90'000, shortRequest(), Acceptance::InTime, "overloaded" },
            { "full, short, late", 90'000, shortRequest(), Acceptance::Late, "e0" },
        };
        for (const Row &row : rows) {
            const auto view = makeView(1);
            Placer placer("d", 1);
            placer.targetTracker().setOthersWork(
                    view->targets()[0],
                    { "e0", row.othersTokens > 0 ? 1.0 : 0.0, row.othersTokens, 0 }, kStart);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.choice,
                                         choose(placer, row.request, *view, row.acceptance));
        }
    }

    // Tests that a new prefix is placed with a store to save it in, and that it is used again: by
    // its holder, by an engine that fetches it from the holder, and by another instance that merged
    // the hints. Guards against computing a prefix again that an engine caches or that the store
    // could have kept.
    void prefixesAreFoundAgain()
    {
        const auto view = makeView(6, 1, true);
        Placer placer("d", 1);
        const Placement first = send(placer, longRequest(), *view);
        CPPUNIT_ASSERT((first.cacheStore == net::Address{ "10.0.9.9", 1 }));
        const fleet::Target &holder = view->targets()[first.target];
        placer.targetTracker().endRequest(holder, first.inFlightRequest, kStart + seconds(1));

        // The holder is chosen again once it has cached the prefix.
        const Time later = kStart + seconds(3);
        const Placement second = send(placer, longRequest(), *view, later);
        CPPUNIT_ASSERT_EQUAL(first.target, second.target);
        CPPUNIT_ASSERT(!second.cacheSource.has_value() && !second.cacheStore.has_value());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, second.uncachedTokens, 1);

        // While the holder is busy, another engine fetches the prefix from it.
        placer.targetTracker().setOthersWork(holder, { holder.id, 20, 60'000, 0 }, later);
        const Placement third = send(placer, longRequest(), *view, later);
        CPPUNIT_ASSERT(third.target != first.target);
        CPPUNIT_ASSERT(third.cacheSource == holder.address);

        // Another instance finds the prefix after it has merged the hints.
        Placer other("d", 2);
        const auto hints = placer.takeHints(10);
        CPPUNIT_ASSERT(!hints.empty());
        other.mergeHints(hints, later);
        const Placement fourth = send(other, longRequest(), *view, later + seconds(2));
        CPPUNIT_ASSERT(fourth.uncachedTokens < 2001);
    }

    // Tests that instances choose the same engine for a prefix that is cached nowhere. Guards
    // against each instance computing the prefix on another engine.
    void instancesAgreeOnTheHome()
    {
        const auto view = makeView(40);
        for (int i = 0; i < 20; ++i) {
            const std::vector<PromptPart> parts{ { "s" + std::to_string(i), 13'000 }, { "o", 1 } };
            PlacementRequest request = longRequest();
            request.parts = parts;
            Placer first("d", 1);
            Placer second("elsewhere", 2);
            CPPUNIT_ASSERT_EQUAL(choose(first, request, *view), choose(second, request, *view));
        }
    }

    // Tests prompts whose first part is the same and whose second one differs. Guards against one
    // engine that is the home of all prompts because they share a short first part, and against a
    // long first part that each engine computes because a short second one differs.
    void homesFollowThePartWorthKeeping()
    {
        struct Row
        {
            std::string name;
            std::uint32_t firstTokens;
            std::uint32_t secondTokens;
            std::uint32_t thirdTokens; ///< Shared by no two prompts; 0 for no such part.
            bool hasOneHome;
        };
        const Row rows[] = {
            { "short part before a long one", 500, 4900, 0, false },
            { "parts of similar length", 340, 230, 0, false },
            { "long part before a short one", 13'000, 2000, 0, true },
            { "long part in the middle", 500, 4900, 100, false },
            { "no tokens", 0, 0, 0, false },
        };
        const auto view = makeView(40);
        for (const Row &row : rows) {
            std::map<std::string, int> homes;
            constexpr int kPrompts = 400;
            for (int i = 0; i < kPrompts; ++i) {
                const std::string number = std::to_string(i);
                std::vector<PromptPart> parts{ { "all", row.firstTokens },
                                               { "s" + number, row.secondTokens } };
                if (row.thirdTokens > 0)
                    parts.push_back({ "t" + number, row.thirdTokens });
                parts.push_back({ "own" + number, 10 });
                PlacementRequest request = longRequest();
                request.parts = parts;
                Placer placer("d", static_cast<std::uint64_t>(i));
                ++homes[choose(placer, request, *view)];
            }
            if (row.hasOneHome) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(1), homes.size());
                continue;
            }
            const auto isSmaller = [](const auto &a, const auto &b) { return a.second < b.second; };
            const int most = std::ranges::max_element(homes, isSmaller)->second;
            CPPUNIT_ASSERT_MESSAGE(row.name + ": " + std::to_string(most) + " of 400 prompts",
                                   most <= 3 * kPrompts / 40);
        }
    }

    // Tests where an instance expects a prefix that it has not placed itself. Guards against
    // computing a prefix again that the other instances have sent to its home, and against relying
    // on a home that lost its cache with its weights or is unreachable.
    void manyInstancesExpectPrefixesAtTheirHomes()
    {
        struct Row
        {
            std::string name;
            std::size_t instances;
            milliseconds sinceLoad; ///< Since the engines got new weights; 0 if they did not.
            bool isHomeFaulty;
            bool isHomeExcluded; ///< The request was sent to the home before.
            double uncachedTokens;
            std::string source; ///< Where the prefix is fetched from.
        };
        const Row rows[] = {
            { "few instances", 7, milliseconds(0), false, false, 15'000, "store" },
            { "many instances", 295, milliseconds(0), false, false, 2000, "store" },
            { "many, retry", 295, milliseconds(0), false, true, 2000, "store" },
            { "many, retry, no store", 295, milliseconds(0), false, true, 2000, "home" },
            { "many, new weights", 295, milliseconds(500), false, false, 15'000, "store" },
            { "many, new weights, later", 295, seconds(3), false, false, 2000, "store" },
            { "many, faulty home", 295, milliseconds(0), true, false, 15'000, "store" },
        };
        for (const Row &row : rows) {
            const auto view = makeView(12, 1, row.name != "many, retry, no store");
            Placer first("d", 1);
            const std::string home = choose(first, longRequest(), *view);
            Placer placer("d", 2);
            placer.targetTracker().setInstanceShare({ .instances = row.instances });
            for (const fleet::Target &target : view->targets()) {
                if (row.sinceLoad > milliseconds(0))
                    placer.targetTracker().recordLoadEnd(target, "m", 2, kStart - row.sinceLoad);
                if (row.isHomeFaulty && target.id == home)
                    placer.targetTracker().recordFault(target, Fault::Unreachable, kStart);
            }
            PlacementRequest request = longRequest();
            const std::vector<std::string> excluded{ home };
            if (row.isHomeExcluded)
                request.excluded = excluded;
            const Placement placement = send(placer, request, *view);
            const bool isAtHome = view->targets()[placement.target].id == home;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, !row.isHomeFaulty && !row.isHomeExcluded,
                                         isAtHome);
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(row.name, row.uncachedTokens,
                                                 placement.uncachedTokens, 1);
            const net::Address homeAddress =
                    std::ranges::find(view->targets(), home, &fleet::Target::id)->address;
            const net::Address source =
                    row.source == "home" ? homeAddress : net::Address{ "10.0.9.9", 1 };
            CPPUNIT_ASSERT_MESSAGE(row.name, placement.cacheSource == source);
        }
    }

    // Guards against a limit that an answer ends which was on its way when the target stated it.
    void limitEndsOnlyWithLaterAnswers()
    {
        struct Row
        {
            std::string name;
            std::optional<double> stated;
            milliseconds sentAt; ///< Relative to the time at which the target stated 5 a second.
            bool isNews;
            double limit;
        };
        const Row rows[] = {
            { "none, sent before", std::nullopt, milliseconds(-10), false, 5 },
            { "none, sent after", std::nullopt, milliseconds(10), true, 0 },
            { "the same", 5, milliseconds(-10), false, 5 },
            { "nearly the same", 5.2, milliseconds(10), false, 5.2 },
            { "higher", 8, milliseconds(10), true, 8 },
            { "lower", 3, milliseconds(-10), true, 3 },
        };
        for (const Row &row : rows) {
            const auto view = makeView(1);
            const fleet::Target &target = view->targets().front();
            Placer placer("d", 1);
            CPPUNIT_ASSERT(
                    !placer.targetTracker().recordRateLimit(target, std::nullopt, kStart, kStart));
            CPPUNIT_ASSERT(placer.targetTracker().recordRateLimit(target, 5, kStart, kStart));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    row.name, row.isNews,
                    placer.targetTracker().recordRateLimit(target, row.stated, kStart + row.sentAt,
                                                           kStart + seconds(1)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    row.name, row.limit,
                    placer.targetTracker().find(target)->rateLimit.requestsPerSecond);
        }
    }

    // Guards against requests that wait in vain for a target, and callers that all return at once.
    void requestsWithoutPermitAreDelayedOrRefused()
    {
        const auto view = makeView(2);
        Placer placer("d", 1);
        placer.targetTracker().setInstanceShare({ .instances = 2, .index = 1 });
        for (const fleet::Target &target : view->targets())
            placer.targetTracker().recordRateLimit(target, 10, kStart, kStart);
        const auto request = shortRequest();
        std::size_t placed = 0;
        std::vector<milliseconds> returns;
        for (int i = 0; i < 20; ++i) {
            const auto result = placer.place(request, "p", *view, Acceptance::InTime, kStart);
            if (const auto *placement = std::get_if<Placement>(&result)) {
                CPPUNIT_ASSERT(returns.empty());
                CPPUNIT_ASSERT(placement->sendDelay <= milliseconds(240));
                placer.recordSent(request, *placement, *view, kStart);
                ++placed;
                continue;
            }
            const Refusal &refusal = std::get<Refusal>(result);
            CPPUNIT_ASSERT(refusal.code == base::Result::RateLimited);
            CPPUNIT_ASSERT(!refusal.mayWait);
            returns.push_back(refusal.retryAfter);
        }
        // Two targets with a permit each 200 ms for this instance, and a maximum delay of 240 ms.
        CPPUNIT_ASSERT(placed >= 2 && placed <= 4);
        CPPUNIT_ASSERT(returns.front() > milliseconds(240));
        for (std::size_t i = 1; i < returns.size(); ++i)
            CPPUNIT_ASSERT(returns[i] >= returns[i - 1] + milliseconds(100));
        // An engine without a limit is preferred to a wait.
        CPPUNIT_ASSERT(placer.targetTracker().recordRateLimit(
                view->targets().front(), std::nullopt, kStart + seconds(1), kStart + seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("e0"), choose(placer, request, *view));
    }

    // Tests a pool whose targets have all asked for a pause. Guards against callers that return
    // before a target accepts requests, that all return at once, or that are kept away much longer.
    void callersReturnAfterThePauseOneAfterTheOther()
    {
        struct Row
        {
            std::string name;
            std::size_t targets;
            std::size_t instances;
            milliseconds firstPause; ///< Each further target has asked for a second more.
            milliseconds interval;   ///< Between two callers of this instance.
        };
        // Each engine has 64 slots, which a request holds for 0.6 s. Only the first one accepts
        // requests at the time of the first return.
        const Row rows[] = {
            { "one target, one instance", 1, 1, seconds(1), milliseconds(9) },
            { "several targets", 3, 6, seconds(1), milliseconds(56) },
            { "many instances", 3, 295, seconds(2), milliseconds(2765) },
        };
        for (const Row &row : rows) {
            const auto view = makeView(row.targets);
            Placer placer("d", 1);
            placer.targetTracker().setInstanceShare({ .instances = row.instances });
            for (std::size_t i = 0; i < row.targets; ++i)
                placer.targetTracker().recordPause(view->targets()[i], row.firstPause + seconds(i),
                                                   kStart);
            auto request = shortRequest();
            request.timeLeft = seconds(60);
            milliseconds previous{ 0 };
            for (int i = 0; i < 20; ++i) {
                const auto result = placer.place(request, "p", *view, Acceptance::InTime, kStart);
                const auto *refusal = std::get_if<Refusal>(&result);
                CPPUNIT_ASSERT_MESSAGE(row.name, refusal != nullptr && !refusal->mayWait);
                const milliseconds expected = i == 0 ? row.firstPause : previous + row.interval;
                const auto deviation = std::chrono::abs(refusal->retryAfter - expected);
                CPPUNIT_ASSERT_MESSAGE(row.name + ": "
                                               + std::to_string(refusal->retryAfter.count()),
                                       deviation <= milliseconds(2));
                previous = refusal->retryAfter;
            }
            // The first target gets requests again at the end of its pause and not before.
            const Time end = kStart + row.firstPause;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    row.name, std::string("rate-limited"),
                    choose(placer, request, *view, Acceptance::Late, end - milliseconds(300)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("e0"),
                                         choose(placer, request, *view, Acceptance::InTime, end));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace chervilfield::dispatch
