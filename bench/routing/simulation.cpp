#include "simulation.h"

#include "base/hash.h"
#include "prefix/chain.h"
#include "prefix/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::bench {

namespace {

using routing::DigestEntry;
using routing::Priority;
using routing::Random;
using routing::WorkClass;

constexpr std::size_t kDataCentres = 3;
constexpr Cost kLocalRoundTrip{ 0.001 };  // Round trip within a data centre.
constexpr Cost kRemoteRoundTrip{ 0.008 }; // Round trip between data centres.
constexpr double kNetworkJitter = 0.2;
constexpr Cost kDigestInterval{ 0.1 };
constexpr std::size_t kMaxDigestPrefixes = 32;
constexpr std::size_t kMaxDigestHints = 32;
constexpr std::size_t kMaxStartHints = 1024; // Received from one peer when a daemon starts.
constexpr Cost kHealthInterval{ 0.1 };
constexpr double kSlowdownFactor = 5;
constexpr Cost kSlowPeriod{ 15 }; // Engines are slow for two thirds of each period.
// Time that a caller waits for prefill to start, by class.
constexpr Cost kStartTimeout[] = { Cost(2), Cost(10) };
constexpr double kMaxLoadFactor = 1.25; // Bounded-load hash: maximum load over the mean.

std::chrono::microseconds microseconds(Cost time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

/// State of one simulated daemon.
struct Daemon
{
    std::vector<routing::Target> targets;
    routing::State state;
    std::vector<routing::TargetHealth> health;
    Random random;
    std::vector<std::uint32_t> outstanding; ///< Requests in progress per engine, for the baselines.
    std::size_t next = 0;                   ///< Next engine of round robin.
    std::uint32_t life = 0;
    Cost restartedAt{ -1 };
};

/// Simulates daemons and engines on a virtual clock under one policy.
class Simulation
{
public:
    explicit Simulation(const RunSettings &settings);
    RunResult run();

private:
    void makeEngines();
    void makeDaemons();
    /// Runs `action` once every `period`, first after one period.
    void scheduleRepeating(Cost period, const std::function<void()> &action);
    void processArrival(std::size_t index);
    void send(std::size_t index, std::size_t target, std::optional<routing::SentRequest> sent);
    std::optional<std::size_t> choose(const Arrival &arrival,
                                      std::optional<routing::SentRequest> &sent);
    std::optional<std::size_t> chooseChervilfield(const Arrival &arrival,
                                                  std::optional<routing::SentRequest> &sent);
    std::optional<std::size_t> chooseWithCompleteKnowledge(const Arrival &arrival);
    std::size_t chooseFewestOutstanding(Daemon &daemon);
    std::size_t chooseByHash(Daemon &daemon, const Arrival &arrival, double bound);
    void exchangeDigests();
    void updateHealth();
    void restartDaemon();
    void slowEngines(bool slow);
    Cost timeSinceStart() const { return queue_.now() - start_; }
    /// Returns a random one-way network delay between a daemon and a target.
    Cost drawOneWayDelay(const Daemon &daemon, std::size_t target);

    RunSettings settings_;
    EventQueue queue_;
    Time start_;
    Random random_; ///< Network delays; policies use the generators of their daemons.
    std::unordered_map<std::uint64_t, std::uint32_t> copyCounts_;
    std::vector<std::unique_ptr<FakeEngine>> engines_;
    std::vector<Daemon> daemons_;
    std::size_t nextRestart_ = 0;
    RunResult result_;
};

Simulation::Simulation(const RunSettings &settings)
    : settings_(settings), start_(queue_.now()), random_(settings.workload.seed + 1)
{
    result_.arrivals = generateArrivals(settings_.workload);
    result_.outcomes.resize(result_.arrivals.size());
    makeEngines();
    makeDaemons();
}

void Simulation::makeEngines()
{
    const Workload &workload = settings_.workload;
    EngineSettings engine;
    engine.cacheBlocks = static_cast<std::size_t>(
            std::ceil(workload.cacheRatio * static_cast<double>(sharedBlocks(workload))
                      / static_cast<double>(workload.engines)));
    for (std::size_t i = 0; i < workload.engines; ++i)
        engines_.push_back(std::make_unique<FakeEngine>(queue_, engine, copyCounts_));
}

void Simulation::makeDaemons()
{
    daemons_.resize(settings_.workload.daemons);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        Daemon &daemon = daemons_[i];
        daemon.random.seed(settings_.workload.seed * 1000 + i);
        daemon.outstanding.resize(engines_.size());
        daemon.health.resize(engines_.size());
        daemon.next = i;
        for (std::size_t j = 0; j < engines_.size(); ++j) {
            const bool local = i % kDataCentres == j % kDataCentres;
            daemon.targets.push_back({ .id = base::combineHash(settings_.workload.seed, j + 1),
                                       .life = 1,
                                       .prefillRate = engines_[j]->settings().prefillRate,
                                       .slots = engines_[j]->settings().slots,
                                       .path = local ? kLocalRoundTrip : kRemoteRoundTrip });
        }
    }
}

void Simulation::scheduleRepeating(Cost period, const std::function<void()> &action)
{
    queue_.schedule(period, [this, period, action] {
        action();
        scheduleRepeating(period, action);
    });
}

Cost Simulation::drawOneWayDelay(const Daemon &daemon, std::size_t target)
{
    std::exponential_distribution<double> jitter(1 / kNetworkJitter);
    return daemon.targets[target].path * (0.5 + jitter(random_) / 2);
}

std::size_t Simulation::chooseFewestOutstanding(Daemon &daemon)
{
    const std::uint32_t fewest = std::ranges::min(daemon.outstanding);
    std::vector<std::size_t> equal;
    for (std::size_t i = 0; i < daemon.outstanding.size(); ++i) {
        if (daemon.outstanding[i] == fewest)
            equal.push_back(i);
    }
    return equal[daemon.random() % equal.size()];
}

std::size_t Simulation::chooseByHash(Daemon &daemon, const Arrival &arrival, double bound)
{
    // A prompt without a complete block shares no prefix, so it goes to the least loaded engine.
    if (arrival.chain.empty())
        return chooseFewestOutstanding(daemon);
    double sum = 1;
    for (const std::uint32_t count : daemon.outstanding)
        sum += count;
    const double limit = std::ceil(bound * sum / static_cast<double>(engines_.size()));
    std::vector<std::size_t> order(engines_.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::ranges::sort(order, std::ranges::greater(), [&](std::size_t i) {
        return prefix::rendezvousScore(arrival.chain.front(), daemon.targets[i].id);
    });
    for (const std::size_t target : order) {
        if (daemon.outstanding[target] + 1 <= limit)
            return target;
    }
    return order.front();
}

routing::Request makeRequest(const Arrival &arrival)
{
    return { .chain = arrival.chain,
             .promptTokens = arrival.promptTokens,
             .outputTokens = arrival.workClass == WorkClass::Long ? 300U : 60U,
             .workClass = arrival.workClass,
             .priority = arrival.workClass == WorkClass::Long ? Priority::Batch
                                                              : Priority::Interactive };
}

std::optional<std::size_t> Simulation::chooseChervilfield(const Arrival &arrival,
                                                          std::optional<routing::SentRequest> &sent)
{
    Daemon &daemon = daemons_[arrival.daemon];
    const routing::Request request = makeRequest(arrival);
    const Time now = queue_.now();
    const routing::Decision decision = routing::decide(request, daemon.targets, daemon.state,
                                                       settings_.options, now, daemon.random);
    if (decision.code != base::Result::Ok)
        return std::nullopt;
    sent = routing::startRequest(daemon.state, request, daemon.targets, decision, settings_.options,
                                 now);
    if (settings_.dropPlacements)
        daemon.state.placements.entries.clear();
    return decision.choice().index;
}

std::optional<std::size_t> Simulation::chooseWithCompleteKnowledge(const Arrival &arrival)
{
    const Daemon &daemon = daemons_[arrival.daemon];
    const bool isLong = arrival.workClass == WorkClass::Long;
    std::uint32_t maxCachedBlocks = 0;
    for (const auto &engine : engines_)
        maxCachedBlocks =
                std::max(maxCachedBlocks, engine->cache().countCachedPrefix(arrival.chain));
    std::size_t best = 0;
    Cost bestCost = Cost::max();
    Cost bestFirstToken{};
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        const FakeEngine &engine = *engines_[i];
        const double rate = engine.settings().prefillRate / engine.slowness();
        const auto waiting = engine.waitingTokens();
        const double queuedTokens = waiting[0] + (isLong ? waiting[1] : 0);
        const std::uint32_t cached = engine.cache().countCachedPrefix(arrival.chain);
        const double uncached = arrival.promptTokens - cached * double(prefix::kBlockTokens);
        const double duplicateTokens = (maxCachedBlocks - cached) * double(prefix::kBlockTokens);
        const Cost firstToken = daemon.targets[i].path + Cost((queuedTokens + uncached) / rate);
        const Cost cost =
                firstToken + Cost(settings_.options.displacementFactor * duplicateTokens / rate);
        if (cost < bestCost) {
            best = i;
            bestCost = cost;
            bestFirstToken = firstToken;
        }
    }
    if (bestFirstToken > settings_.options.maxWait[isLong])
        return std::nullopt;
    return best;
}

std::optional<std::size_t> Simulation::choose(const Arrival &arrival,
                                              std::optional<routing::SentRequest> &sent)
{
    Daemon &daemon = daemons_[arrival.daemon];
    switch (settings_.policy) {
    case Policy::RoundRobin:
        return daemon.next++ % engines_.size();
    case Policy::FewestOutstanding:
        return chooseFewestOutstanding(daemon);
    case Policy::PrefixHash:
        return chooseByHash(daemon, arrival, 1e9);
    case Policy::BoundedLoadHash:
        return chooseByHash(daemon, arrival, kMaxLoadFactor);
    case Policy::CompleteKnowledge:
        return chooseWithCompleteKnowledge(arrival);
    case Policy::Chervilfield:
        break;
    }
    return chooseChervilfield(arrival, sent);
}

void Simulation::processArrival(std::size_t index)
{
    const Arrival &arrival = result_.arrivals[index];
    if (index + 1 < result_.arrivals.size())
        queue_.schedule(result_.arrivals[index + 1].at - arrival.at,
                        [this, index] { processArrival(index + 1); });
    const Daemon &daemon = daemons_[arrival.daemon];
    result_.outcomes[index].restarted =
            daemon.restartedAt >= Cost(0) && arrival.at - daemon.restartedAt < Cost(1);
    std::optional<routing::SentRequest> sent;
    if (const auto target = choose(arrival, sent))
        send(index, *target, sent);
}

void Simulation::send(std::size_t index, std::size_t target,
                      std::optional<routing::SentRequest> sent)
{
    const Arrival &arrival = result_.arrivals[index];
    Daemon &daemon = daemons_[arrival.daemon];
    ++daemon.outstanding[target];
    Outcome &outcome = result_.outcomes[index];
    outcome.target = static_cast<std::uint32_t>(target);
    outcome.kind = OutcomeKind::Abandoned;
    const routing::Request request = makeRequest(arrival);
    const auto job = std::make_shared<Job>();
    job->chain = arrival.chain;
    job->promptTokens = arrival.promptTokens;
    job->outputTokens = arrival.outputTokens;
    job->priority = request.priority;
    job->workClass = arrival.workClass;
    const auto startTimeout = kStartTimeout[static_cast<std::size_t>(arrival.workClass)];
    job->startDeadline = queue_.now() + std::chrono::duration_cast<Time::duration>(startTimeout);
    const auto shared = std::make_shared<std::optional<routing::SentRequest>>(sent);
    const std::uint32_t life = daemon.life;
    const Job *raw = job.get();
    job->onTokens = [this, index, target, &daemon](Cost perToken) {
        routing::recordInterToken(daemon.health[target],
                                  { .job = index,
                                    .observed = microseconds(perToken),
                                    .predicted = microseconds(settings_.options.tokenTime) },
                                  queue_.now());
    };
    job->onFirstToken = [this, index, target, shared, life, raw, &daemon, &outcome] {
        outcome.cachedTokens = raw->cachedTokens;
        queue_.schedule(drawOneWayDelay(daemon, target), [this, index, target, shared, life,
                                                          &daemon, &outcome] {
            outcome.kind = OutcomeKind::Answered;
            outcome.firstToken = timeSinceStart() - result_.arrivals[index].at;
            if (!*shared || daemon.life != life)
                return;
            routing::markFirstToken(daemon.state, **shared);
            routing::recordFirstToken(daemon.health[target],
                                      { .job = index,
                                        .observed = microseconds(outcome.firstToken),
                                        .predicted = microseconds((*shared)->predictedFirstToken) },
                                      queue_.now());
        });
    };
    job->onEnd = [this, target, shared, life, raw, &daemon](bool answered) {
        const std::uint32_t cached = raw->cachedTokens;
        queue_.schedule(
                drawOneWayDelay(daemon, target), [target, shared, life, answered, cached, &daemon] {
                    --daemon.outstanding[target];
                    if (*shared && daemon.life == life)
                        routing::endRequest(daemon.state, **shared,
                                            answered ? std::optional(cached) : std::nullopt);
                });
    };
    queue_.schedule(drawOneWayDelay(daemon, target),
                    [this, target, job] { engines_[target]->submit(job); });
}

void Simulation::exchangeDigests()
{
    for (std::size_t from = 0; from < daemons_.size(); ++from) {
        routing::State &state = daemons_[from].state;
        const auto digest = routing::ownDigest(state.load);
        const auto increments = routing::takeIncrements(state.hot, kMaxDigestPrefixes);
        const auto hints = routing::takeHints(state.placements, kMaxDigestHints);
        for (std::size_t to = 0; to < daemons_.size(); ++to) {
            if (to == from)
                continue;
            const bool local = from % kDataCentres == to % kDataCentres;
            std::exponential_distribution<double> jitter(1 / kNetworkJitter);
            const Cost path =
                    (local ? kLocalRoundTrip : kRemoteRoundTrip) * (0.5 + jitter(random_) / 2);
            queue_.schedule(path, [this, from, to, digest, increments, hints] {
                routing::State &other = daemons_[to].state;
                if (settings_.exchange.digests)
                    routing::mergeDigest(other.load, from, digest, queue_.now());
                if (settings_.exchange.hints)
                    routing::mergeHints(other.placements, hints, queue_.now());
                if (!settings_.exchange.demand)
                    return;
                for (const auto &increment : increments)
                    routing::countIncrement(other.hot, increment, queue_.now());
            });
        }
    }
}

void Simulation::updateHealth()
{
    for (Daemon &daemon : daemons_) {
        routing::updateHealth(daemon.health, settings_.health, queue_.now());
        for (std::size_t i = 0; i < daemon.targets.size(); ++i)
            daemon.targets[i].slowness = std::max(1.0, daemon.health[i].slowness);
    }
}

void Simulation::restartDaemon()
{
    Daemon &daemon = daemons_[nextRestart_ % daemons_.size()];
    const Daemon &peer = daemons_[(nextRestart_ + 1) % daemons_.size()];
    ++nextRestart_;
    daemon.state = {};
    std::ranges::fill(daemon.health, routing::TargetHealth{});
    ++daemon.life;
    daemon.restartedAt = timeSinceStart();
    if (settings_.exchange.hints)
        routing::mergeHints(
                daemon.state.placements,
                routing::exportHints(peer.state.placements, kMaxStartHints, queue_.now()),
                queue_.now());
    if (settings_.exchange.demand) {
        for (const auto &increment :
             routing::exportDemand(peer.state.hot, kMaxDigestPrefixes, queue_.now()))
            routing::countIncrement(daemon.state.hot, increment, queue_.now());
    }
}

void Simulation::slowEngines(bool slow)
{
    for (std::size_t i = 0; i < std::min(settings_.slowed, engines_.size()); ++i)
        engines_[(settings_.workload.seed + i * 5) % engines_.size()]->setSlowness(
                slow ? kSlowdownFactor : 1);
}

RunResult Simulation::run()
{
    if (!result_.arrivals.empty())
        queue_.schedule(result_.arrivals.front().at, [this] { processArrival(0); });
    if (settings_.policy == Policy::Chervilfield) {
        scheduleRepeating(kDigestInterval, [this] { exchangeDigests(); });
        if (settings_.exchange.health)
            scheduleRepeating(kHealthInterval, [this] { updateHealth(); });
    }
    if (settings_.restartInterval > Cost(0))
        scheduleRepeating(settings_.restartInterval, [this] { restartDaemon(); });
    if (settings_.slowed > 0) {
        scheduleRepeating(kSlowPeriod, [this] {
            slowEngines(true);
            queue_.schedule(kSlowPeriod * (2.0 / 3), [this] { slowEngines(false); });
        });
    }
    const Cost end = settings_.workload.duration + Cost(20);
    queue_.runUntil(start_ + std::chrono::duration_cast<Time::duration>(end));
    for (const auto &engine : engines_) {
        result_.computedTokens += engine->computedTokens();
        result_.wastedTokens += engine->wastedTokens();
    }
    return std::move(result_);
}

} // namespace

std::string_view toString(Policy policy)
{
    switch (policy) {
    case Policy::RoundRobin:
        return "round_robin";
    case Policy::FewestOutstanding:
        return "fewest_outstanding";
    case Policy::PrefixHash:
        return "prefix_hash";
    case Policy::BoundedLoadHash:
        return "bounded_load_hash";
    case Policy::Chervilfield:
        return "chervilfield";
    case Policy::CompleteKnowledge:
        break;
    }
    return "complete_knowledge";
}

RunResult simulate(const RunSettings &settings)
{
    return Simulation(settings).run();
}

} // namespace chervilfield::bench
