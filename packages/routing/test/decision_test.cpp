#include "routing/decision.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace chervilfield::routing {

namespace {

const Time kStart{ std::chrono::seconds(100) };

std::vector<Target> makeTargets(std::size_t count)
{
    std::vector<Target> targets(count);
    for (std::size_t i = 0; i < count; ++i)
        targets[i].id = 1000 + i;
    return targets;
}

Request longRequest(const std::vector<std::uint64_t> &chain)
{
    return { .chain = chain,
             .promptTokens = static_cast<std::uint32_t>(4096 * chain.size() + 500),
             .workClass = WorkClass::Long };
}

} // namespace

class DecisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecisionTest);
    CPPUNIT_TEST(freshDaemonsAgreeOnTheHome);
    CPPUNIT_TEST(requestsWithSharedPrefixChooseSameTarget);
    CPPUNIT_TEST(homesFollowDemand);
    CPPUNIT_TEST(longRequestsLeaveFreeSlots);
    CPPUNIT_TEST(refusalsHaveDistinctCodes);
    CPPUNIT_TEST(choosesOnlyUsableTargets);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that daemons with empty state and different random seeds choose the same home. Guards
    // against a restarted daemon that scatters prefixes which its peers have already placed.
    void freshDaemonsAgreeOnTheHome()
    {
        const bool holds = rc::check("daemons without state choose the same target", [] {
            const auto targets = makeTargets(*rc::gen::inRange<std::size_t>(1, 40));
            const auto chain = *rc::gen::container<std::vector<std::uint64_t>>(
                    5, rc::gen::arbitrary<std::uint64_t>());
            Random first(*rc::gen::arbitrary<std::uint64_t>());
            Random second(*rc::gen::arbitrary<std::uint64_t>());
            const Decision a = decide(longRequest(chain), targets, {}, {}, kStart, first);
            const Decision b = decide(longRequest(chain), targets, {}, {}, kStart, second);
            RC_ASSERT(a.code == base::Result::Ok);
            RC_ASSERT(a.choice().target == b.choice().target);
            RC_ASSERT(a.choice().homeDepth == chain.size());
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that requests that share only their first block go to the same target. Guards against
    // homes that follow from the whole chain, so that the shared block is computed on several
    // targets.
    void requestsWithSharedPrefixChooseSameTarget()
    {
        const auto targets = makeTargets(12);
        Random random(1);
        for (std::uint64_t sharedBlock = 1; sharedBlock < 20; ++sharedBlock) {
            const std::vector<std::uint64_t> one{ sharedBlock, sharedBlock + 100, 1 };
            const std::vector<std::uint64_t> other{ sharedBlock, sharedBlock + 200, 2 };
            const Decision a = decide(longRequest(one), targets, {}, {}, kStart, random);
            const Decision b = decide(longRequest(other), targets, {}, {}, kStart, random);
            CPPUNIT_ASSERT_EQUAL(a.choice().target, b.choice().target);
        }
    }

    // Tests that the number of homes rises and falls with demand. Guards against a hot prefix that
    // overloads its only home, and against one that stays spread after its demand has ended.
    void homesFollowDemand()
    {
        const auto targets = makeTargets(12);
        const std::vector<std::uint64_t> chain{ 5 };
        State state;
        const auto homesAt = [&](Time now) {
            Random random(1);
            const Decision decision = decide(longRequest(chain), targets, state, {}, now, random);
            return std::ranges::count(decision.all(), 1U, &CandidateCost::homeDepth);
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), homesAt(kStart));
        for (int i = 0; i < 100; ++i)
            countRequest(state.hot, chain, Cost(0.05), kStart);
        CPPUNIT_ASSERT(homesAt(kStart) > 2);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), homesAt(kStart + std::chrono::seconds(30)));
    }

    // Tests that long requests are refused while slots remain for short ones. Guards against short
    // requests that wait until a long answer frees a slot.
    void longRequestsLeaveFreeSlots()
    {
        const auto targets = makeTargets(1);
        const std::vector<std::uint64_t> chain{ 5 };
        State state;
        for (std::uint32_t i = 0; i < targets[0].slots - 2; ++i) {
            InFlightRequest request{ .target = targets[0].id, .workClass = WorkClass::Long };
            addInFlightRequest(state.load, request, kStart);
        }
        Random random(1);
        const Request shortRequest{ .promptTokens = 100 };
        CPPUNIT_ASSERT(decide(longRequest(chain), targets, state, {}, kStart, random).code
                       == base::Result::Overloaded);
        CPPUNIT_ASSERT(decide(shortRequest, targets, state, {}, kStart, random).code
                       == base::Result::Ok);
    }

    // Tests the result code of each kind of refusal. Guards against refusals that callers cannot
    // tell apart because two causes share a code.
    void refusalsHaveDistinctCodes()
    {
        struct Row
        {
            const char *name;
            bool accepting;
            double queuedTokens;
            std::optional<Cost> timeLeft;
            base::Result expected;
        };
        const Row rows[] = {
            { "idle", true, 0, std::nullopt, base::Result::Ok },
            { "no target", false, 0, std::nullopt, base::Result::NoTarget },
            { "overloaded", true, 1e6, std::nullopt, base::Result::Overloaded },
            { "late", true, 40'000, Cost(0.5), base::Result::DeadlineUnreachable },
            { "in time", true, 40'000, Cost(2), base::Result::Ok },
        };
        for (const Row &row : rows) {
            auto targets = makeTargets(3);
            State state;
            for (Target &target : targets) {
                target.accepting = row.accepting;
                addInFlightRequest(state.load, { .target = target.id, .tokens = row.queuedTokens },
                                   kStart);
            }
            Random random(1);
            const Request request{ .promptTokens = 100, .timeLeft = row.timeLeft };
            const Decision decision = decide(request, targets, state, {}, kStart, random);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<int>(row.expected),
                                         static_cast<int>(decision.code));
        }
    }

    // Tests that the choice accepts work and is not excluded, whatever the set of targets. Guards
    // against requests sent to a draining target or again to one that an earlier attempt used.
    void choosesOnlyUsableTargets()
    {
        const bool holds = rc::check("the choice accepts work and is not excluded", [] {
            auto targets = makeTargets(*rc::gen::inRange<std::size_t>(1, 30));
            for (Target &target : targets)
                target.accepting = *rc::gen::arbitrary<bool>();
            const std::vector<TargetId> excluded{ targets.front().id };
            const auto chain = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
            Request request = longRequest(chain);
            request.promptTokens = 100;
            request.excluded = excluded;
            bool any = false;
            for (const Target &target : targets)
                any = any || (target.accepting && target.id != excluded[0]);
            Random random(3);
            const Decision decision = decide(request, targets, {}, {}, kStart, random);
            RC_ASSERT((decision.code == base::Result::Ok) == any);
            if (any) {
                RC_ASSERT(targets[decision.choice().index].accepting);
                RC_ASSERT(decision.choice().target != excluded[0]);
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionTest);

} // namespace chervilfield::routing
