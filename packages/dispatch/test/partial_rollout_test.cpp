#include "dispatch/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace chervilfield::dispatch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{ std::chrono::hours(1) };

// Returns a view of engines with the weights 1, of which the first ones have the desired weights 2.
fleet::ViewPtr makeView(std::size_t count, std::size_t updated)
{
    auto configuration = std::make_shared<fleet::Configuration>();
    configuration->pools = {
        { .name = "p", .engine = fleet::EngineTraits{ .slots = 24, .cacheTokens = 165'000 } }
    };
    std::vector<fleet::Target> targets;
    for (std::size_t i = 0; i < count; ++i)
        targets.push_back({ .id = "e" + std::to_string(i),
                            .pool = "p",
                            .address = { "10.0.0.1", static_cast<std::uint16_t>(i + 1) },
                            .dataCentre = "d",
                            .slots = 24,
                            .startedAt = 1,
                            .weights = { { "m", i < updated ? 2U : 1U } } });
    const fleet::WeightsHistory history{ { "m", { { 1, kStart - seconds(100) }, { 2, kStart } } } };
    return std::make_shared<const fleet::View>(configuration, targets, history, 1);
}

} // namespace

class PartialRolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartialRolloutTest);
    CPPUNIT_TEST(firstEngineWithNewWeightsIsNotTheHomeOfAllPrefixes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests decisions of many instances within the delay of load information, so that none knows of
    // the others' requests. Guards against a rollout whose first engine gets most requests of all
    // instances, because it is the only possible home for the new weights.
    void firstEngineWithNewWeightsIsNotTheHomeOfAllPrefixes()
    {
        struct Row
        {
            std::string name;
            double minHomeGroupShare;
            double minShare; ///< Of the decisions, for the engine with new weights.
            double maxShare;
        };
        const Row rows[] = {
            { "default", PlacementOptions{}.minHomeGroupShare, 0, 0.25 },
            { "any group has homes", 0, 0.9, 1 },
        };
        constexpr std::size_t kDecisions = 400;
        const auto view = makeView(60, 1);
        for (const Row &row : rows) {
            double chosen = 0;
            for (std::size_t i = 0; i < kDecisions; ++i) {
                Placer placer("d", i, { .minHomeGroupShare = row.minHomeGroupShare });
                placer.targetTracker().setInstanceShare({ .instances = 90 });
                const std::vector<PromptPart> parts{ { "shared" + std::to_string(i), 13'000 },
                                                     { "own", 3'000 } };
                const PlacementRequest request{ .model = "m",
                                                .parts = parts,
                                                .promptTokens = 16'000,
                                                .maxOutputTokens = 100,
                                                .latencyGoal = milliseconds(600),
                                                .timeLeft = milliseconds(8000) };
                const auto result = placer.place(request, "p", *view, Acceptance::InTime,
                                                 kStart + milliseconds(1500));
                CPPUNIT_ASSERT_MESSAGE(row.name, std::holds_alternative<Placement>(result));
                chosen += std::get<Placement>(result).target == 0 ? 1 : 0;
            }
            const double share = chosen / kDecisions;
            const std::string message = row.name + ": " + std::to_string(share);
            CPPUNIT_ASSERT_MESSAGE(message, share >= row.minShare && share <= row.maxShare);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartialRolloutTest);

} // namespace chervilfield::dispatch
