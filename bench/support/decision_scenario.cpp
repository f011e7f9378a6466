#include "support/decision_scenario.h"

#include "base/hash.h"
#include "prefix/chain.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chervilfield::bench {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRequests = 8'192;
constexpr std::uint64_t kEngineSeed = 0xe46;
constexpr std::uint32_t kShortBlocks = 2;

// Numbers of prompt blocks on the two shared levels (dossier and school, or catalogue and
// franchise), and the range of the number of blocks below them.
constexpr std::size_t kDossierBlocks = 4;
constexpr std::size_t kSchoolBlocks = 4;
constexpr std::size_t kMinLeafBlocks = 2;
constexpr std::size_t kMaxLeafBlocks = 24;

constexpr std::size_t kDossiersPerModel = 200;
constexpr std::size_t kSchoolsPerDossier = 20;

std::uint64_t uniform(routing::Random &random, std::uint64_t below)
{
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random);
}

/// Returns a number below `below` whose logarithm is uniformly distributed, so that small numbers
/// are the most frequent ones, as in a Zipf law of exponent 1.
std::uint64_t drawLogUniform(routing::Random &random, std::uint64_t below)
{
    const double u = std::uniform_real_distribution<double>(0, 1)(random);
    return std::min(static_cast<std::uint64_t>(std::pow(static_cast<double>(below), u)) - 1,
                    below - 1);
}

/// Appends `blocks` blocks to `chain`. Their hashes depend on `name` and on the blocks before them.
void appendBlocks(std::vector<std::uint64_t> &chain, std::uint64_t name, std::size_t blocks)
{
    std::uint64_t hash = chain.empty() ? 1 : chain.back();
    for (std::size_t i = 0; i < blocks; ++i) {
        hash = base::combineHash(hash, name + i);
        chain.push_back(hash);
    }
}

/// Returns the block hashes of a random prompt: dossier, school and a leaf that is not shared.
std::vector<std::uint64_t> makeChain(routing::Random &random, std::uint64_t model,
                                     std::size_t leafBlocks)
{
    std::vector<std::uint64_t> chain;
    appendBlocks(chain, model * kDossiersPerModel + drawLogUniform(random, kDossiersPerModel),
                 kDossierBlocks);
    appendBlocks(chain, drawLogUniform(random, kSchoolsPerDossier), kSchoolBlocks);
    appendBlocks(chain, random(), leafBlocks);
    return chain;
}

/// Returns a random number of leaf blocks.
std::size_t leafBlocks(routing::Random &random)
{
    return kMinLeafBlocks + uniform(random, kMaxLeafBlocks - kMinLeafBlocks + 1);
}

std::uint64_t engineId(std::uint64_t engine)
{
    return base::combineHash(kEngineSeed, engine);
}

void addTargets(Scenario &scenario)
{
    for (std::size_t i = 0; i < scenario.size.targets; ++i) {
        scenario.targets.push_back(
                { .id = engineId(i),
                  .life = 1,
                  .path = routing::Cost(0.001 + 0.0001 * static_cast<double>(i % 90)),
                  .slowness = i % 50 == 0 ? 3.0 : 1.0 });
        admission::TargetAdmission target;
        admission::setLimits(target.budget, { 64, 2'000'000 }, {});
        scenario.admissions.push_back(target);
    }
    scenario.pool.shares.setCapacity(scenario.size.targets * 2'000'000);
}

/// Adds the requests to decide on: a quarter are short, a quarter repeat an indexed prompt, and the
/// others share only upper levels with indexed prompts.
void addRequests(Scenario &scenario, const std::vector<std::vector<std::uint64_t>> &indexed)
{
    for (std::size_t i = 0; i < kRequests; ++i) {
        ScenarioRequest request;
        request.isLong = uniform(scenario.random, 4) != 0;
        const std::uint64_t model = uniform(scenario.random, scenario.size.models);
        request.chain = makeChain(scenario.random, model,
                                  request.isLong ? leafBlocks(scenario.random) : kShortBlocks);
        if (request.isLong && uniform(scenario.random, 3) == 0)
            request.chain = indexed[uniform(scenario.random, indexed.size())];
        request.customer = drawLogUniform(scenario.random, scenario.size.customers);
        scenario.requests.push_back(std::move(request));
    }
}

/// Routes all requests once, so that the load ledger, hot prefixes and placements are those of a
/// daemon under load. The number of requests in progress per target does not depend on the number
/// of targets.
void addLoad(Scenario &scenario)
{
    constexpr std::uint64_t kRunningPerTarget = 1;
    const std::uint64_t endedPerRunning = kRequests / (kRunningPerTarget * scenario.size.targets);
    for (const ScenarioRequest &request : scenario.requests) {
        scenario.now += milliseconds(1);
        const routing::Request routed{ .chain = request.chain,
                                       .promptTokens = static_cast<std::uint32_t>(
                                               request.chain.size() * prefix::kBlockTokens) };
        const routing::Decision decision = routing::decide(routed, scenario.targets, scenario.state,
                                                           {}, scenario.now, scenario.random);
        if (decision.code != base::Result::Ok)
            continue;
        routing::SentRequest sent = routing::startRequest(scenario.state, routed, scenario.targets,
                                                          decision, {}, scenario.now);
        routing::markFirstToken(scenario.state, sent);
        if (uniform(scenario.random, endedPerRunning + 1) != 0)
            routing::endRequest(scenario.state, sent, std::nullopt);
    }
}

} // namespace

std::vector<std::vector<std::uint64_t>> fillIndex(prefix::BlockIndex &index, std::size_t engines,
                                                  std::size_t blocks, routing::Random &random,
                                                  std::chrono::steady_clock::time_point now)
{
    constexpr std::uint64_t kModels = 31;
    std::vector<std::uint64_t> eventNumbers(engines, 0);
    std::vector<prefix::HolderSlot> slots;
    for (std::size_t i = 0; i < engines; ++i)
        slots.push_back(index.beginLife({ engineId(i), 1 }, true));
    std::vector<std::vector<std::uint64_t>> sample;
    while (index.size() < blocks) {
        const std::size_t engine = uniform(random, engines);
        std::vector<std::uint64_t> chain =
                makeChain(random, uniform(random, kModels), leafBlocks(random));
        const std::size_t blockCount = std::min(chain.size(), blocks - index.size());
        chain.resize(std::max<std::size_t>(blockCount, 1));
        index.applyEvent(slots[engine],
                         { ++eventNumbers[engine], prefix::CacheEventKind::Stored, chain }, now);
        if (sample.size() < kRequests)
            sample.push_back(std::move(chain));
    }
    return sample;
}

Scenario makeScenario(const ScenarioSize &size, std::uint64_t seed)
{
    Scenario scenario{ .size = size, .random = routing::Random(seed) };
    addTargets(scenario);
    for (const routing::Target &target : scenario.targets)
        scenario.index.beginLife({ target.id, target.life }, false);
    const std::size_t followedCount = std::min(size.followedEngines, size.targets);
    const auto indexed =
            fillIndex(scenario.index, followedCount, size.blocks, scenario.random, scenario.now);
    addRequests(scenario, indexed);
    addLoad(scenario);
    return scenario;
}

bool decideOnce(Scenario &scenario, const ScenarioRequest &request)
{
    std::array<prefix::PrefixHolder, routing::kMaxCandidates> found;
    std::array<routing::Holder, routing::kMaxCandidates> holders;
    const auto prefixHolders = scenario.index.findHolders(request.chain, scenario.now, found);
    std::size_t count = 0;
    for (const prefix::PrefixHolder &prefixHolder : prefixHolders) {
        const prefix::EngineLife &life = scenario.index.lifeOf(prefixHolder.slot);
        const double expected = scenario.index.expectedBlocks(prefixHolder);
        holders[count++] = { life.engine, life.life,
                             static_cast<std::uint32_t>(std::lround(expected)) };
    }
    const auto promptTokens =
            static_cast<std::uint32_t>(request.chain.size() * prefix::kBlockTokens);
    const routing::Request routed{ .chain = request.chain,
                                   .promptTokens = promptTokens,
                                   .workClass = request.isLong ? routing::WorkClass::Long
                                                               : routing::WorkClass::Short,
                                   .holders = std::span(holders).first(count) };
    const routing::Decision decision = routing::decide(routed, scenario.targets, scenario.state, {},
                                                       scenario.now, scenario.random);
    if (decision.code != base::Result::Ok)
        return false;

    const routing::CandidateCost &choice = decision.choice();
    admission::TargetAdmission &target = scenario.admissions[choice.index];
    const admission::AdmissionRequest admissionRequest{
        .customer = request.customer,
        .workClass = request.isLong ? admission::WorkClass::Long : admission::WorkClass::Short,
        .prefillTokens = promptTokens - static_cast<std::uint64_t>(choice.cachedTokens),
        .totalTokens = promptTokens + routed.outputTokens,
    };
    const auto expected =
            std::chrono::duration_cast<std::chrono::microseconds>(choice.firstToken());
    if (admission::admit(scenario.pool, target, admissionRequest, { expected, {} }, scenario.now))
        return false;
    admission::release(scenario.pool, target, admissionRequest, false, scenario.now);
    return true;
}

} // namespace chervilfield::bench
