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

// Model of an engine with continuous batching: in each step it reads one chunk of the prompts that
// wait, in order, and makes one token for each request whose prompt is read.
constexpr double kStepMs = 4;
constexpr double kPromptTokensPerMs = 40;
constexpr double kChunk = 4096;
constexpr int kTokensPerEvent = 7;
constexpr double kLongestPauseMs = 800;

struct Job
{
    PlacementRequest request;
    Placement placement;
    double sentMs = 0;
    double unread = 0;
    int tokensLeft = 0;
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
    int shorts = 0;
    int shortsInTime = 0;
    int longs = 0;
    int longsInTime = 0;
    int refused = 0;
};

// Plays `loadShare` of what the engines can read, for ten seconds, with callers that all ask one
// instance.
class Play
{
public:
    Play(std::size_t engines, double loadShare, PlacementOptions options)
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
        const double readPerMs = static_cast<double>(engines) * kPromptTokensPerMs * loadShare;
        longsPerMs_ = readPerMs / kLongPrompt;
        shortsPerMs_ = 10 * longsPerMs_;
    }

    Totals run()
    {
        constexpr double kMs = 10'000;
        for (now_ = 0; now_ < kMs; ++now_) {
            arrive(longsPerMs_, kLongPrompt, 140, milliseconds(1000));
            arrive(shortsPerMs_, 300, 49, milliseconds(600));
            for (std::size_t i = 0; i < engines_.size(); ++i)
                step(i);
        }
        return totals_;
    }

private:
    static constexpr std::uint32_t kLongPrompt = 17'000;

    Time time() const
    {
        return Time(std::chrono::hours(1))
               + std::chrono::microseconds(static_cast<std::int64_t>(now_ * 1000));
    }

    void arrive(double perMs, std::uint32_t prompt, std::uint32_t output, milliseconds goal)
    {
        if (std::uniform_real_distribution<double>(0, 1)(random_) >= perMs)
            return;
        const bool isLong = prompt == kLongPrompt;
        (isLong ? totals_.longs : totals_.shorts) += 1;
        const PlacementRequest request{ .model = "m",
                                        .promptTokens = prompt,
                                        .outputTokens = output,
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
        engines_[placement->target].jobs.push_back({ .request = request,
                                                     .placement = *placement,
                                                     .sentMs = now_,
                                                     .unread = static_cast<double>(prompt),
                                                     .tokensLeft = static_cast<int>(output),
                                                     .lastEventMs = now_ });
    }

    void step(std::size_t index)
    {
        Engine &engine = engines_[index];
        if (engine.jobs.empty() || now_ < engine.busyUntilMs)
            return;
        double chunk = kChunk;
        for (Job &job : engine.jobs) {
            const double read = std::min(chunk, job.unread);
            job.unread -= read;
            chunk -= read;
        }
        engine.busyUntilMs = now_ + kStepMs + (kChunk - chunk) / kPromptTokensPerMs;
        for (Job &job : engine.jobs) {
            if (job.unread <= 0)
                makeToken(job, index, engine.busyUntilMs);
        }
        std::erase_if(engine.jobs, [](const Job &job) { return job.tokensLeft <= 0; });
    }

    void makeToken(Job &job, std::size_t index, double atMs)
    {
        const fleet::Target &target = view_->targets()[index];
        if (--job.tokensLeft % kTokensPerEvent == 0) {
            const auto goal = static_cast<double>(job.request.latencyGoal.count());
            const double limit = job.hasEvent ? kLongestPauseMs : goal;
            job.isLate = job.isLate || atMs - job.lastEventMs > limit;
            job.lastEventMs = atMs;
            if (!job.hasEvent)
                placer_.targetTracker().recordFirstEvent(target, job.placement.inFlightRequest);
            job.hasEvent = true;
        }
        if (job.tokensLeft > 0)
            return;
        placer_.targetTracker().endRequest(target, job.placement.inFlightRequest, time());
        const bool isLong = job.request.promptTokens == kLongPrompt;
        if (!job.isLate)
            (isLong ? totals_.longsInTime : totals_.shortsInTime) += 1;
    }

    Placer placer_;
    fleet::ViewPtr view_;
    std::vector<Engine> engines_;
    std::mt19937_64 random_{ 3 };
    double longsPerMs_ = 0;
    double shortsPerMs_ = 0;
    double now_ = 0;
    Totals totals_;
};

} // namespace

class LoadPlayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadPlayTest);
    CPPUNIT_TEST(shortStreamsSurviveLongPrompts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against short streams that die behind long prompts when the prompts alone fill the
    // engines: most short streams stay in time, and more of the long ones than without the limit.
    void shortStreamsSurviveLongPrompts()
    {
        struct Row
        {
            const char *name;
            double loadShare;   ///< Long prompts that arrive, of what the engines can read.
            double leastShorts; ///< Least share of short streams in time.
        };
        const Row rows[] = {
            { "usual load", 0.5, 0.9 },
            { "peak", 0.9, 0.8 },
            { "overload", 1.3, 0.6 },
        };
        constexpr double kNoLimit = 1e9;
        for (const Row &row : rows) {
            const Totals limited = Play(12, row.loadShare, {}).run();
            const Totals free = Play(12, row.loadShare,
                                     { .maxInTimeBacklogTokens = kNoLimit,
                                       .maxLateBacklogTokens = kNoLimit,
                                       .maxMemoryShare = 100 })
                                        .run();
            const std::string found =
                    std::string(row.name) + ": " + std::to_string(limited.shortsInTime) + " of "
                    + std::to_string(limited.shorts) + " short and "
                    + std::to_string(limited.longsInTime) + " of " + std::to_string(limited.longs)
                    + " long in time; without limit " + std::to_string(free.shortsInTime) + " and "
                    + std::to_string(free.longsInTime);
            CPPUNIT_ASSERT_MESSAGE(found, limited.shortsInTime >= row.leastShorts * limited.shorts);
            CPPUNIT_ASSERT_MESSAGE(found, limited.shortsInTime >= 0.99 * free.shortsInTime);
            CPPUNIT_ASSERT_MESSAGE(found, limited.longsInTime >= 0.99 * free.longsInTime);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlayTest);

} // namespace chervilfield::dispatch
