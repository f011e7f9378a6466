#include "entry/entry_app.h"

#include "base/hash.h"
#include "entry/directory.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace chervilfield::entry {

using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kTimeLineCapacity = 1024;
constexpr milliseconds kDrainCheckInterval{ 20 };
constexpr milliseconds kMinIdleBeforeExit{ 200 }; // Several round trips to callers.
// Interval between sends of loads and placement hints to other instances.
constexpr milliseconds kExchangeInterval{ 50 };
// Interval between sends of learned performance of targets.
constexpr milliseconds kPerformanceInterval{ 1000 };
constexpr std::size_t kMaxAddresses = 64; // Callers read no more addresses of a response.
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Longer than any known caller keeps an idle connection for reuse.
constexpr std::size_t kMaxQueryBytes = 64U << 10U;
constexpr milliseconds kCallerIdleTimeout{ 60'000 };
constexpr milliseconds kCallerWriteTimeout{ 6'000 };

// Returns the wall clock time in milliseconds, so that each start of the process has a higher life.
std::uint64_t processLife()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
}

relay::RelayOptions relayOptions(const EntryOptions &options)
{
    const double window = std::chrono::duration<double>(options.retryWindow).count();
    relay::RelayOptions result{
        .poolRetryBudget = admission::SharedRetryBudget{ .earnedPerRequest = options.retryRatio,
                                                         .burst = options.retryBurst,
                                                         .window = options.retryWindow },
        .retryBudget = { .earnedPerRequest = options.retryRatio,
                         .earnedPerSecond = options.retryBurst / window,
                         .maxSaved = options.retryBurst },
        .recordsTimes = options.learnsPerformance
    };
    constexpr double kResponseMemoryShare = 0.25;
    constexpr double kMebibyte = 1U << 20U;
    if (options.memoryMb > 0)
        result.responseMemoryBytes =
                static_cast<std::size_t>(options.memoryMb * kMebibyte * kResponseMemoryShare);
    return result;
}

RolloutOptions rolloutOptions(const EntryOptions &options)
{
    RolloutOptions rollout{ .instance = options.instance };
    rollout.lease.duration = options.leaseDuration;
    rollout.lease.effectDuration =
            options.enginesCheckFences ? milliseconds(0) : options.leaseDuration;
    rollout.fencingMode = options.enginesCheckFences ? leases::FencingMode::Enforced
                                                     : leases::FencingMode::Ignored;
    return rollout;
}

// Maximum time from the choice of a target until it has the request, mostly to connect to it.
constexpr milliseconds kMaxSendDelay{ 300 };
dispatch::PlacementOptions placementOptions(const EntryOptions &options)
{
    return { .maxStaleWeightsAge = options.staleWeightsLimit - kMaxSendDelay };
}

ViewUpdaterOptions viewOptions(const EntryOptions &options)
{
    // Every instance learns of a deregistered target within `maxCurrentAge` plus `pollInterval`,
    // even if the follower that it polls does not reach the store.
    const milliseconds drain = options.targetDrainTime;
    return { .longPollTimeout = drain * 7 / 20,
             .pollInterval = drain / 5,
             .maxCurrentAge = drain / 2,
             // Requests may begin on weights of unknown age until the instance has settled.
             .assumedWeightsAge = options.staleWeightsLimit - options.settleTime,
             .settleTime = options.settleTime };
}

} // namespace

EntryApp::EntryApp(EntryOptions options, Platform platform,
                   std::function<std::optional<EntryOptions>()> reload)
    : options_(std::move(options)), platform_(std::move(platform)), life_(processLife()),
      timeLine_(options_.instance, kTimeLineCapacity, clock_),
      controlWork_(controlContext_.get_executor()), trafficWork_(trafficContext_.get_executor()),
      reload_(std::move(reload)),
      store_(platform_.makeStore(controlContext_.get_executor(), options_.storeAddress)),
      engineControl_(platform_.makeEngineControl(controlContext_.get_executor())),
      viewUpdater_(controlContext_, *store_, platform_.schema, log_,
                   { .published = [this](const fleet::ViewPtr &view) { handleViewPublished(view); },
                     .pollFollower =
                             [this](const std::string &table, const yield_context &yield) {
                                 return peerMesh_.pollFollower(table, yield);
                             } },
                   viewOptions(options_)),
      peerMesh_(controlContext_, options_, life_, timeLine_, log_, viewUpdater_, peerHooks()),
      quarantineSharing_(controlContext_, trafficContext_, *store_, log_, quarantineTrafficHooks(),
                         quarantinePeerHooks()),
      rollout_(controlContext_, *store_, *engineControl_, log_,
               { .view = [this] { return viewUpdater_.view(); },
                 .liveInstances = [this] { return peerMesh_.liveInstances(); },
                 .progress =
                         [this](const LoadTask &task, LoadStage stage) {
                             const bool isNotTaken = stage == LoadStage::NotTaken;
                             handleWeightsChange({ .target = task.target.id,
                                                   .startedAt = task.target.startedAt,
                                                   .model = task.model,
                                                   .version = isNotTaken ? task.currentVersion
                                                                         : task.desiredVersion,
                                                   .isLoading = stage == LoadStage::Begun });
                         } },
               rolloutOptions(options_)),
      httpClient_(trafficContext_.get_executor(), {}),
      usageLimiter_(Clock::now(), std::random_device{}()),
      placer_(options_.dataCentre, std::random_device{}(), placementOptions(options_)),
      relay_({ .codec = platform_.codec,
               .client = httpClient_,
               .placer = placer_,
               .metrics = metrics_,
               .log = log_,
               .deploymentState =
                       [this] {
                           return relay::DeploymentState{ .view = viewUpdater_.view(),
                                                          .isFresh = viewUpdater_.isFresh(),
                                                          .confirmedAge =
                                                                  viewUpdater_.confirmedAge(),
                                                          .drainSchedule = drainSchedule() };
                       },
               .partQuarantine = partQuarantine_,
               .quarantineHooks = relayQuarantineHooks(),
               .targetLeaving =
                       [this](const fleet::Target &target) {
                           const peers::LeavingNotice notice{ .target = target.id,
                                                              .startedAt = target.startedAt };
                           boost::asio::post(controlContext_,
                                             [this, notice] { peerMesh_.announceLeaving(notice); });
                       },
               .rateLimitChanged =
                       [this](const relay::RateLimitChange &change) {
                           const peers::RateLimitNotice notice{ .target = change.target.id,
                                                                .startedAt =
                                                                        change.target.startedAt,
                                                                .requestsPerSecond =
                                                                        change.requestsPerSecond };
                           boost::asio::post(controlContext_, [this, notice] {
                               peerMesh_.announceRateLimit(notice);
                           });
                       },
               .usageLimiter = &usageLimiter_,
               .options = relayOptions(options_) })
{
}

EntryApp::~EntryApp()
{
    trafficContext_.stop();
    if (trafficThread_.joinable())
        trafficThread_.join();
}

bool EntryApp::isReady() const
{
    return !isDraining_ && viewUpdater_.view()->isComplete();
}

std::optional<relay::DrainSchedule> EntryApp::drainSchedule() const
{
    if (!isDraining_)
        return std::nullopt;
    return relay::DrainSchedule{ .acceptUntil = drainStartedAt_ + options_.drainAcceptTime,
                                 .exitAt = drainStartedAt_ + options_.drainLimit };
}

void EntryApp::listen(std::error_code &error)
{
    const auto startServer = [&](std::unique_ptr<net::HttpServer> &server,
                                 boost::asio::io_context &context, const net::Address &address,
                                 net::Handler handler, net::ServerOptions options) {
        if (error)
            return;
        server = std::make_unique<net::HttpServer>(
                std::vector<net::ServerWorker>{ { &context, std::move(handler) } },
                std::move(options));
        server->listen(address, error);
    };
    const auto bindHandler = [this](auto member) {
        return [this, member](net::Exchange &exchange, const yield_context &yield) {
            (this->*member)(exchange, yield);
        };
    };
    // Requests on these addresses have no large bodies, and must leave the memory to callers'
    // requests.
    const net::ServerOptions queryOptions{ .maxBodyBytes = kMaxQueryBytes,
                                           .requestMemoryBytes = options_.requestMemoryBytes / 4 };
    startServer(readinessServer_, controlContext_, options_.readinessAddress,
                bindHandler(&EntryApp::serveReadiness), queryOptions);
    startServer(directoryServer_, controlContext_, options_.directoryAddress,
                bindHandler(&EntryApp::serveDirectory), queryOptions);
    startServer(metricsServer_, controlContext_, options_.metricsAddress,
                bindHandler(&EntryApp::serveMetrics), queryOptions);
    startServer(callerServer_, trafficContext_, options_.callerAddress,
                [this](net::Exchange &exchange, const yield_context &yield) {
                    relay_.serve(exchange, yield);
                },
                { .requestMemoryBytes = options_.requestMemoryBytes,
                  .idleTimeout = kCallerIdleTimeout,
                  .writeTimeout = kCallerWriteTimeout,
                  .errorResponse = [this](base::Result result) {
                      return platform_.codec.encodeFailure({ .code = result });
                  } });
}

int EntryApp::run()
{
    std::error_code error;
    listen(error);
    if (!error)
        peerMesh_.start(controlSystem_, error);
    if (error) {
        log_.write("entry", "cannot-listen", { { "error", error.message() } });
        return 1;
    }
    log_.write("entry", "started",
               { { "instance", options_.instance },
                 { "data_centre", options_.dataCentre },
                 { "life", life_ },
                 { "callers", toString(options_.callerAddress) } });
    viewUpdater_.start();
    rollout_.start();
    quarantineSharing_.start();
    waitForSignal();
    exchangeTraffic();
    trafficThread_ = std::thread([this] { trafficContext_.run(); });
    controlContext_.run();
    return 0;
}

void EntryApp::applyCallerLimits(const fleet::View &view)
{
    if (!view.isComplete())
        return;
    // The head of a request may be held up by lost packets and by this process itself.
    constexpr milliseconds kHeadDelayAllowance{ 2000 };
    const fleet::CallerLimits &limits = view.configuration().limits;
    const bool hasHeadTimeout = limits.headTimeout > milliseconds::zero();
    callerServer_->setLimits({ .maxHeadBytes = limits.maxHeadBytes,
                               .maxBodyBytes = limits.maxBodyBytes,
                               .headTimeout = hasHeadTimeout
                                                      ? limits.headTimeout + kHeadDelayAllowance
                                                      : milliseconds::zero(),
                               .idleTimeout = limits.idleTimeout });
}

void EntryApp::handleViewPublished(const fleet::ViewPtr &view)
{
    applyCallerLimits(*view);
    peerMesh_.setRevision(viewUpdater_.revision());
    boost::asio::post(trafficContext_, [this, view] {
        placer_.targetTracker().retain(view->targets(), Clock::now());
    });
}

PeerHooks EntryApp::peerHooks()
{
    return { .updateOthersWork =
                     [this](std::vector<dispatch::TargetWork> work,
                            const dispatch::InstanceShare &share) {
                         boost::asio::post(trafficContext_, [this, share, work = std::move(work)] {
                             placer_.targetTracker().setInstanceShare(share);
                             usageLimiter_.setInstances(share.instances, share.knownInstances);
                             updateOthersWork(work);
                         });
                     },
             .mergeHints =
                     [this](std::vector<dispatch::PrefixHint> hints) {
                         boost::asio::post(trafficContext_, [this, hints = std::move(hints)] {
                             placer_.mergeHints(hints, Clock::now());
                         });
                     },
             .mergePerformance =
                     [this](std::uint64_t sender, std::vector<performance::SharedFigures> figures) {
                         if (!options_.learnsPerformance)
                             return;
                         boost::asio::post(trafficContext_,
                                           [this, sender, figures = std::move(figures)] {
                                               placer_.targetTracker().performance().mergeShared(
                                                       sender, figures, Clock::now());
                                           });
                     },
             .applyUsageBalances =
                     [this](std::vector<usage::UsageBalance> balances) {
                         boost::asio::post(trafficContext_, [this, balances = std::move(balances)] {
                             usageLimiter_.applyBalances(balances, Clock::now());
                         });
                     },
             .applyWeightsNotice =
                     [this](const peers::WeightsNotice &notice) { applyWeightsNotice(notice); },
             .applyRateLimitNotice =
                     [this](const peers::RateLimitNotice &notice) { applyRateLimitNotice(notice); },
             .applyLeavingNotice =
                     [this](const peers::LeavingNotice &notice) { applyLeavingNotice(notice); },
             .receiveCrash =
                     [this](const quarantine::CrashReport &report) {
                         quarantineSharing_.receiveCrash(report);
                     },
             .receiveInnocent =
                     [this](const peers::InnocentParts &message) {
                         quarantineSharing_.receiveInnocent(message);
                     },
             .receiveQuarantines =
                     [this](const peers::QuarantinedParts &message) {
                         quarantineSharing_.receiveQuarantines(message);
                     } };
}

QuarantineSharing::TrafficHooks EntryApp::quarantineTrafficHooks()
{
    return { .recordCrash =
                     [this](const quarantine::CrashReport &report) {
                         partQuarantine_.recordCrash(report, Clock::now());
                         relay_.reportQuarantines();
                     },
             .recordInnocent =
                     [this](const std::vector<quarantine::PartKey> &parts) {
                         partQuarantine_.recordInnocent(parts, Clock::now());
                         relay_.reportQuarantines();
                     },
             .adopt =
                     [this](const quarantine::QuarantinedPart &part) {
                         partQuarantine_.adopt(part, Clock::now());
                         relay_.reportQuarantines();
                     } };
}

relay::QuarantineHooks EntryApp::relayQuarantineHooks()
{
    return { .crashed =
                     [this](const quarantine::CrashReport &report) {
                         quarantineSharing_.shareCrash(report);
                     },
             .innocent =
                     [this](const std::vector<quarantine::PartKey> &parts) {
                         quarantineSharing_.shareInnocent(parts);
                     },
             .quarantined =
                     [this](const quarantine::QuarantinedPart &part) {
                         quarantineSharing_.shareQuarantine(part);
                     },
             .lifted = [this](quarantine::PartKey part) { quarantineSharing_.lift(part); } };
}

QuarantineSharing::PeerHooks EntryApp::quarantinePeerHooks()
{
    return { .announceCrash =
                     [this](const quarantine::CrashReport &report) {
                         peerMesh_.announceCrash(report);
                     },
             .addInnocent =
                     [this](const std::vector<quarantine::PartKey> &parts) {
                         peerMesh_.addInnocent(parts);
                     },
             .announceQuarantines =
                     [this](const std::vector<peers::SharedQuarantine> &quarantines) {
                         peerMesh_.announceQuarantines(quarantines);
                     },
             .exchange =
                     [this](std::vector<peers::SharedQuarantine> quarantines) {
                         peerMesh_.exchangeQuarantines(std::move(quarantines));
                     },
             .rank = [this] { return peerMesh_.rank(); } };
}

void EntryApp::exchangeTraffic()
{
    TrafficDigest digest{ .work = placer_.targetTracker().ownWork(),
                          .hints = placer_.takeHints(peers::HintExchange::kMaxHints),
                          .usage = usageLimiter_.totals(Clock::now()) };
    metrics_.setUsage(usageLimiter_.counters());
    collectPerformance(digest);
    relay_.reportQuarantines();
    boost::asio::post(controlContext_,
                      [this, digest = std::move(digest)] { peerMesh_.exchangeDigest(digest); });
    quarantineSharing_.exchange(partQuarantine_.active(Clock::now()));
    auto timer = std::make_shared<boost::asio::steady_timer>(trafficContext_, kExchangeInterval);
    timer->async_wait([this, timer](const auto &) { exchangeTraffic(); });
}

void EntryApp::collectPerformance(TrafficDigest &digest)
{
    const auto now = Clock::now();
    if (!options_.learnsPerformance || now - performanceCollectedAt_ < kPerformanceInterval)
        return;
    performanceCollectedAt_ = now;
    auto &model = placer_.targetTracker().performance();
    digest.performance = model.takeShared(peers::PerformanceExchange::kMaxFigures, now);
    for (const performance::PerformanceChange &change : model.takeChanges())
        log_.write("placement", "performance-changed",
                   { { "pool", change.pool },
                     { "target", base::toHex(change.target) },
                     { "started_at", change.startedAt },
                     { "before", change.before },
                     { "relative_time", change.relativeTime } });
}

void EntryApp::updateOthersWork(const std::vector<dispatch::TargetWork> &work)
{
    const fleet::ViewPtr view = viewUpdater_.view();
    const auto now = Clock::now();
    for (const dispatch::TargetWork &entry : work) {
        const auto target = std::ranges::find(view->targets(), entry.target, &fleet::Target::id);
        if (target != view->targets().end())
            placer_.targetTracker().setOthersWork(*target, entry, now);
    }
}

void EntryApp::handleWeightsChange(const peers::WeightsNotice &notice)
{
    peerMesh_.announceWeights(notice);
    applyWeightsNotice(notice);
}

void EntryApp::applyWeightsNotice(const peers::WeightsNotice &notice)
{
    boost::asio::post(trafficContext_, [this, notice] {
        const fleet::ViewPtr view = viewUpdater_.view();
        const auto target = std::ranges::find(view->targets(), notice.target, &fleet::Target::id);
        if (target == view->targets().end() || target->startedAt != notice.startedAt)
            return;
        log_.write("placement", notice.isLoading ? "target-loading" : "target-loaded",
                   { { "target", notice.target }, { "weights", notice.version } });
        if (notice.isLoading)
            placer_.targetTracker().recordLoadStart(*target, Clock::now());
        else
            placer_.targetTracker().recordLoadEnd(*target, notice.model, notice.version,
                                                  Clock::now());
    });
}

void EntryApp::applyRateLimitNotice(const peers::RateLimitNotice &notice)
{
    boost::asio::post(trafficContext_, [this, notice] {
        const fleet::ViewPtr view = viewUpdater_.view();
        const auto target = std::ranges::find(view->targets(), notice.target, &fleet::Target::id);
        if (target == view->targets().end() || target->startedAt != notice.startedAt)
            return;
        const auto now = Clock::now();
        const bool isLimited = notice.requestsPerSecond > 0;
        placer_.targetTracker().recordRateLimit(
                *target, isLimited ? std::optional(notice.requestsPerSecond) : std::nullopt, now,
                now);
    });
}

void EntryApp::applyLeavingNotice(const peers::LeavingNotice &notice)
{
    boost::asio::post(trafficContext_, [this, notice] {
        // The view may not list the target yet or any more.
        if (placer_.targetTracker().recordLeaving(notice.target, notice.startedAt, Clock::now()))
            log_.write("placement", "target-leaving",
                       { { "target", notice.target },
                         { "started_at", notice.startedAt },
                         { "from_peer", true } });
    });
}

void EntryApp::serveReadiness(net::Exchange &exchange, const yield_context &yield)
{
    int status = kNotFound;
    if (net::pathOf(exchange.request().target) == platform_.readyPath)
        status = isReady() ? kOk : kUnavailable;
    std::error_code ignored;
    exchange.respond({ .status = status, .headers = {}, .body = {} }, yield, ignored);
}

void EntryApp::serveDirectory(net::Exchange &exchange, const yield_context &yield)
{
    std::error_code ignored;
    if (!platform_.decodeAddressQuery(exchange.request())) {
        exchange.respond({ .status = kNotFound, .headers = {}, .body = {} }, yield, ignored);
        return;
    }
    auto addresses =
            chooseAddresses(peerMesh_.callerAddresses(), options_.dataCentre, kMaxAddresses);
    // Spreads callers that use only the first address.
    std::ranges::shuffle(addresses, std::mt19937_64(std::random_device{}()));
    exchange.respond(platform_.encodeAddresses(addresses, options_.addressLifetime), yield,
                     ignored);
}

void EntryApp::serveMetrics(net::Exchange &exchange, const yield_context &yield)
{
    std::error_code ignored;
    exchange.respond({ .status = kOk,
                       .headers = { { "Content-Type", "text/plain; version=0.0.4" } },
                       .body = metrics_.exposition() },
                     yield, ignored);
}

void EntryApp::waitForSignal()
{
    signals_.async_wait([this](const auto &error, int signal) {
        if (error)
            return;
        // Further signals must not end the process while it drains.
        waitForSignal();
        if (signal == SIGHUP)
            this->reload();
        else if (!isDraining_)
            startDrain();
    });
}

// Applies the seeds. All other options keep the values from the start of the process.
void EntryApp::reload()
{
    const auto options = reload_();
    if (!options) {
        log_.write("entry", "reload-rejected", { { "reason", "the settings are not valid" } });
        return;
    }
    peerMesh_.setSeeds(options->seeds);
    log_.write("entry", "reloaded", { { "seeds", options->seeds.size() } });
}

void EntryApp::startDrain()
{
    drainStartedAt_ = Clock::now();
    isDraining_ = true;
    log_.write("entry", "draining", { { "active", callerServer_->activeRequests() } });
    peerMesh_.leave();
    callerServer_->closeAfterResponses();
    continueDrain();
}

void EntryApp::continueDrain()
{
    const auto elapsed = Clock::now() - drainStartedAt_;
    if (elapsed > options_.drainListenTime)
        callerServer_->stopAccepting();
    if (callerServer_->activeRequests() > 0 || elapsed <= options_.drainListenTime)
        lastActiveAt_ = Clock::now();
    // A request may still be in transit on an open connection.
    const bool isIdle = Clock::now() - lastActiveAt_ > kMinIdleBeforeExit;
    if (isIdle || elapsed > options_.drainLimit) {
        log_.write("entry", "stopped", { { "active", callerServer_->activeRequests() } });
        peerMesh_.exit();
        controlContext_.stop();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(controlContext_, kDrainCheckInterval);
    timer->async_wait([this, timer](const auto &) { continueDrain(); });
}

} // namespace chervilfield::entry
