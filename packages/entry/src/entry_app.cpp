#include "entry/entry_app.h"

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

constexpr std::size_t kTimeLineEvents = 1024;
constexpr milliseconds kDrainCheck{ 20 };
constexpr milliseconds kExitIdle{ 200 };        ///< Several round trips to callers.
constexpr milliseconds kExchangeInterval{ 50 }; ///< Of loads and placements with other instances.
constexpr std::size_t kMostAddresses = 64;      ///< In one answer; callers read no more.
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Above the longest time for which callers of today reuse an idle connection.
constexpr milliseconds kCallerIdle{ 60'000 };
constexpr milliseconds kCallerWrite{ 6'000 };

std::uint64_t startTime()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
}

relay::RelayOptions relayOptions(const EntryOptions &options)
{
    const double window = std::chrono::duration<double>(options.retryWindow).count();
    // Without a count of the instances in service, the burst is meant for this one alone.
    return { .retryBudget = { .earnedPerRequest = options.retryRatio,
                              .earnedPerSecond = options.retryBurst / window,
                              .maxSaved = options.retryBurst } };
}

RolloutOptions rolloutOptions(const EntryOptions &options)
{
    RolloutOptions rollout{ .instance = options.instance };
    rollout.lease.duration = options.leaseDuration;
    rollout.lease.effectDuration =
            options.enginesCheckFences ? milliseconds(0) : options.leaseDuration;
    rollout.fenceCheck = options.enginesCheckFences ? leases::FencingMode::Enforced
                                                    : leases::FencingMode::Ignored;
    return rollout;
}

// An instance learns of new weights up to this long after they were named.
constexpr milliseconds kNamingLag{ 700 };
// Left for requests on older weights when an instance starts.
constexpr milliseconds kQueueMargin{ 1500 };
// The platform judges an instance by its rules from this time after its start.
constexpr milliseconds kSettleTime{ 2500 };

dispatch::PlacementOptions placementOptions(const EntryOptions &options)
{
    return { .maxStaleWeightsAge = options.staleWeightsLimit - kNamingLag };
}

ViewUpdaterOptions viewOptions(const EntryOptions &options)
{
    // A target that leaves is known everywhere after `currentFor` and `feedPause`, even if the
    // instance that others ask hears nothing from the store.
    const milliseconds drain = options.targetDrainTime;
    return { .longPollTimeout = drain * 7 / 20,
             .pollInterval = drain / 5,
             .maxCurrentAge = drain / 2,
             .initialWeightsAge = options.staleWeightsLimit - kQueueMargin - kSettleTime };
}

} // namespace

EntryApp::EntryApp(EntryOptions options, Platform platform,
                   std::function<std::optional<EntryOptions>()> reload)
    : options_(std::move(options)), platform_(std::move(platform)), life_(startTime()),
      timeLine_(options_.instance, kTimeLineEvents, clock_), controlWork_(control_.get_executor()),
      trafficWork_(traffic_.get_executor()), reload_(std::move(reload)),
      store_(platform_.makeStore(control_.get_executor(), options_.store)),
      engines_(platform_.makeEngineControl(control_.get_executor())),
      views_(control_, *store_, platform_.schema, log_,
             { .published = [this](const fleet::ViewPtr &view) { published(view); },
               .pollFollower =
                       [this](const yield_context &yield) { return peers_.pollFollower(yield); } },
             viewOptions(options_)),
      peers_(control_, options_, life_, timeLine_, log_, views_, peerHooks()),
      rollout_(control_, *store_, *engines_, log_,
               { .view = [this] { return views_.view(); },
                 .liveInstances = [this] { return peers_.liveInstances(); },
                 .progress =
                         [this](const LoadTask &task, bool isDone) {
                             weightsChanged({ .target = task.target.id,
                                              .startedAt = task.target.startedAt,
                                              .model = task.model,
                                              .version = task.desiredVersion,
                                              .isLoading = !isDone });
                         } },
               rolloutOptions(options_)),
      client_(traffic_.get_executor(), {}),
      placer_(options_.dataCentre, std::random_device{}(), placementOptions(options_)),
      relay_({ .codec = platform_.codec,
               .client = client_,
               .placer = placer_,
               .metrics = metrics_,
               .log = log_,
               .deploymentState =
                       [this] {
                           return relay::DeploymentState{ .view = views_.view(),
                                                          .isFresh = views_.isFresh(),
                                                          .drainSchedule = departure() };
                       },
               .options = relayOptions(options_) })
{
}

EntryApp::~EntryApp()
{
    traffic_.stop();
    if (trafficThread_.joinable())
        trafficThread_.join();
}

bool EntryApp::isReady() const
{
    return !draining_ && views_.view()->isComplete();
}

std::optional<relay::DrainSchedule> EntryApp::departure() const
{
    if (!draining_)
        return std::nullopt;
    return relay::DrainSchedule{ .acceptUntil = drainStarted_ + options_.drainAcceptTime,
                                 .exitAt = drainStarted_ + options_.drainLimit };
}

void EntryApp::listen(std::error_code &error)
{
    const auto serve = [&](std::unique_ptr<net::HttpServer> &server,
                           boost::asio::io_context &context, const net::Address &address,
                           net::Handler handler, net::ServerOptions options) {
        if (error)
            return;
        server = std::make_unique<net::HttpServer>(
                std::vector<net::ServerWorker>{ { &context, std::move(handler) } },
                std::move(options));
        server->listen(address, error);
    };
    const auto bound = [this](auto member) {
        return [this, member](net::Exchange &exchange, const yield_context &yield) {
            (this->*member)(exchange, yield);
        };
    };
    serve(ready_, control_, options_.ready, bound(&EntryApp::serveReady), {});
    serve(directory_, control_, options_.directory, bound(&EntryApp::serveDirectory), {});
    serve(exposition_, control_, options_.metrics, bound(&EntryApp::serveMetrics), {});
    serve(callers_, traffic_, options_.callers,
          [this](net::Exchange &exchange, const yield_context &yield) {
              relay_.serve(exchange, yield);
          },
          { .idleTimeout = kCallerIdle,
            .writeTimeout = kCallerWrite,
            .errorResponse = [this](base::Result result) {
                return platform_.codec.encodeFailure({ .code = result });
            } });
}

int EntryApp::run()
{
    std::error_code error;
    listen(error);
    if (!error)
        peers_.start(system_, error);
    if (error) {
        log_.write("entry", "cannot-listen", { { "error", error.message() } });
        return 1;
    }
    log_.write("entry", "started",
               { { "instance", options_.instance },
                 { "data_centre", options_.dataCentre },
                 { "life", life_ },
                 { "callers", toString(options_.callers) } });
    views_.start();
    rollout_.start();
    waitForSignal();
    exchangeTraffic();
    trafficThread_ = std::thread([this] { traffic_.run(); });
    control_.run();
    return 0;
}

void EntryApp::published(const fleet::ViewPtr &view)
{
    peers_.setRevision(views_.revision());
    boost::asio::post(traffic_, [this, view] { placer_.targetTracker().retain(view->targets()); });
}

PeerHooks EntryApp::peerHooks()
{
    return { .othersWork =
                     [this](std::vector<dispatch::TargetWork> work) {
                         boost::asio::post(traffic_,
                                           [this, work = std::move(work)] { noteOthers(work); });
                     },
             .hints =
                     [this](std::vector<dispatch::PrefixHint> hints) {
                         boost::asio::post(traffic_, [this, hints = std::move(hints)] {
                             placer_.mergeHints(hints, Clock::now());
                         });
                     },
             .weights = [this](const peers::WeightsNotice &notice) { noteWeights(notice); } };
}

void EntryApp::exchangeTraffic()
{
    TrafficDigest digest{ .work = placer_.targetTracker().ownWork(),
                          .hints = placer_.takeHints(peers::HintExchange::kMaxHints) };
    boost::asio::post(control_,
                      [this, digest = std::move(digest)] { peers_.exchangeDigest(digest); });
    auto timer = std::make_shared<boost::asio::steady_timer>(traffic_, kExchangeInterval);
    timer->async_wait([this, timer](const auto &) { exchangeTraffic(); });
}

void EntryApp::noteOthers(const std::vector<dispatch::TargetWork> &work)
{
    const fleet::ViewPtr view = views_.view();
    const auto now = Clock::now();
    for (const dispatch::TargetWork &entry : work) {
        const auto target = std::ranges::find(view->targets(), entry.target, &fleet::Target::id);
        if (target != view->targets().end())
            placer_.targetTracker().setOthersWork(*target, entry, now);
    }
}

void EntryApp::weightsChanged(const peers::WeightsNotice &notice)
{
    peers_.announceWeights(notice);
    noteWeights(notice);
}

void EntryApp::noteWeights(const peers::WeightsNotice &notice)
{
    boost::asio::post(traffic_, [this, notice] {
        const fleet::ViewPtr view = views_.view();
        const auto target = std::ranges::find(view->targets(), notice.target, &fleet::Target::id);
        if (target == view->targets().end() || target->startedAt != notice.startedAt)
            return;
        log_.write("placement", notice.isLoading ? "target-loading" : "target-loaded",
                   { { "target", notice.target }, { "weights", notice.version } });
        if (notice.isLoading)
            placer_.targetTracker().recordLoadStart(*target, Clock::now());
        else
            placer_.targetTracker().recordWeights(*target, notice.model, notice.version);
    });
}

void EntryApp::serveReady(net::Exchange &exchange, const yield_context &yield)
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
    auto addresses = chooseAddresses(peers_.callerAddresses(), options_.dataCentre, kMostAddresses);
    // Spreads callers that take the first address.
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
        else if (!draining_)
            startDrain();
    });
}

// Addresses stay as they were at the start; only peers to join through can change while running.
void EntryApp::reload()
{
    const auto options = reload_();
    if (!options) {
        log_.write("entry", "reload-rejected", { { "reason", "the settings are not valid" } });
        return;
    }
    peers_.setSeeds(options->seeds);
    log_.write("entry", "reloaded", { { "seeds", options->seeds.size() } });
}

void EntryApp::startDrain()
{
    drainStarted_ = Clock::now();
    draining_ = true;
    log_.write("entry", "draining", { { "active", callers_->activeRequests() } });
    peers_.leave();
    callers_->closeAfterResponses();
    drainStep();
}

void EntryApp::drainStep()
{
    const auto passed = Clock::now() - drainStarted_;
    if (passed > options_.drainListenTime)
        callers_->stopAccepting();
    if (callers_->activeRequests() > 0 || passed <= options_.drainListenTime)
        lastActive_ = Clock::now();
    // A request may be on its way over a connection that is still open.
    const bool isIdle = Clock::now() - lastActive_ > kExitIdle;
    if (isIdle || passed > options_.drainLimit) {
        log_.write("entry", "stopped", { { "active", callers_->activeRequests() } });
        peers_.exit();
        control_.stop();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(control_, kDrainCheck);
    timer->async_wait([this, timer](const auto &) { drainStep(); });
}

} // namespace chervilfield::entry
