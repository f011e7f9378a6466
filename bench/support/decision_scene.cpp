#include "support/decision_scene.h"

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

// Blocks that prompts share at the two upper levels (dossier and school, or catalogue and
// franchise), and the range of blocks below them.
constexpr std::size_t kDossierBlocks = 4;
constexpr std::size_t kSchoolBlocks = 4;
constexpr std::size_t kLeastLeafBlocks = 2;
constexpr std::size_t kMostLeafBlocks = 24;

constexpr std::size_t kDossiersPerModel = 200;
constexpr std::size_t kSchoolsPerDossier = 20;

std::uint64_t uniform(routing::Random &random, std::uint64_t below)
{
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random);
}

/// Returns a popular small number: the logarithm is uniform, as in a Zipf law of exponent 1.
std::uint64_t popular(routing::Random &random, std::uint64_t below)
{
    const double u = std::uniform_real_distribution<double>(0, 1)(random);
    return std::min(static_cast<std::uint64_t>(std::pow(static_cast<double>(below), u)) - 1,
                    below - 1);
}

void extend(std::vector<std::uint64_t> &chain, std::uint64_t name, std::size_t blocks)
{
    std::uint64_t hash = chain.empty() ? 1 : chain.back();
    for (std::size_t i = 0; i < blocks; ++i) {
        hash = base::combineHash(hash, name + i);
        chain.push_back(hash);
    }
}

std::vector<std::uint64_t> makeChain(routing::Random &random, std::uint64_t model,
                                     std::size_t leafBlocks)
{
    std::vector<std::uint64_t> chain;
    extend(chain, model * kDossiersPerModel + popular(random, kDossiersPerModel), kDossierBlocks);
    extend(chain, popular(random, kSchoolsPerDossier), kSchoolBlocks);
    extend(chain, random(), leafBlocks);
    return chain;
}

std::size_t leafBlocks(routing::Random &random)
{
    return kLeastLeafBlocks + uniform(random, kMostLeafBlocks - kLeastLeafBlocks + 1);
}

std::uint64_t engineId(std::uint64_t engine)
{
    return base::combineHash(kEngineSeed, engine);
}

void addTargets(Scene &scene)
{
    for (std::size_t i = 0; i < scene.size.targets; ++i) {
        scene.targets.push_back(
                { .id = engineId(i),
                  .life = 1,
                  .path = routing::Cost(0.001 + 0.0001 * static_cast<double>(i % 90)),
                  .slowness = i % 50 == 0 ? 3.0 : 1.0 });
        admission::TargetAdmission target;
        admission::setLimits(target.budget, { 64, 2'000'000 }, {});
        scene.admissions.push_back(target);
    }
    scene.pool.shares.setCapacity(scene.size.targets * 2'000'000);
}

/// A quarter of the requests are short, a quarter repeat an indexed prompt and the others share its
/// upper levels.
void addRequests(Scene &scene, const std::vector<std::vector<std::uint64_t>> &indexed)
{
    for (std::size_t i = 0; i < kRequests; ++i) {
        SceneRequest request;
        request.isLong = uniform(scene.random, 4) != 0;
        const std::uint64_t model = uniform(scene.random, scene.size.models);
        request.chain = makeChain(scene.random, model,
                                  request.isLong ? leafBlocks(scene.random) : kShortBlocks);
        if (request.isLong && uniform(scene.random, 3) == 0)
            request.chain = indexed[uniform(scene.random, indexed.size())];
        request.customer = popular(scene.random, scene.size.customers);
        scene.requests.push_back(std::move(request));
    }
}

/// Brings ledger, hot prefixes and placements to the state of a daemon under load. The requests in
/// progress per target do not depend on the number of targets.
void addLoad(Scene &scene)
{
    constexpr std::uint64_t kRunningPerTarget = 1;
    const std::uint64_t endings = kRequests / (kRunningPerTarget * scene.size.targets);
    for (const SceneRequest &request : scene.requests) {
        scene.now += milliseconds(1);
        const routing::Request routed{ .chain = request.chain,
                                       .promptTokens = static_cast<std::uint32_t>(
                                               request.chain.size() * prefix::kBlockTokens) };
        const routing::Decision decision =
                routing::decide(routed, scene.targets, scene.state, {}, scene.now, scene.random);
        if (decision.code != base::Result::Ok)
            continue;
        routing::SentRequest sent =
                routing::startRequest(scene.state, routed, scene.targets, decision, {}, scene.now);
        routing::markFirstToken(scene.state, sent);
        if (uniform(scene.random, endings + 1) != 0)
            routing::endRequest(scene.state, sent, std::nullopt);
    }
}

} // namespace

std::vector<std::vector<std::uint64_t>> fillIndex(prefix::BlockIndex &index, std::size_t engines,
                                                  std::size_t blocks, routing::Random &random,
                                                  std::chrono::steady_clock::time_point now)
{
    constexpr std::uint64_t kModels = 31;
    std::vector<std::uint64_t> numbers(engines, 0);
    std::vector<prefix::HolderSlot> slots;
    for (std::size_t i = 0; i < engines; ++i)
        slots.push_back(index.beginLife({ engineId(i), 1 }, true));
    std::vector<std::vector<std::uint64_t>> sample;
    while (index.size() < blocks) {
        const std::size_t engine = uniform(random, engines);
        std::vector<std::uint64_t> chain =
                makeChain(random, uniform(random, kModels), leafBlocks(random));
        const std::size_t wanted = std::min(chain.size(), blocks - index.size());
        chain.resize(std::max<std::size_t>(wanted, 1));
        index.applyEvent(slots[engine],
                         { ++numbers[engine], prefix::CacheEventKind::Stored, chain }, now);
        if (sample.size() < kRequests)
            sample.push_back(std::move(chain));
    }
    return sample;
}

Scene makeScene(const SceneSize &size, std::uint64_t seed)
{
    Scene scene{ .size = size, .random = routing::Random(seed) };
    addTargets(scene);
    for (const routing::Target &target : scene.targets)
        scene.index.beginLife({ target.id, target.life }, false);
    const std::size_t followed = std::min(size.followedEngines, size.targets);
    const auto indexed = fillIndex(scene.index, followed, size.blocks, scene.random, scene.now);
    addRequests(scene, indexed);
    addLoad(scene);
    return scene;
}

bool decideOnce(Scene &scene, const SceneRequest &request)
{
    std::array<prefix::PrefixHolder, routing::kMaxCandidates> found;
    std::array<routing::Holder, routing::kMaxCandidates> holders;
    const auto claims = scene.index.findHolders(request.chain, scene.now, found);
    std::size_t count = 0;
    for (const prefix::PrefixHolder &claim : claims) {
        const prefix::EngineLife &life = scene.index.lifeOf(claim.slot);
        const double expected = scene.index.expectedBlocks(claim);
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
    const routing::Decision decision =
            routing::decide(routed, scene.targets, scene.state, {}, scene.now, scene.random);
    if (decision.code != base::Result::Ok)
        return false;

    const routing::CandidateCost &choice = decision.choice();
    admission::TargetAdmission &target = scene.admissions[choice.index];
    const admission::AdmissionRequest work{
        .customer = request.customer,
        .workClass = request.isLong ? admission::WorkClass::Long : admission::WorkClass::Short,
        .prefillTokens = promptTokens - static_cast<std::uint64_t>(choice.cachedTokens),
        .totalTokens = promptTokens + routed.outputTokens,
    };
    const auto expected =
            std::chrono::duration_cast<std::chrono::microseconds>(choice.firstToken());
    if (admission::admit(scene.pool, target, work, { expected, {} }, scene.now))
        return false;
    admission::release(scene.pool, target, work, false, scene.now);
    return true;
}

} // namespace chervilfield::bench
