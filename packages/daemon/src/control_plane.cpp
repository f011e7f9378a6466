#include "daemon/control_plane.h"

#include "base/hash.h"
#include "membership/entries.h"
#include "membership/followers.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <glog/logging.h>

#include <unordered_map>

namespace chervilfield::daemon {

using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

// A leaving target must get no new requests after 3 s. The instance list itself has a delay, so the
// interval is much shorter.
constexpr milliseconds kInstancePollInterval{ 1000 };

// Returns the time in milliseconds since the epoch. It serves as the life of the instance, because
// it grows with each start of the process.
std::uint64_t processStartMs()
{
    using std::chrono::duration_cast;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(now).count());
}

std::vector<membership::FollowedTarget> followedTargets(const configuration::Configuration &current)
{
    std::vector<membership::FollowedTarget> result;
    for (const auto &target : current.resources().targets)
        result.push_back({ .name = target->name, .dataCentre = target->dataCentre });
    return result;
}

platform::PlatformOptions platformOptions(const Settings &settings)
{
    return { .table = settings.platform,
             .objects = settings.platform,
             .instances = settings.platform,
             .timeout = settings.platformTimeout };
}

} // namespace

ControlPlane::ControlPlane(const Settings &settings, base::TimeLine &timeLine, ControlHooks hooks,
                           TrafficState state)
    : settings_(settings), timeLine_(timeLine),
      table_(std::make_shared<const traffic::TargetTable>(
              std::make_shared<const configuration::Configuration>())),
      work_(context_.get_executor()), platform_(context_.get_executor(), platformOptions(settings)),
      log_(platform_, {}), hooks_(std::move(hooks)),
      peers_(context_, settings, processStartMs(), timeLine,
             { .targets = [this] { return followedTargets(*configuration_->current()); },
               .ownLoads = hooks_.ownLoads,
               .othersLoads = hooks_.othersLoads,
               .takeHints = [&router = state.router](
                                    std::size_t limit) { return router.takeHints(limit); },
               .mergeHints =
                       [&router = state.router](const auto &hints) { router.mergeHints(hints); },
               .timeLine =
                       [this](const std::string &after) {
                           return admin::timeLineJson(timeLine_, after);
                       } }),
      metrics_(state.metrics.registry()), cacheFollower_(context_, state.router, state.metrics,
                                                         [this] { return updateFollowedEngines(); })
{
    configuration_ = std::make_unique<control::ConfigurationControl>(
            system_, control::ConfigurationControlOptions{
                             .timeLine = &timeLine_,
                             .fetchNeeded = [this](auto) { follower_->requestPoll(); },
                             .published = [this](const auto &current) { publish(current); } });
    const auto fetch = [this](control::RevisionNumber after, const yield_context &yield) {
        return peers_.fetchEntries(after, yield);
    };
    follower_ = std::make_unique<control::ConfigurationFollower>(
            context_, *configuration_,
            control::ConfigurationFollowerOptions{
                    .pollInterval = settings_.configurationPollInterval, .fetchFromPeers = fetch });
}

ControlPlane::~ControlPlane()
{
    follower_->stop();
    context_.stop();
    if (runner_.joinable())
        runner_.join();
}

void ControlPlane::start(const net::Address &callerAddress, std::error_code &error)
{
    adminApi_ = std::make_unique<admin::AdminApi>(
            context_, *configuration_, log_,
            admin::AdminHooks{
                    .self = { .instance = settings_.instanceName,
                              .dataCentre = settings_.dataCentre },
                    .peers = [this] { return instanceStatus(); },
                    .explain = hooks_.explain,
                    .drain = hooks_.drain,
                    .timeLine = &timeLine_,
                    .peerTimeLines =
                            [this](const std::string &after, const yield_context &yield) {
                                return peers_.fetchTimeLines(after, yield);
                            } });
    adminServer_ = std::make_unique<net::HttpServer>(
            std::vector<net::ServerWorker>{ { &context_, adminApi_->handler() } },
            net::ServerOptions{});
    adminServer_->listen(settings_.admin, error);
    if (error)
        return;
    peers_.start(system_, *configuration_, callerAddress, error);
    if (error)
        return;
    net::spawnCoroutine(context_, "[control]",
                        [this](const yield_context &yield) { runFollower(yield); });
    net::spawnCoroutine(context_, "[control]",
                        [this](const yield_context &yield) { pollInstances(yield); });
    net::spawnCoroutine(context_, "[cache]",
                        [this](const yield_context &yield) { cacheFollower_.run(yield); });
    runner_ = std::thread([this] { context_.run(); });
}

void ControlPlane::runFollower(const yield_context &yield)
{
    const control::StartSource source = follower_->start(log_, yield);
    LOG(INFO) << "[control] Configuration revision " << configuration_->current()->revision()
              << " is in force, from " << control::toString(source) << '.';
    // Without a configuration this instance would refuse requests that it should serve.
    isStarted_ = source != control::StartSource::Nothing;
    hasStartAttemptEnded_ = true;
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
                if (instance.isLeaving)
                    leaving.push_back(instance.name);
            }
            hooks_.leavingTargets(leaving);
        }
        updateMetrics();
        boost::asio::steady_timer timer(context_, kInstancePollInterval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

void ControlPlane::updateMetrics()
{
    metrics_.update({ .peers = peers_.counters(),
                      .platformRequests = platform_.requestCount(),
                      .revision = configuration_->current()->revision(),
                      .members = peers_.members()->members.size() });
}

void ControlPlane::publish(const configuration::ConfigurationPtr &configuration)
{
    table_.store(std::make_shared<const traffic::TargetTable>(configuration));
    peers_.setRevision(configuration->revision());
    // During the start, an outdated snapshot may be published before a peer returns a newer
    // revision.
    if (hasStartAttemptEnded_ && configuration->revision() > 0)
        isStarted_ = true;
}

// The assignment hashes each pair of a member and an engine, so it is computed again only if the
// members or the targets have changed.
std::vector<traffic::TargetInfo> ControlPlane::updateFollowedEngines()
{
    const auto members = peers_.members();
    const auto table = table_.load();
    if (members == assignedMembers_ && table == assignedTable_)
        return followedEngines_;
    assignedMembers_ = members;
    assignedTable_ = table;
    std::unordered_map<std::string, traffic::TargetInfo> engines;
    std::vector<membership::FollowedTarget> targets;
    for (const auto &target : table->configuration().resources().targets) {
        const auto address = net::parseAddress(target->address);
        if (target->kind != configuration::TargetKind::Engine || !address.has_value())
            continue;
        targets.push_back({ .name = target->name, .dataCentre = target->dataCentre });
        engines.emplace(target->name, traffic::TargetInfo{ .id = traffic::targetId(target->name),
                                                           .name = target->name,
                                                           .address = *address,
                                                           .dataCentre = target->dataCentre });
    }
    followedEngines_.clear();
    const auto assignments = membership::assignFollowers(members->members, targets);
    for (const std::string &name :
         membership::targetsFollowedBy(assignments, settings_.instanceName))
        followedEngines_.push_back(engines.at(name));
    return followedEngines_;
}

std::vector<admin::InstanceStatus> ControlPlane::instanceStatus() const
{
    std::vector<admin::InstanceStatus> result;
    for (const membership::Member &member : peers_.members()->members) {
        const bool isOther = member.name != settings_.instanceName;
        if (isOther && member.state != membership::MemberState::Dead)
            result.push_back({ member.name, member.dataCentre, peers_.revisionOf(member.name) });
    }
    return result;
}

std::string ControlPlane::entriesBody(const net::Address &caller) const
{
    const auto snapshot = peers_.members();
    const auto addresses = membership::entryAddresses(snapshot->members, settings_.dataCentre,
                                                      base::hash64(caller.host));
    boost::json::array entries;
    for (const membership::EntryAddress &entry : addresses) {
        entries.push_back(boost::json::object{ { "address", entry.address },
                                               { "dataCentre", entry.dataCentre } });
    }
    return boost::json::serialize(boost::json::object{ { "entries", std::move(entries) },
                                                       { "ttlMs", settings_.entriesTtl.count() } });
}

void ControlPlane::announceLeaving()
{
    peers_.leave();
}

void ControlPlane::announceExit()
{
    peers_.exit();
}

net::Address ControlPlane::adminAddress() const
{
    return adminServer_->localAddress();
}

net::Address ControlPlane::peerAddress() const
{
    return peers_.address();
}

} // namespace chervilfield::daemon
