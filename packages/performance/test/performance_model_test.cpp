#include "performance/performance_model.h"

#include "performance_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <limits>

namespace chervilfield::performance {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::array<double, 3> kClassTimes{ 1 / 0.6, 1, 1 / 1.6 };

double classTime(std::size_t target)
{
    return kClassTimes[target % kClassTimes.size()];
}

// Returns the share of figures of all instances and targets that are off by at most `factor`.
double shareWithin(const PerformanceWorld &world, std::size_t instances, std::size_t targets,
                   double factor)
{
    double count = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        for (std::size_t t = 0; t < targets; ++t) {
            const double error = world.figures(i, t).relativeTime / world.relativeTime(t);
            count += error <= factor && error >= 1 / factor ? 1 : 0;
        }
    }
    return count / static_cast<double>(instances * targets);
}

// Returns the geometric mean of the relative times of a target at all instances.
double meanTime(const PerformanceWorld &world, std::size_t instances, std::size_t target)
{
    double sum = 0;
    for (std::size_t i = 0; i < instances; ++i)
        sum += std::log(world.figures(i, target).relativeTime);
    return std::exp(sum / static_cast<double>(instances));
}

std::string percent(double share)
{
    return std::to_string(100 * share) + "%";
}

Sample usualSample()
{
    return { .uncachedTokens = 383, .timeToFirstEvent = Seconds(0.02) };
}

} // namespace

class PerformanceModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PerformanceModelTest);
    CPPUNIT_TEST(unknownTargetsAreNeutral);
    CPPUNIT_TEST(equalTargetsStayNeutral);
    CPPUNIT_TEST(speedClassesAreLearned);
    CPPUNIT_TEST(newInstanceLearnsFromOthers);
    CPPUNIT_TEST(slowdownAndRecoveryAreLearned);
    CPPUNIT_TEST(restartedTargetStartsWithoutHistory);
    CPPUNIT_TEST(slowInstanceBlamesNoTarget);
    CPPUNIT_TEST(corruptFiguresHaveLittleInfluence);
    CPPUNIT_TEST(onlyOwnObservationsAreShared);
    CPPUNIT_TEST(reportedSlownessIsNotLearnedAgain);
    CPPUNIT_TEST(usefulConcurrencyIsLearned);
    CPPUNIT_TEST(evidenceDecays);
    CPPUNIT_TEST(invalidSamplesAreIgnored);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the figures of a target without observations. Guards against a new target that is
    // preferred or avoided without evidence.
    void unknownTargetsAreNeutral()
    {
        const PerformanceModel model;
        const TargetFigures figures = model.figures("p", 1, 1, 24, Time(std::chrono::hours(1)));
        CPPUNIT_ASSERT_EQUAL(1.0, figures.relativeTime);
        CPPUNIT_ASSERT_EQUAL(0.0, figures.usefulConcurrency);
        CPPUNIT_ASSERT_EQUAL(0.0, figures.confidence);
    }

    // Tests that targets of equal speed keep exactly the usual figures, for pools of different
    // sizes. Guards against random differences that change placement where nothing is learned.
    void equalTargetsStayNeutral()
    {
        struct Row
        {
            const char *name;
            PerformanceWorld::Options options;
            bool hasStreams = true;
        };
        const Row rows[] = {
            { "90 instances", {} },
            { "without sharing", { .isSharing = false } },
            { "plain services", { .targets = 4, .samplesPerSecond = 1 }, false },
            { "one instance", { .instances = 1, .targets = 12, .samplesPerSecond = 5 } },
        };
        constexpr double kMaxFalseShare = 0.001;
        for (const Row &row : rows) {
            for (std::uint64_t seed = 1; seed <= 4; ++seed) {
                PerformanceWorld::Options options = row.options;
                options.seed = seed;
                PerformanceWorld world(options);
                if (!row.hasStreams)
                    world.eventInterval = {};
                double falseFigures = 0;
                double figures = 0;
                for (int i = 0; i < 30; ++i) {
                    world.run(seconds(1));
                    falseFigures += countFalse(world, options);
                    figures += static_cast<double>(options.instances * options.targets);
                }
                CPPUNIT_ASSERT_MESSAGE(row.name + percent(falseFigures / figures),
                                       falseFigures <= kMaxFalseShare * figures);
            }
        }
    }

    // Tests that three speed classes are learned within seconds although an instance sees a target
    // only once in five seconds. Guards against figures that come too late for changing demand.
    void speedClassesAreLearned()
    {
        PerformanceWorld world({});
        world.relativeTime = classTime;
        world.run(seconds(10));
        for (std::size_t t = 0; t < 60; ++t) {
            const double learned = meanTime(world, 90, t);
            const std::string message = std::to_string(t) + ": " + std::to_string(learned);
            if (classTime(t) > 1)
                CPPUNIT_ASSERT_MESSAGE(message, learned > std::sqrt(classTime(t)));
            else if (classTime(t) < 1)
                CPPUNIT_ASSERT_MESSAGE(message, learned < std::sqrt(classTime(t)));
        }
        world.run(seconds(10));
        const double share = shareWithin(world, 90, 60, 1.25);
        CPPUNIT_ASSERT_MESSAGE(percent(share), share >= 0.8);
    }

    // Tests that an instance which starts beside others knows most targets in a few seconds. Guards
    // against a start that learns from scratch.
    void newInstanceLearnsFromOthers()
    {
        PerformanceWorld world({});
        world.relativeTime = classTime;
        world.run(seconds(30));
        world.startInstance();
        world.run(seconds(8));
        int known = 0;
        for (std::size_t t = 0; t < 60; ++t) {
            const double error = world.figures(90, t).relativeTime / classTime(t);
            known += error < 1.3 && error > 1 / 1.3 ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(known), known >= 45);
    }

    // Tests that a target that becomes slow and recovers is noticed in both directions, that the
    // others stay neutral, and that the steady time does not flap. Guards against a target that is
    // avoided for ever, and against homes of prefixes that move to and fro.
    void slowdownAndRecoveryAreLearned()
    {
        PerformanceWorld world({});
        bool isSlow = false;
        world.relativeTime = [&](std::size_t target) { return isSlow && target == 7 ? 3.0 : 1.0; };
        world.run(seconds(15));
        CPPUNIT_ASSERT(std::abs(meanTime(world, 90, 7) - 1) < 0.05);
        isSlow = true;
        std::vector<double> steady(90, 1);
        int steadyChanges = 0;
        const auto run = [&](int time) {
            for (int i = 0; i < time * 2; ++i) {
                world.run(milliseconds(500));
                for (std::size_t j = 0; j < 90; ++j) {
                    const double latest = world.steadyRelativeTime(j, 7);
                    steadyChanges += latest != steady[j] ? 1 : 0;
                    steady[j] = latest;
                }
            }
        };
        run(20);
        const double slow = meanTime(world, 90, 7);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(slow), slow > 2);
        double othersWithin = 0;
        for (std::size_t t = 0; t < 60; ++t) {
            const double time = meanTime(world, 90, t);
            othersWithin += t != 7 && time < 1.05 && time > 1 / 1.05 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(59.0, othersWithin);
        isSlow = false;
        run(30);
        const double recovered = meanTime(world, 90, 7);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(recovered), recovered < 1.2);
        double lowest = 1;
        double highest = 1;
        for (std::size_t i = 0; i < 90; ++i) {
            double previous = 1;
            for (const PerformanceChange &change : world.model(i).takeChanges()) {
                CPPUNIT_ASSERT_EQUAL(PerformanceWorld::keyOf(7), change.target);
                CPPUNIT_ASSERT_EQUAL(previous, change.before);
                previous = change.relativeTime;
                lowest = std::min(lowest, previous);
                highest = std::max(highest, previous);
            }
            CPPUNIT_ASSERT_EQUAL(previous, steady[i]);
            CPPUNIT_ASSERT(world.model(i).takeChanges().empty());
        }
        CPPUNIT_ASSERT(lowest >= 1 && highest > 2);
        // Up and down through at most four steps each.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(steadyChanges), steadyChanges <= 90 * 8);
    }

    // Tests that a new run of a slow target starts with the figures of its pool, and that samples
    // and shared figures of the previous run do not count for it. Guards against a replaced target
    // that is avoided because of its predecessor.
    void restartedTargetStartsWithoutHistory()
    {
        PerformanceWorld world({ .instances = 10, .samplesPerSecond = 2 });
        bool isSlow = true;
        world.relativeTime = [&](std::size_t target) { return isSlow && target == 7 ? 3.0 : 1.0; };
        world.run(seconds(20));
        CPPUNIT_ASSERT(world.figures(0, 7).relativeTime > 2);
        const auto shared = world.model(0).takeShared(60, world.now);
        isSlow = false;
        world.startedAt[7] = 2;
        world.retainAll();
        Sample sample = usualSample();
        sample.timeToFirstEvent = Seconds(5);
        for (int i = 0; i < 50; ++i)
            world.model(1).record("p", PerformanceWorld::keyOf(7), 1, sample, world.now);
        world.model(1).mergeShared(5, shared, world.now);
        for (std::size_t i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(1.0, world.figures(i, 7).relativeTime);
        for (int i = 0; i < 20; ++i) {
            world.run(seconds(1));
            const double time = meanTime(world, 10, 7);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(time), time < 1.1);
        }
    }

    // Tests that an instance that is slow itself, all the time or in phases, sees no slow target
    // and tells none to others. Guards against targets that lose their work because of a caller
    // without processor time.
    void slowInstanceBlamesNoTarget()
    {
        struct Row
        {
            const char *name;
            std::function<double(Seconds time)> slowness;
        };
        const Row rows[] = {
            { "always", [](Seconds) { return 3; } },
            { "in phases", [](Seconds time) { return std::fmod(time.count(), 5) < 2.5 ? 3 : 1; } },
            { "growing", [](Seconds time) { return 1 + std::fmod(time.count(), 30) / 10; } },
        };
        constexpr double kMaxFalseShare = 0.005;
        for (const Row &row : rows) {
            PerformanceWorld world({});
            world.instanceSlowness = [&](std::size_t instance) {
                return instance < 10 ? row.slowness(world.now.time_since_epoch()) : 1;
            };
            double falseFigures = 0;
            for (int i = 0; i < 30; ++i) {
                world.run(seconds(1));
                falseFigures += countFalse(world, {});
            }
            const double share = falseFigures / (30.0 * 90 * 60);
            CPPUNIT_ASSERT_MESSAGE(row.name + percent(share), share <= kMaxFalseShare);
        }
    }

    // Tests that figures of a tenth of the instances that are random, extreme or not numbers
    // neither hide the speed classes nor make up differences between equal targets. Guards against
    // a faulty instance that determines the placement of all.
    void corruptFiguresHaveLittleInfluence()
    {
        constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
        constexpr double kInfinity = std::numeric_limits<double>::infinity();
        const double values[] = { kNan, kInfinity, -kInfinity, -1, 0, 1e-300, 1e-3, 0.2,
                                  5,    1e3,       1e300,      64, 1, 12,     4096 };
        for (const bool hasClasses : { true, false }) {
            PerformanceWorld world({});
            if (hasClasses)
                world.relativeTime = classTime;
            std::mt19937_64 random(5);
            const auto pick = [&] {
                return values[std::uniform_int_distribution<std::size_t>(0, std::size(values)
                                                                                    - 1)(random)];
            };
            world.corrupt = [&](std::size_t instance, std::vector<SharedFigures> &figures) {
                for (SharedFigures &entry : figures) {
                    if (instance < 9) {
                        entry.relativeTime = pick();
                        entry.usefulConcurrency = pick();
                        entry.weight = pick();
                    }
                }
            };
            world.run(seconds(25));
            for (std::size_t t = 0; t < 60; ++t) {
                const TargetFigures figures = world.figures(20, t);
                CPPUNIT_ASSERT(figures.relativeTime > 0.1 && figures.relativeTime < 10);
                CPPUNIT_ASSERT(figures.confidence >= 0 && figures.confidence < 1);
            }
            const double share = shareWithin(world, 90, 60, 1.3);
            CPPUNIT_ASSERT_MESSAGE(percent(share), share >= (hasClasses ? 0.75 : 0.95));
        }
    }

    // Tests that what others share is not shared again, and that a repeated message counts once.
    // Guards against evidence that grows by echo between instances.
    void onlyOwnObservationsAreShared()
    {
        const Time now(std::chrono::hours(1));
        PerformanceModel model;
        model.retain(std::vector<TargetRun>{ { "p", 1, 1 }, { "p", 2, 1 } }, now);
        const std::vector<SharedFigures> figures{ { 1, 1, 2.0, 8, 20 }, { 2, 1, 0.5, 8, 20 } };
        model.mergeShared(7, figures, now);
        const double once = model.figures("p", 1, 1, 24, now + seconds(1)).confidence;
        for (int i = 0; i < 20; ++i)
            model.mergeShared(7, figures, now);
        const double often = model.figures("p", 1, 1, 24, now + seconds(2)).confidence;
        CPPUNIT_ASSERT(once > 0 && often <= once);
        CPPUNIT_ASSERT(model.takeShared(10, now).empty());
        model.record("p", 1, 1, usualSample(), now);
        // The sample has nothing to be compared with.
        CPPUNIT_ASSERT(model.takeShared(10, now).empty());
        const auto other = PerformanceWorld::keyOf(1);
        for (int i = 0; i < 8; ++i)
            model.record("p", other, 1, usualSample(), now);
        const auto shared = model.takeShared(10, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), shared.front().target);
        CPPUNIT_ASSERT(shared.front().relativeTime < 1.2);
    }

    // Tests that a target whose slowness is fully reported has a usual learned time. Guards against
    // counting the slowness twice, once reported and once learned.
    void reportedSlownessIsNotLearnedAgain()
    {
        const Time start(std::chrono::hours(1));
        PerformanceModel model;
        std::mt19937_64 random(3);
        std::normal_distribution<double> noise(0, 0.2);
        Time now = start;
        for (; now < start + seconds(30); now += milliseconds(20)) {
            const std::uint64_t target = random() % 12;
            Sample sample = usualSample();
            sample.slowness = target == 0 ? 3 : 1;
            sample.timeToFirstEvent *= sample.slowness * std::exp(noise(random));
            model.record("p", target, 1, sample, now);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, model.figures("p", 0, 1, 24, now).relativeTime);
    }

    // Tests that the concurrency beyond which times grow with the concurrency is learned, that none
    // is found where more concurrent requests pay off, and that a new run starts with that of its
    // pool. Guards against targets that are filled up to their slots although that only slows them
    // down, and against slots that stay unused.
    void usefulConcurrencyIsLearned()
    {
        struct Row
        {
            const char *name;
            std::function<Seconds(double concurrency)> interval;
            double minUseful; ///< 0 if no limit is expected.
            double maxUseful;
        };
        const Row rows[] = {
            { "constant", [](double) { return Seconds(0.004); }, 0, 0 },
            { "slowly growing", [](double c) { return Seconds(0.004 + 0.0002 * c); }, 0, 0 },
            { "full at 8", [](double c) { return Seconds(0.004) * std::max(1.0, c / 8); }, 6, 14 },
            { "collapses above 6",
              [](double c) { return Seconds(0.004) * std::pow(std::max(1.0, c / 6), 2); }, 6, 14 },
        };
        for (const Row &row : rows) {
            PerformanceWorld world({ .instances = 8, .targets = 10, .samplesPerSecond = 2 });
            world.eventInterval = [&](std::size_t, double concurrency) {
                return row.interval(concurrency);
            };
            world.run(seconds(40));
            world.startedAt[9] = 2;
            world.retainAll();
            world.run(seconds(1));
            const std::string name = row.name;
            for (std::size_t t = 0; t < 10; ++t) {
                const double useful = world.figures(0, t).usefulConcurrency;
                const std::string message = name + ": " + std::to_string(useful);
                CPPUNIT_ASSERT_MESSAGE(message, useful >= row.minUseful);
                CPPUNIT_ASSERT_MESSAGE(message, useful <= row.maxUseful);
            }
        }
    }

    // Tests that figures return to the usual ones without further samples. Guards against a slow
    // target that gets no requests and is therefore never found to have recovered.
    void evidenceDecays()
    {
        PerformanceWorld world({ .instances = 4, .targets = 12, .samplesPerSecond = 4 });
        world.relativeTime = [](std::size_t target) { return target == 3 ? 4.0 : 1.0; };
        world.run(seconds(15));
        CPPUNIT_ASSERT(world.figures(0, 3).relativeTime > 2);
        double previous = 10;
        for (int i = 0; i < 120; ++i) {
            world.now += seconds(1);
            const double time = world.figures(0, 3).relativeTime;
            CPPUNIT_ASSERT(time <= previous + 0.05);
            previous = time;
        }
        CPPUNIT_ASSERT_EQUAL(1.0, previous);
    }

    // Tests that samples that are not numbers or out of range change nothing. Guards against
    // figures that a single fault makes useless for the life of the process.
    void invalidSamplesAreIgnored()
    {
        constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
        constexpr double kInfinity = std::numeric_limits<double>::infinity();
        const double values[] = { kNan, kInfinity, -kInfinity, -1, 1e300 };
        const Time now(std::chrono::hours(1));
        for (const double value : values) {
            Sample samples[7];
            samples[0] = samples[1] = samples[2] = samples[3] = usualSample();
            samples[4] = samples[5] = samples[6] = usualSample();
            samples[0].uncachedTokens = value;
            samples[1].requestsAtSend = value;
            samples[2].waitingTokensAtSend = value;
            samples[3].slowness = value;
            samples[4].timeToFirstEvent = Seconds(value);
            samples[5].eventInterval = Seconds(value);
            samples[6].slots = value;
            for (const Sample &sample : samples) {
                PerformanceModel model;
                model.record("p", 1, 1, sample, now);
                CPPUNIT_ASSERT_EQUAL(std::size_t(0), model.targetCount());
            }
        }
        const bool holds = rc::check("figures are valid after any valid samples", [&] {
            PerformanceModel model;
            Time time = now;
            const int count = *rc::gen::inRange(0, 200);
            for (int i = 0; i < count; ++i) {
                time += milliseconds(*rc::gen::inRange(-50, 2000));
                Sample sample{ .uncachedTokens = *rc::gen::inRange(0, 100'000) * 1.0,
                               .requestsAtSend = *rc::gen::inRange(0, 2000) * 1.0,
                               .waitingTokensAtSend = *rc::gen::inRange(0, 1'000'000) * 1.0,
                               .slowness = *rc::gen::inRange(0, 100) / 10.0,
                               .timeToFirstEvent = Seconds(*rc::gen::inRange(0, 60'000) / 1e3),
                               .slots = *rc::gen::inRange(0, 64) * 1.0 };
                if (*rc::gen::arbitrary<bool>())
                    sample.eventInterval = Seconds(*rc::gen::inRange(1, 60'000) / 1e3);
                model.record("p", *rc::gen::inRange<std::uint64_t>(0, 6), 1, sample, time);
                for (std::uint64_t target = 0; target < 6; ++target) {
                    const TargetFigures figures = model.figures("p", target, 1, 24, time);
                    RC_ASSERT(figures.relativeTime > 0.1 && figures.relativeTime < 10);
                    RC_ASSERT(figures.usefulConcurrency >= 0 && figures.usefulConcurrency < 24);
                    RC_ASSERT(figures.confidence >= 0 && figures.confidence < 1);
                }
                for (const SharedFigures &shared : model.takeShared(6, time)) {
                    RC_ASSERT(shared.relativeTime > 0.1 && shared.relativeTime < 10);
                    RC_ASSERT(shared.weight >= 0 && shared.weight <= 40);
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that neither samples of endlessly many runs nor figures of endlessly many senders add
    // memory without bound, and that unlisted runs are removed. Guards against targets or peers
    // that use up the memory of an instance.
    void memoryIsBounded()
    {
        const Time now(std::chrono::hours(1));
        PerformanceModel model({ .maxTargets = 100 });
        for (std::uint64_t i = 0; i < 1000; ++i)
            model.record("p" + std::to_string(i % 3), i, 1, usualSample(), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), model.targetCount());
        for (std::uint64_t i = 0; i < 1000; ++i)
            model.mergeShared(i, std::vector<SharedFigures>{ { i, 1, 1, 0, 1 } }, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), model.targetCount());
        model.retain(std::vector<TargetRun>{ { "p0", 0, 1 }, { "q", 5, 1 } }, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), model.targetCount());
        for (std::uint64_t i = 0; i < 100; ++i)
            model.mergeShared(i, std::vector<SharedFigures>{ { 0, 1, 2, 0, 40 } }, now);
        const double confidence = model.figures("p0", 0, 1, 24, now + seconds(1)).confidence;
        CPPUNIT_ASSERT(confidence > 0.9 && confidence < 1);
    }

private:
    static double countFalse(const PerformanceWorld &world,
                             const PerformanceWorld::Options &options)
    {
        double count = 0;
        for (std::size_t i = 0; i < options.instances; ++i) {
            for (std::size_t t = 0; t < options.targets; ++t) {
                count += world.figures(i, t).relativeTime != 1 ? 1 : 0;
                CPPUNIT_ASSERT_EQUAL(1.0, world.steadyRelativeTime(i, t));
            }
        }
        return count;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PerformanceModelTest);

} // namespace chervilfield::performance
