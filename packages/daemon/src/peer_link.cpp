#include "daemon/peer_link.h"

#include "peers/exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace chervilfield::daemon {

using boost::asio::yield_context;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds kPeerRequestTimeout{ 300 };
constexpr net::TransferLimits kEntriesLimits{ .headTimeout = kPeerRequestTimeout,
                                              .progressTimeout = milliseconds(1000),
                                              .maxTime = milliseconds(5000) };
constexpr milliseconds kLoadExchangeInterval{ 100 };
constexpr std::size_t kMaxPeersAsked = 3;
// TCP and UDP use the same port. The free TCP port that the kernel chooses may be taken for UDP, so
// binding is tried again.
constexpr int kMaxBindAttempts = 8;
constexpr std::string_view kTimeLinePath = "/peer/v1/timeline";

std::vector<routing::PlacementHint> toRoutingHints(const peers::PlacementHints &hints)
{
    std::vector<routing::PlacementHint> result;
    result.reserve(hints.hints.size());
    for (const peers::PlacementHint &hint : hints.hints)
        result.push_back({ .prefix = hint.prefix, .target = hint.target, .life = hint.life });
    return result;
}

peers::PlacementHints toMessage(const std::vector<routing::PlacementHint> &hints)
{
    peers::PlacementHints message;
    for (const routing::PlacementHint &hint : hints)
        message.hints.push_back(
                { .prefix = hint.prefix, .target = hint.target, .life = hint.life });
    return message;
}

} // namespace

PeerLink::PeerLink(boost::asio::io_context &context, const Settings &settings, std::uint64_t life,
                   base::TimeLine &timeLine, PeerHooks hooks)
    : context_(context), settings_(settings), life_(life), timeLine_(timeLine),
      hooks_(std::move(hooks)),
      client_(context.get_executor(), { .connectTimeout = kPeerRequestTimeout }),
      loads_(settings.instanceName, settings.dataCentre, life,
             [this](const std::string &to, const auto &datagram) { sendTo(to, datagram); }),
      hints_(settings.instanceName, settings.dataCentre,
             [this](const std::string &to, const auto &datagram) { sendTo(to, datagram); })
{
}

PeerLink::~PeerLink() = default;

void PeerLink::sendTo(const std::string &address, const peers::Datagram &datagram)
{
    if (const auto to = net::parseAddress(address))
        transport_->send(*to, datagram);
}

void PeerLink::start(control::ControlSystem &system, control::ConfigurationControl &configuration,
                     const net::Address &callerAddress, std::error_code &error)
{
    for (int attempt = 0; attempt < kMaxBindAttempts; ++attempt) {
        error.clear();
        bind(configuration, error);
        if (!error || settings_.peers.port != 0)
            break;
    }
    if (error)
        return;
    actor_ = std::make_unique<control::MemberActor>(system,
                                                    actorOptions(configuration, callerAddress));
    std::vector<std::string> seeds;
    for (const net::Address &seed : settings_.seeds)
        seeds.push_back(toString(seed));
    actor_->setSeeds(std::move(seeds));
    net::spawnCoroutine(context_, "[peers]",
                        [this](const yield_context &yield) { exchangeLoads(yield); });
}

void PeerLink::bind(control::ConfigurationControl &configuration, std::error_code &error)
{
    const peers::ExchangeSource source{
        .exchangeTable =
                [this](std::vector<membership::Member> table) {
                    actor_->receiveTable(std::move(table));
                    return actor_->snapshot()->members;
                },
        .entries =
                [&configuration](const peers::EntriesQuery &query) {
                    peers::ConfigurationEntries entries{
                        .revisionInForce = configuration.current()->revision()
                    };
                    for (auto &entry : configuration.entriesAfter(query.after))
                        entries.entries.push_back({ entry.revision, std::move(entry.value) });
                    return entries;
                }
    };
    const net::Handler exchangeHandler = peers::makeExchangeHandler(source);
    const net::Handler handler = [this, exchangeHandler](net::Exchange &exchange,
                                                         const yield_context &yield) {
        if (net::pathOf(exchange.request().target) == kTimeLinePath)
            serveTimeLine(exchange, yield);
        else
            exchangeHandler(exchange, yield);
    };
    server_ = std::make_unique<net::HttpServer>(
            std::vector<net::ServerWorker>{ { &context_, handler } }, net::ServerOptions{});
    server_->listen(settings_.peers, error);
    if (error)
        return;
    transport_ = std::make_unique<peers::UdpTransport>(
            context_, [this](const net::Address &from, peers::Datagram datagram) {
                receive(from, std::move(datagram));
            });
    transport_->open(server_->localAddress(), error);
}

control::MemberActorOptions PeerLink::actorOptions(control::ConfigurationControl &configuration,
                                                   const net::Address &callerAddress)
{
    return { .self = { .name = settings_.instanceName,
                       .peerAddress = toString(address()),
                       .callerAddress = toString(callerAddress),
                       .dataCentre = settings_.dataCentre,
                       .life = life_ },
             .protocol = membership::optionsFor(settings_.protocolPeriod),
             .randomSeed = std::random_device{}(),
             .timeLine = &timeLine_,
             .send = [this](const std::string &to,
                            const membership::Packet &packet) { sendTo(to, packet); },
             .exchangeTable = [this](const std::string &to) { exchangeTable(to); },
             .published = [](const auto &) {},
             .revisionSeen =
                     [this, &configuration](std::uint64_t revision, const std::string &from) {
                         {
                             const std::lock_guard lock(mutex_);
                             lastUpdatedPeer_ = from;
                         }
                         configuration.recordKnownRevision(revision);
                     } };
}

void PeerLink::receive(const net::Address &from, peers::Datagram datagram)
{
    const auto now = steady_clock::now();
    if (auto *packet = std::get_if<membership::Packet>(&datagram)) {
        recordRevision(*packet);
        if (actor_ != nullptr)
            actor_->receive(toString(from), std::move(*packet));
    } else if (const auto *report = std::get_if<peers::LoadReport>(&datagram)) {
        loads_.receive(toString(from), *report, now);
    } else if (const auto *sums = std::get_if<peers::LoadSums>(&datagram)) {
        loads_.receive(*sums, now);
    } else if (const auto *hints = std::get_if<peers::PlacementHints>(&datagram)) {
        hooks_.mergeHints(toRoutingHints(*hints));
    }
}

// Stores the revision of known members only. Datagrams may carry any name, so that storing all of
// them would let the map grow without bound.
void PeerLink::recordRevision(const membership::Packet &packet)
{
    if (actor_ == nullptr)
        return;
    const auto snapshot = actor_->snapshot();
    const std::string &name = packet.sender.name;
    if (std::ranges::find(snapshot->members, name, &membership::Member::name)
        == snapshot->members.end())
        return;
    const std::lock_guard lock(mutex_);
    revisions_[name] = packet.configurationRevision;
}

std::uint64_t PeerLink::revisionOf(const std::string &member) const
{
    const std::lock_guard lock(mutex_);
    const auto found = revisions_.find(member);
    return found == revisions_.end() ? 0 : found->second;
}

void PeerLink::exchangeTable(const std::string &address)
{
    const auto peer = net::parseAddress(address);
    if (!peer.has_value())
        return;
    net::spawnCoroutine(context_, "[peers]", [this, peer = *peer](const yield_context &yield) {
        std::error_code error;
        auto table = peers::exchangeTable(client_, peer, actor_->snapshot()->members,
                                          kPeerRequestTimeout, yield, error);
        if (table.has_value())
            actor_->receiveTable(std::move(*table));
    });
}

std::vector<control::LogEntry> PeerLink::fetchEntries(control::RevisionNumber after,
                                                      const yield_context &yield)
{
    std::vector<std::string> candidates;
    {
        const std::lock_guard lock(mutex_);
        if (!lastUpdatedPeer_.empty())
            candidates.push_back(lastUpdatedPeer_);
    }
    for (const net::Address &seed : settings_.seeds)
        candidates.push_back(toString(seed));
    for (const membership::Member &member : members()->members) {
        if (member.name != settings_.instanceName && membership::canTakeWork(member))
            candidates.push_back(member.peerAddress);
    }
    // A peer may be out of date, so several are asked and the highest revision is used.
    std::vector<peers::ConfigurationEntry> best;
    std::set<std::string> asked;
    for (const std::string &candidate : candidates) {
        const auto peer = net::parseAddress(candidate);
        if (!peer.has_value() || asked.size() == kMaxPeersAsked || !asked.insert(candidate).second)
            continue;
        std::error_code error;
        auto entries = peers::fetchEntries(client_, *peer, { .after = after }, kEntriesLimits,
                                           yield, error);
        if (!entries.has_value() || entries->entries.empty())
            continue;
        if (best.empty() || entries->entries.back().revision > best.back().revision)
            best = std::move(entries->entries);
    }
    std::vector<control::LogEntry> result;
    result.reserve(best.size());
    for (const peers::ConfigurationEntry &entry : best)
        result.push_back({ .revision = entry.revision, .value = entry.value });
    return result;
}

void PeerLink::serveTimeLine(net::Exchange &exchange, const yield_context &yield)
{
    const std::string after = net::queryParameter(exchange.request().target, "after").value_or("0");
    const auto body = hooks_.timeLine(after);
    constexpr int kOk = 200;
    constexpr int kBadRequest = 400;
    std::error_code ignored;
    exchange.respond(net::jsonResponse(body ? kOk : kBadRequest, body.value_or("{}")), yield,
                     ignored);
}

std::vector<std::string> PeerLink::fetchTimeLines(const std::string &after,
                                                  const yield_context &yield)
{
    std::vector<std::string> bodies;
    const net::Request request{ .target = std::string(kTimeLinePath)
                                          + "?after=" + net::percentEncode(after) };
    for (const membership::Member &member : members()->members) {
        const auto peer = net::parseAddress(member.peerAddress);
        const bool isOther = member.name != settings_.instanceName;
        if (!isOther || !peer.has_value() || member.state == membership::MemberState::Dead)
            continue;
        std::error_code error;
        auto response = client_.send(*peer, request, kPeerRequestTimeout, yield, error);
        if (response.has_value())
            bodies.push_back(std::move(response->body));
    }
    return bodies;
}

void PeerLink::exchangeLoads(const yield_context &yield)
{
    boost::asio::steady_timer timer(context_);
    control::MemberSnapshotPtr assigned;
    std::size_t assignedTargets = 0;
    while (true) {
        const auto members = actor_->snapshot();
        const auto targets = hooks_.targets();
        if (members != assigned || targets.size() != assignedTargets) {
            loads_.assign(members->members, targets);
            assigned = members;
            assignedTargets = targets.size();
        }
        loads_.tick(hooks_.ownLoads(), steady_clock::now());
        hooks_.othersLoads(loads_.othersLoads(steady_clock::now()));
        hints_.send(members->members, toMessage(hooks_.takeHints(peers::HintExchange::kMaxHints)),
                    steady_clock::now());
        timer.expires_after(kLoadExchangeInterval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

} // namespace chervilfield::daemon
