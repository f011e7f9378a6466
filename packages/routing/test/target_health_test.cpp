#include "routing/target_health.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace chervilfield::routing {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const TimePoint kStart{ std::chrono::hours(1) };
constexpr microseconds kPredicted{ 100'000 };

/// Pool of targets whose jobs take a given multiple of the predicted time.
struct Pool
{
    std::vector<TargetHealth> targets;
    HealthOptions options{};
    TimePoint now = kStart;
    std::uint64_t jobs = 0;

    void sample(std::size_t target, double ratio)
    {
        const microseconds observed(static_cast<std::int64_t>(kPredicted.count() * ratio));
        recordFirstToken(targets[target], { ++jobs, observed, kPredicted }, now);
    }

    /// Runs one update interval in which each target finishes two jobs with its ratio.
    void step(const std::vector<double> &ratios)
    {
        for (std::size_t i = 0; i < targets.size(); ++i) {
            sample(i, ratios[i]);
            sample(i, ratios[i]);
        }
        update();
    }

    void update()
    {
        now += options.updateInterval;
        updateHealth(targets, options, now);
    }

    std::size_t lowered() const
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(targets, [](const auto &t) { return t.weight < 1; }));
    }
};

} // namespace

class TargetHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetHealthTest);
    CPPUNIT_TEST(reducesSlowedTargetsOnly);
    CPPUNIT_TEST(recoversWhenTheCauseEnds);
    CPPUNIT_TEST(ignoresStragglers);
    CPPUNIT_TEST(keepsMinWeightCapAndStep);
    CPPUNIT_TEST(ignoresSlownessOfTheWholePool);
    CPPUNIT_TEST(probesUnsampledTargets);
    CPPUNIT_TEST(usesPeerObservations);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests which targets are reduced for several distributions of slowness. Guards against tail
    // latency that grows because slow targets keep their share of the traffic.
    void reducesSlowedTargetsOnly()
    {
        struct Row
        {
            const char *name;
            std::vector<double> ratios;
            std::vector<bool> reduced;
        };
        const Row rows[] = {
            { "even pool", { 1, 1.1, 0.9, 1 }, { false, false, false, false } },
            { "one slow", { 1, 5, 1, 1 }, { false, true, false, false } },
            { "cap of one in four", { 1, 5, 1, 6 }, { false, false, false, true } },
            { "too few targets", { 1, 5 }, { false, false } },
            { "wrong prediction for all", { 3, 3.1, 2.9, 12 }, { false, false, false, true } },
        };
        for (const Row &row : rows) {
            Pool pool{ .targets = std::vector<TargetHealth>(row.ratios.size()) };
            for (int i = 0; i < 8; ++i)
                pool.step(row.ratios);
            for (std::size_t i = 0; i < row.ratios.size(); ++i) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<bool>(row.reduced[i]),
                                             pool.targets[i].isReduced);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<bool>(row.reduced[i]),
                                             pool.targets[i].weight < 0.5);
            }
        }
    }

    // Tests how many updates a weight takes to fall and to recover. Guards against capacity that
    // stays unused after a temporary cause, such as a noisy neighbour, has ended.
    void recoversWhenTheCauseEnds()
    {
        Pool pool{ .targets = std::vector<TargetHealth>(12) };
        std::vector<double> ratios(12, 1.0);
        ratios[3] = 5;
        int updates = 0;
        while (pool.targets[3].weight > 0.25 && updates < 40)
            pool.step(ratios), ++updates;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(updates), updates <= 6);
        ratios[3] = 1;
        updates = 0;
        while (pool.targets[3].weight < 1 && updates < 80)
            pool.step(ratios), ++updates;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(updates), updates <= 24);
    }

    // Tests that one very long job, recorded many times, does not reduce its target. Guards against
    // reducing a target that happens to run such a job, for example because each record of the
    // waiting job counts as a separate sample.
    void ignoresStragglers()
    {
        Pool pool{ .targets = std::vector<TargetHealth>(6) };
        constexpr std::uint64_t kStraggler = 1'000'000;
        for (int i = 0; i < 40; ++i) {
            for (int repeat = 1; repeat <= 5; ++repeat)
                recordFirstToken(pool.targets[2],
                                 { kStraggler, kPredicted * (5 * i + repeat), kPredicted },
                                 pool.now);
            pool.step({ 1, 1, 1, 1, 1, 1 });
            CPPUNIT_ASSERT_EQUAL(1.0, pool.targets[2].weight);
        }
    }

    // Tests the limits of the weights with random ratios. Guards against a reaction that removes
    // more capacity than it saves because it reduces too many targets, too far or too abruptly.
    void keepsMinWeightCapAndStep()
    {
        const bool holds = rc::check("minimum weight, cap and step hold", [] {
            const auto size = *rc::gen::inRange<std::size_t>(1, 20);
            Pool pool{ .targets = std::vector<TargetHealth>(size) };
            const auto cap = static_cast<std::size_t>(pool.options.maxReducedShare
                                                      * static_cast<double>(size));
            for (int phase = 0; phase < 5; ++phase) {
                const auto ratios = *rc::gen::container<std::vector<double>>(
                        size, rc::gen::map(rc::gen::inRange(1, 2'000),
                                           [](int percent) { return percent / 100.0; }));
                for (int i = 0; i < 6; ++i) {
                    const std::vector<TargetHealth> before = pool.targets;
                    pool.step(ratios);
                    RC_ASSERT(pool.lowered() <= cap);
                    for (std::size_t t = 0; t < size; ++t) {
                        const double weight = pool.targets[t].weight;
                        RC_ASSERT(weight >= pool.options.minWeight);
                        RC_ASSERT(weight <= 1);
                        RC_ASSERT(weight >= before[t].weight * pool.options.minFallFactor);
                    }
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that no target is reduced if all are slow to a similar degree. Guards against a load
    // peak, which slows every target, being mistaken for unhealthy targets.
    void ignoresSlownessOfTheWholePool()
    {
        const bool holds = rc::check("only ratios within the pool matter", [] {
            const auto size = *rc::gen::inRange<std::size_t>(3, 16);
            const double scale = *rc::gen::inRange(1, 40);
            Pool pool{ .targets = std::vector<TargetHealth>(size) };
            for (int i = 0; i < 8; ++i) {
                std::vector<double> ratios;
                for (std::size_t t = 0; t < size; ++t)
                    ratios.push_back(scale * *rc::gen::inRange(90, 121) / 100.0);
                pool.step(ratios);
            }
            RC_ASSERT(pool.lowered() == 0U);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that a reduced target is probed after the interval and recovers after the sample
    // timeout. Guards against a reduced target that gets no requests, hence no samples, and never
    // recovers.
    void probesUnsampledTargets()
    {
        Pool pool{ .targets = std::vector<TargetHealth>(4) };
        for (int i = 0; i < 8; ++i)
            pool.step({ 1, 1, 1, 5 });
        TargetHealth &slow = pool.targets[3];
        CPPUNIT_ASSERT(!isProbeDue(slow, pool.options, pool.now));
        pool.now += pool.options.probeInterval;
        CPPUNIT_ASSERT(isProbeDue(slow, pool.options, pool.now));
        recordProbe(slow, pool.now);
        CPPUNIT_ASSERT(!isProbeDue(slow, pool.options, pool.now));
        CPPUNIT_ASSERT(!isProbeDue(pool.targets[0], pool.options, pool.now + milliseconds(5'000)));
        pool.now += pool.options.sampleTimeout;
        for (int i = 0; i < 20; ++i)
            pool.update();
        CPPUNIT_ASSERT_EQUAL(1.0, slow.weight);
    }

    // Tests that peer digests count as samples but not as the daemon's own. Guards against slowness
    // that no daemon detects because each has too few jobs of its own, and against digests that are
    // passed on between daemons and counted again.
    void usesPeerObservations()
    {
        constexpr std::size_t kDaemons = 6;
        constexpr std::size_t kTargets = 4;
        std::vector<Pool> daemons(kDaemons, Pool{ .targets = std::vector<TargetHealth>(kTargets) });
        for (Pool &daemon : daemons)
            daemon.step({ 1, 1, 5, 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, daemons[0].lowered());
        for (int round = 0; round < 4; ++round) {
            for (std::uint64_t from = 1; from < kDaemons; ++from) {
                Pool &peer = daemons[from];
                for (std::size_t t = 0; t < kTargets; ++t)
                    recordPeerHealth(daemons[0].targets[t], from,
                                     ownHealth(peer.targets[t], peer.options, peer.now), peer.now);
            }
            daemons[0].update();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, daemons[0].lowered());
        CPPUNIT_ASSERT(daemons[0].targets[2].isReduced);

        TargetHealth onlyPeers;
        recordPeerHealth(onlyPeers, 1, { 5, 5 }, kStart);
        CPPUNIT_ASSERT_EQUAL(0.0F, ownHealth(onlyPeers, {}, kStart).firstToken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHealthTest);

} // namespace chervilfield::routing
