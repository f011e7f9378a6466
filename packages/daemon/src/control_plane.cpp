#include "daemon/control_plane.h"

#include "peers/exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <glog/logging.h>

namespace chervilfield::daemon {

using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPeerTimeout{ 300 };
// A leaving target gets no new work after 3 s; the list itself lags.
constexpr milliseconds kInstancePoll{ 1000 };

platform::PlatformOptions platformOptions(const Settings &settings)
{
    return { .table = settings.platform,
             .objects = settings.platform,
             .instances = settings.platform,
             .timeout = settings.platformTimeout };
}

} // namespace

ControlPlane::ControlPlane(const Settings &settings, std::string life, base::TimeLine &timeLine,
                           ControlHooks hooks)
    : settings_(settings), life_(std::move(life)), timeLine_(timeLine),
      table_(std::make_shared<const traffic::TargetTable>(
              std::make_shared<const configuration::Configuration>())),
      work_(context_.get_executor()),
      client_(context_.get_executor(), { .connectTimeout = kPeerTimeout }),
      platform_(context_.get_executor(), platformOptions(settings)), log_(platform_, {}),
      hooks_(std::move(hooks))
{
    configuration_ = std::make_unique<control::ConfigurationControl>(
            system_, control::ConfigurationControlOptions{
                             .timeLine = &timeLine_,
                             .fetchNeeded = [this](auto) { follower_->kick(); },
                             .published = [this](const auto &current) { publish(current); } });
    const auto fetch = [this](control::RevisionNumber after, const yield_context &yield) {
        std::vector<control::LogEntry> result;
        for (const net::Address &peer : settings_.seeds) {
            std::error_code error;
            const auto entries =
                    peers::fetchEntries(client_, peer, after, kPeerTimeout, yield, error);
            if (!entries.has_value() || entries->entries.empty())
                continue;
            for (const auto &entry : entries->entries)
                result.push_back({ .revision = entry.revision, .value = entry.value });
            break;
        }
        return result;
    };
    follower_ = std::make_unique<control::ConfigurationFollower>(
            context_, *configuration_,
            control::ConfigurationFollowerOptions{ .pollInterval = settings_.configurationPoll,
                                                   .fetchFromPeers = fetch });
}

ControlPlane::~ControlPlane()
{
    follower_->stop();
    context_.stop();
    if (runner_.joinable())
        runner_.join();
}

void ControlPlane::start(std::error_code &error)
{
    adminApi_ = std::make_unique<admin::AdminApi>(
            context_, *configuration_, log_,
            admin::AdminHooks{ .self = { .instance = settings_.instanceName,
                                         .dataCentre = settings_.dataCentre },
                               .explain = hooks_.explain,
                               .drain = hooks_.drain,
                               .timeLine = &timeLine_ });
    adminServer_ = std::make_unique<net::HttpServer>(
            std::vector<net::ServerWorker>{ { &context_, adminApi_->handler() } },
            net::ServerOptions{});
    adminServer_->listen(settings_.admin, error);
    if (error)
        return;
    const peers::ExchangeSource source{
        .exchangeTable = [](const auto &table) { return table; },
        .entriesAfter =
                [this](std::uint64_t after) {
                    peers::ConfigurationEntries entries;
                    entries.revisionInForce = configuration_->current()->revision();
                    for (const auto &entry : configuration_->entriesAfter(after))
                        entries.entries.push_back({ entry.revision, entry.value });
                    return entries;
                }
    };
    peerServer_ = std::make_unique<net::HttpServer>(
            std::vector<net::ServerWorker>{ { &context_, peers::makeExchangeHandler(source) } },
            net::ServerOptions{});
    peerServer_->listen(settings_.peers, error);
    if (error)
        return;
    net::spawnCoroutine(context_, "[control]",
                        [this](const yield_context &yield) { runFollower(yield); });
    net::spawnCoroutine(context_, "[control]",
                        [this](const yield_context &yield) { pollInstances(yield); });
    runner_ = std::thread([this] { context_.run(); });
}

void ControlPlane::runFollower(const yield_context &yield)
{
    const control::StartSource source = follower_->start(log_, yield);
    LOG(INFO) << "[control] Configuration revision " << configuration_->current()->revision()
              << " is in force, from " << control::toString(source) << '.';
    started_ = true;
    follower_->run(log_, yield);
}

void ControlPlane::pollInstances(const yield_context &yield)
{
    while (true) {
        std::error_code error;
        const auto instances = platform_.instances(yield, error);
        if (!error) {
            std::vector<std::string> leaving;
            for (const platform::Instance &instance : instances) {
                if (instance.leaving)
                    leaving.push_back(instance.name);
            }
            hooks_.leavingTargets(leaving);
        }
        boost::asio::steady_timer timer(context_, kInstancePoll);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

void ControlPlane::publish(const configuration::ConfigurationPtr &configuration)
{
    table_.store(std::make_shared<const traffic::TargetTable>(configuration));
}

std::string ControlPlane::entriesBody(const net::Address & /*caller*/) const
{
    boost::json::array entries;
    if (!leaving_) {
        entries.push_back(boost::json::object{ { "address", toString(callerAddress_) },
                                               { "dataCentre", settings_.dataCentre } });
    }
    return boost::json::serialize(boost::json::object{ { "entries", std::move(entries) },
                                                       { "ttlMs", settings_.entriesTtl.count() } });
}

void ControlPlane::announceLeaving()
{
    leaving_ = true;
}

void ControlPlane::setCallerAddress(const net::Address &address)
{
    callerAddress_ = address;
}

net::Address ControlPlane::adminAddress() const
{
    return adminServer_->localAddress();
}

net::Address ControlPlane::peerAddress() const
{
    return peerServer_->localAddress();
}

} // namespace chervilfield::daemon
