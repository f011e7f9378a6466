#include "dispatch/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chervilfield::dispatch {

using std::chrono::milliseconds;

namespace {

// Model of an engine with continuous batching: each step prefills one chunk of the waiting prompts,
// in order of arrival, and generates one token for each request whose prefill is complete.
constexpr double kStepMs = 4;
constexpr double kPromptTokensPerMs = 40;
constexpr double kChunkTokens = 4096;
constexpr int kTokensPerEvent = 7;
constexpr double kMaxPauseMs = 800; // Between two events of a stream that is in time.

// A request in progress at an engine.
struct Job
{
    PlacementRequest request;
    Placement placement;
    double sentMs = 0;
    double promptTokensLeft = 0;
    int outputTokensLeft = 0;
    double lastEventMs = 0;
    bool hasEvent = false;
    bool isLate = false;
};

struct Engine
{
    std::deque<Job> jobs;
    double busyUntilMs = 0;
};

struct Totals
{
    int shortStreams = 0;
    int shortStreamsInTime = 0;
    int longStreams = 0;
    int longStreamsInTime = 0;
    int refused = 0;
};

// Simulates ten seconds of requests through one instance. Long prompts alone use `loadShare` of the
// prefill capacity of all engines.
class LoadSimulation
{
public:
    LoadSimulation(std::size_t engines, double loadShare, PlacementOptions options)
        : placer_("d", 7, options), engines_(engines)
    {
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->pools = {
            { .name = "p", .engine = fleet::EngineTraits{ .slots = 64, .cacheTokens = 138'000 } }
        };
        std::vector<fleet::Target> targets;
        for (std::size_t i = 0; i < engines; ++i)
            targets.push_back({ .id = "e" + std::to_string(i),
                                .pool = "p",
                                .dataCentre = "d",
                                .slots = 64,
                                .weights = { { "m", 1 } } });
        view_ = std::make_shared<const fleet::View>(
                configuration, targets, fleet::WeightsHistory{ { "m", { { 1, Time{} } } } }, 1);
        const double longTokensPerMs =
                static_cast<double>(engines) * kPromptTokensPerMs * loadShare;
        longStreamsPerMs_ = longTokensPerMs / kLongPromptTokens;
        shortStreamsPerMs_ = 10 * longStreamsPerMs_;
    }

    Totals run()
    {
        constexpr double kDurationMs = 10'000;
        for (now_ = 0; now_ < kDurationMs; ++now_) {
            maybeSend(longStreamsPerMs_, kLongPromptTokens, 140, milliseconds(1000));
            maybeSend(shortStreamsPerMs_, 300, 49, milliseconds(600));
            for (std::size_t i = 0; i < engines_.size(); ++i)
                step(i);
        }
        return totals_;
    }

private:
    static constexpr std::uint32_t kLongPromptTokens = 17'000;

    Time time() const
    {
        return Time(std::chrono::hours(1))
               + std::chrono::microseconds(static_cast<std::int64_t>(now_ * 1000));
    }

    void maybeSend(double requestsPerMs, std::uint32_t promptTokens, std::uint32_t outputTokens,
                   milliseconds goal)
    {
        if (std::uniform_real_distribution<double>(0, 1)(random_) >= requestsPerMs)
            return;
        const bool isLong = promptTokens == kLongPromptTokens;
        (isLong ? totals_.longStreams : totals_.shortStreams) += 1;
        const PlacementRequest request{ .model = "m",
                                        .promptTokens = promptTokens,
                                        .maxOutputTokens = outputTokens,
                                        .latencyGoal = goal,
                                        .timeLeft = 6 * goal };
        auto result = placer_.place(request, "p", *view_, Acceptance::InTime, time());
        if (std::holds_alternative<Refusal>(result))
            result = placer_.place(request, "p", *view_, Acceptance::Late, time());
        const auto *placement = std::get_if<Placement>(&result);
        if (placement == nullptr) {
            ++totals_.refused;
            return;
        }
        placer_.recordSent(request, *placement, *view_, time());
        engines_[placement->target].jobs.push_back(
                { .request = request,
                  .placement = *placement,
                  .sentMs = now_,
                  .promptTokensLeft = static_cast<double>(promptTokens),
                  .outputTokensLeft = static_cast<int>(outputTokens),
                  .lastEventMs = now_ });
    }

    void step(std::size_t index)
    {
        Engine &engine = engines_[index];
        if (engine.jobs.empty() || now_ < engine.busyUntilMs)
            return;
        double chunk = kChunkTokens;
        for (Job &job : engine.jobs) {
            const double prefilledTokens = std::min(chunk, job.promptTokensLeft);
            job.promptTokensLeft -= prefilledTokens;
            chunk -= prefilledTokens;
        }
        engine.busyUntilMs = now_ + kStepMs + (kChunkTokens - chunk) / kPromptTokensPerMs;
        for (Job &job : engine.jobs) {
            if (job.promptTokensLeft <= 0)
                makeToken(job, index, engine.busyUntilMs);
        }
        std::erase_if(engine.jobs, [](const Job &job) { return job.outputTokensLeft <= 0; });
    }

    void makeToken(Job &job, std::size_t index, double atMs)
    {
        const fleet::Target &target = view_->targets()[index];
        if (--job.outputTokensLeft % kTokensPerEvent == 0) {
            const auto goal = static_cast<double>(job.request.latencyGoal.count());
            const double limit = job.hasEvent ? kMaxPauseMs : goal;
            job.isLate = job.isLate || atMs - job.lastEventMs > limit;
            job.lastEventMs = atMs;
            if (!job.hasEvent)
                placer_.targetTracker().recordFirstEvent(target, job.placement.inFlightRequest);
            job.hasEvent = true;
        }
        if (job.outputTokensLeft > 0)
            return;
        placer_.targetTracker().endRequest(target, job.placement.inFlightRequest, time());
        const bool isLong = job.request.promptTokens == kLongPromptTokens;
        if (!job.isLate)
            (isLong ? totals_.longStreamsInTime : totals_.shortStreamsInTime) += 1;
    }

    Placer placer_;
    fleet::ViewPtr view_;
    std::vector<Engine> engines_;
    std::mt19937_64 random_{ 3 };
    double longStreamsPerMs_ = 0;
    double shortStreamsPerMs_ = 0;
    double now_ = 0;
    Totals totals_;
};

} // namespace

class LoadSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadSimulationTest);
    CPPUNIT_TEST(shortStreamsStayInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that most short streams stay in time under long prompts, and that at least 99% as many
    // short and long streams do so as without limits on backlog and memory. Guards against short
    // streams that wait behind several long prompts when the long prompts alone use up the engines.
    void shortStreamsStayInTime()
    {
        struct Row
        {
            const char *name;
            double loadShare; ///< Arriving long prompts, as a share of the prefill capacity.
            double minShortStreamsInTimeShare; ///< Minimum share of short streams in time.
        };
        const Row rows[] = {
            { "usual load", 0.5, 0.9 },
            { "peak", 0.9, 0.8 },
            { "overload", 1.3, 0.6 },
        };
        constexpr double kNoLimit = 1e9;
        for (const Row &row : rows) {
            const Totals limited = LoadSimulation(12, row.loadShare, {}).run();
            const Totals unlimited = LoadSimulation(12, row.loadShare,
                                                    { .maxInTimeBacklogTokens = kNoLimit,
                                                      .maxLateBacklogTokens = kNoLimit,
                                                      .maxMemoryShare = 100 })
                                             .run();
            const std::string message =
                    std::string(row.name) + ": " + std::to_string(limited.shortStreamsInTime)
                    + " of " + std::to_string(limited.shortStreams) + " short and "
                    + std::to_string(limited.longStreamsInTime) + " of "
                    + std::to_string(limited.longStreams) + " long in time; without limit "
                    + std::to_string(unlimited.shortStreamsInTime) + " and "
                    + std::to_string(unlimited.longStreamsInTime);
            CPPUNIT_ASSERT_MESSAGE(message,
                                   limited.shortStreamsInTime >= row.minShortStreamsInTimeShare
                                                                         * limited.shortStreams);
            CPPUNIT_ASSERT_MESSAGE(message, limited.shortStreamsInTime
                                                    >= 0.99 * unlimited.shortStreamsInTime);
            CPPUNIT_ASSERT_MESSAGE(message,
                                   limited.longStreamsInTime >= 0.99 * unlimited.longStreamsInTime);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadSimulationTest);

} // namespace chervilfield::dispatch
