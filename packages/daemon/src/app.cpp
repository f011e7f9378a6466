#include "daemon/app.h"

#include "base/hash.h"
#include "traffic/explain.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace chervilfield::daemon {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxTimeLineEvents = 4096;
// Interval at which the end of a phase of the shutdown is checked.
constexpr milliseconds kDrainCheckInterval{ 20 };
// Callers connect a little later than they read the address list.
constexpr milliseconds kConnectMargin{ 500 };

// Returns an identifier of this run of the process that is unique over all processes.
std::string makeLife(const std::string &instance)
{
    std::random_device random;
    const auto now = std::chrono::system_clock::now().time_since_epoch().count();
    return instance + '-'
           + base::toHex(base::combineHash(static_cast<std::uint64_t>(now), random()));
}

traffic::RouterOptions routerOptions(const Settings &settings)
{
    return { .dataCentre = settings.dataCentre, .seed = std::random_device{}() };
}

membership::TargetLoad toTargetLoad(const traffic::TargetWork &work)
{
    membership::TargetLoad load;
    for (std::size_t i = 0; i < load.classes.size(); ++i)
        load.classes[i] = { work.classes[i].prefillTokens, work.classes[i].requests };
    return load;
}

traffic::TargetWork toTargetWork(const peers::NamedLoad &load)
{
    traffic::TargetWork work{ .target = traffic::targetId(load.target) };
    for (std::size_t i = 0; i < work.classes.size(); ++i)
        work.classes[i] = { load.load.classes[i].prefillTokens, load.load.classes[i].requests };
    return work;
}

} // namespace

App::App(const Settings &settings)
    : settings_(settings), life_(makeLife(settings.instanceName)),
      timeLine_(settings.instanceName, kMaxTimeLineEvents, clock_),
      router_(routerOptions(settings)),
      orderRegistry_(life_, [](const std::string &) { return false; }),
      control_(settings, timeLine_,
               { .explain =
                         [this](const auto &request) {
                             return traffic::explainRequest(services_, request);
                         },
                 .drain = [] { std::raise(SIGTERM); },
                 .leavingTargets = [this](const auto &names) { setLeavingTargets(names); },
                 .ownLoads = [this] { return ownLoads(); },
                 .othersLoads = [this](const auto &loads) { setOthersLoads(loads); } },
               { .router = router_, .metrics = metrics_ }),
      services_{ .router = router_,
                 .metrics = metrics_,
                 .timeLine = timeLine_,
                 .orderRegistry = orderRegistry_,
                 .retryBudgets = retryBudgets_,
                 .targetTable = [this] { return control_.targetTable(); },
                 .options = { .firstTokenTimeout = settings.firstTokenTimeout,
                              .progressTimeout = settings.progressTimeout,
                              .callTimeout = settings.callTimeout } },
      instanceInfo_{
          .entries = [this](const net::Address &caller) { return control_.entriesBody(caller); },
          .isReady = [this] { return control_.isStarted() && !isDraining_; }
      },
      traffic_(settings, services_, instanceInfo_), drain_{
          .options = { .announceTime = settings.entriesTtl + kConnectMargin,
                       .finishTimeout = settings.drainLimit }
      }
{
}

int App::run()
{
    std::error_code error;
    traffic_.bind(error);
    if (!error)
        control_.start(traffic_.localAddress(), error);
    if (error) {
        LOG(ERROR) << "[daemon] Cannot listen: " << error.message() << '.';
        return 1;
    }
    traffic_.run();
    timeLine_.record("daemon", "started", life_);
    std::cout << "listening callers " << toString(traffic_.localAddress()) << '\n'
              << "listening admin " << toString(control_.adminAddress()) << '\n'
              << "listening peers " << toString(control_.peerAddress()) << std::endl;
    waitForSignal();
    context_.run();
    return 0;
}

void App::setLeavingTargets(const std::vector<std::string> &names)
{
    std::unordered_set<routing::TargetId> targets;
    for (const std::string &name : names)
        targets.insert(traffic::targetId(name));
    router_.setDrainingTargets(std::move(targets));
}

std::vector<peers::NamedLoad> App::ownLoads() const
{
    std::unordered_map<routing::TargetId, traffic::TargetWork> work;
    for (const traffic::TargetWork &entry : router_.ownWork())
        work.emplace(entry.target, entry);
    std::vector<peers::NamedLoad> result;
    for (const auto &target : control_.targetTable()->configuration().resources().targets) {
        const auto found = work.find(traffic::targetId(target->name));
        if (found != work.end())
            result.push_back({ target->name, toTargetLoad(found->second) });
    }
    return result;
}

void App::setOthersLoads(const std::vector<peers::NamedLoad> &loads)
{
    std::vector<traffic::TargetWork> work;
    work.reserve(loads.size());
    for (const peers::NamedLoad &load : loads)
        work.push_back(toTargetWork(load));
    router_.setOthersWork(work);
}

void App::waitForSignal()
{
    signals_.async_wait([this](auto error, int) {
        if (error)
            return;
        // Without a handler, a second signal would end the process while it drains.
        waitForSignal();
        if (drain_.phase != DrainPhase::Serving)
            return;
        startDrain(drain_, Clock::now());
        enterPhase(drain_.phase);
        drainStep();
    });
}

void App::drainStep()
{
    if (advanceDrain(drain_, traffic_.activeRequests(), Clock::now()))
        enterPhase(drain_.phase);
    if (drain_.phase == DrainPhase::Done)
        return context_.stop();
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, kDrainCheckInterval);
    timer->async_wait([this, timer](auto) { drainStep(); });
}

void App::enterPhase(DrainPhase phase)
{
    switch (phase) {
    case DrainPhase::Announcing:
        isDraining_ = true;
        LOG(INFO) << "[daemon] Shutting down: leaving the address lists.";
        timeLine_.record("daemon", "leaving", life_);
        control_.announceLeaving();
        traffic_.closeAfterResponses();
        break;
    case DrainPhase::Finishing:
        LOG(INFO) << "[daemon] Shutting down: " << traffic_.activeRequests()
                  << " requests in progress.";
        traffic_.stopAccepting();
        break;
    case DrainPhase::Done:
        LOG(INFO) << "[daemon] Shut down with " << traffic_.activeRequests()
                  << " requests in progress.";
        control_.announceExit();
        break;
    case DrainPhase::Serving:
        break;
    }
}

} // namespace chervilfield::daemon
