#include "daemon/app.h"

#include "base/hash.h"
#include "traffic/explain.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <unordered_set>

namespace chervilfield::daemon {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kTimeLineEvents = 4096;
constexpr milliseconds kDrainCheck{ 20 };
// Callers read the address list and connect a little later.
constexpr milliseconds kEntriesMargin{ 500 };

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

} // namespace

App::App(const Settings &settings)
    : settings_(settings), life_(makeLife(settings.instanceName)),
      timeLine_(settings.instanceName, kTimeLineEvents, clock_), router_(routerOptions(settings)),
      orderDesk_(life_, [](const std::string &) { return false; }),
      control_(settings, life_, timeLine_,
               { .explain =
                         [this](const auto &request) {
                             return traffic::explainRequest(services_, request);
                         },
                 .drain = [] { std::raise(SIGTERM); },
                 .leavingTargets = [this](const auto &names) { setLeaving(names); } }),
      services_{ .router = router_,
                 .metrics = metrics_,
                 .timeLine = timeLine_,
                 .orderDesk = orderDesk_,
                 .retryBudgets = retryBudgets_,
                 .targetTable = [this] { return control_.targetTable(); },
                 .options = { .firstTokenTimeout = settings.firstTokenTimeout,
                              .progressTimeout = settings.progressTimeout,
                              .callTimeout = settings.callTimeout } },
      view_{ .entries = [this](const net::Address &caller) { return control_.entriesBody(caller); },
             .ready =
                     [this] { return control_.started() && drain_.phase == DrainPhase::Serving; } },
      traffic_(settings, services_, view_), drain_{
          .options = { .announceTime = settings.entriesTtl + kEntriesMargin,
                       .finishLimit = settings.drainLimit }
      }
{
}

int App::run()
{
    std::error_code error;
    traffic_.start(error);
    if (!error) {
        control_.setCallerAddress(traffic_.localAddress());
        control_.start(error);
    }
    if (error) {
        LOG(ERROR) << "[daemon] Cannot listen: " << error.message() << '.';
        return 1;
    }
    timeLine_.record("daemon", "started", life_);
    std::cout << "listening callers " << toString(traffic_.localAddress()) << '\n'
              << "listening admin " << toString(control_.adminAddress()) << '\n'
              << "listening peers " << toString(control_.peerAddress()) << std::endl;
    boost::asio::io_context context;
    waitForSignal(context);
    context.run();
    return 0;
}

void App::setLeaving(const std::vector<std::string> &names)
{
    std::unordered_set<routing::TargetId> targets;
    for (const std::string &name : names)
        targets.insert(traffic::targetId(name));
    router_.setLeaving(std::move(targets));
}

void App::waitForSignal(boost::asio::io_context &context)
{
    auto signals = std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
    signals->async_wait([this, signals, &context](auto error, int) {
        if (error)
            return;
        startDrain(drain_, Clock::now());
        enter(drain_.phase);
        drainStep(context);
    });
}

void App::drainStep(boost::asio::io_context &context)
{
    if (advanceDrain(drain_, traffic_.activeRequests(), Clock::now()))
        enter(drain_.phase);
    if (drain_.phase == DrainPhase::Done)
        return;
    auto timer = std::make_shared<boost::asio::steady_timer>(context, kDrainCheck);
    timer->async_wait([this, timer, &context](auto) { drainStep(context); });
}

void App::enter(DrainPhase phase)
{
    switch (phase) {
    case DrainPhase::Announcing:
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
        break;
    case DrainPhase::Serving:
        break;
    }
}

} // namespace chervilfield::daemon
