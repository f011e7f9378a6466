#pragma once

#include "admission/admission.h"
#include "prefix/block_index.h"
#include "routing/decision.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chervilfield::bench {

/// Size of the deployment as one daemon sees it. The defaults are the design scale of
/// docs/design.md 1.8: each of 860 engines is followed by two of 360 daemons, so a daemon follows
/// five engines and indexes 69 M * 2 / 360 blocks.
struct ScenarioSize
{
    std::size_t targets = 860;
    std::size_t models = 31;
    std::size_t customers = 42'000;
    std::size_t followedEngines = 5; ///< Engines whose cache events the daemon receives.
    std::size_t blocks = 69'000'000ULL * 2 / 360;
};

/// The properties of a request that the decision depends on.
struct ScenarioRequest
{
    std::vector<std::uint64_t> chain;
    std::uint64_t customer = 0;
    bool isLong = false;
};

/// State of one daemon under load, and requests to decide on.
struct Scenario
{
    ScenarioSize size;
    prefix::BlockIndex index;
    std::vector<routing::Target> targets;
    routing::State state;
    routing::Random random;
    admission::PoolAdmission pool;
    std::vector<admission::TargetAdmission> admissions; ///< One per target.
    std::vector<ScenarioRequest> requests;
    std::chrono::steady_clock::time_point now{ std::chrono::hours(1) };
};

/// Returns a daemon with a filled index and requests in progress. The same seed gives the same
/// scenario.
Scenario makeScenario(const ScenarioSize &size, std::uint64_t seed);

/// Fills `index` with the blocks of prompts that share nested prefixes, until it has `blocks`
/// entries. Each prompt is held by one of `engines` engines. Returns the block chains of some of
/// the prompts.
std::vector<std::vector<std::uint64_t>> fillIndex(prefix::BlockIndex &index, std::size_t engines,
                                                  std::size_t blocks, routing::Random &random,
                                                  std::chrono::steady_clock::time_point now);

/// Decides on one request as the daemon does: index lookup, routing, admission. Returns whether the
/// request was admitted; the budget of an admitted request is released before the return.
bool decideOnce(Scenario &scenario, const ScenarioRequest &request);

} // namespace chervilfield::bench
