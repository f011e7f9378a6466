#include "entry/peer_mesh.h"

#include "base/hash.h"
#include "peers/exchange.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervilfield::entry {

using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPeerTimeout{ 300 }; // Several round trips between data centres.
// Number of instances that follow the store. The platform bills each poll of the store; with two
// followers, one responds while the other restarts. If neither is up to date, the other instances
// poll the store themselves.
constexpr std::ptrdiff_t kFollowerCount = 2;
// Interval between polls of random peers while neither the store nor a follower responds, or while
// a peer may know the age of weights that were set before this instance started.
constexpr milliseconds kPeerPollInterval{ 500 };

// Reports are sent more often and for smaller changes than in a large fleet: each instance has few
// requests at a target, and 60 ms are a small part of the shortest latency goals.
constexpr membership::LoadDigestOptions kLoadOptions{ .minSendInterval = milliseconds(60),
                                                      .minPrefillTokenChange = 512,
                                                      .minRequestChange = 1 };
// Indexes into the classes of a load. Entry instances report the requests in flight and their
// waiting tokens in the first class, and the tokens that they hold in memory in the second one.
constexpr std::size_t kWorkIndex = 0;
constexpr std::size_t kMemoryIndex = 1;
// docs/CAPACITY.md derives the budget of an entry instance for hints.
constexpr peers::HintExchangeOptions kHintOptions{ .maxBytesPerSecond = 6000,
                                                   .maxBurstBytes = 12000 };

} // namespace

PeerMesh::PeerMesh(boost::asio::io_context &context, const EntryOptions &options,
                   std::uint64_t life, base::TimeLine &timeLine, base::EventLog &log,
                   ViewUpdater &viewUpdater, PeerHooks hooks)
    : context_(context), options_(options), life_(life), timeLine_(timeLine), log_(log),
      viewUpdater_(viewUpdater), hooks_(std::move(hooks)),
      loadExchange_(
              options.instance, options.dataCentre, life,
              [this](const std::string &to, const auto &datagram) { sendTo(to, datagram); },
              kLoadOptions),
      hintExchange_(
              options.instance, options.dataCentre,
              [this](const std::string &to, const auto &datagram) { sendTo(to, datagram); },
              kHintOptions),
      quarantineExchange_(
              options.instance,
              [this](const std::string &to, const auto &datagram) { sendTo(to, datagram); },
              std::random_device{}()),
      usageExchange_(options.instance, life,
                     [this](const std::string &to, const auto &datagram) { sendTo(to, datagram); }),
      performanceExchange_(
              options.instance, std::random_device{}(),
              [this](const std::string &to, const auto &datagram) { sendTo(to, datagram); }),
      client_(context.get_executor(), { .connectTimeout = kPeerTimeout }),
      rowFetcher_(client_, viewUpdater, log), random_(std::random_device{}())
{
}

PeerMesh::~PeerMesh() = default;

void PeerMesh::start(control::ControlSystem &system, std::error_code &error)
{
    const peers::ExchangeSource source{
        .exchangeTable =
                [this](std::vector<membership::Member> table) {
                    actor_->receiveTable(std::move(table));
                    return actor_->snapshot()->members;
                },
        .entries = [this](const peers::EntriesQuery &query) { return viewUpdater_.entries(query); }
    };
    server_ = std::make_unique<net::HttpServer>(
            std::vector<net::ServerWorker>{ { &context_, peers::makeExchangeHandler(source) } },
            net::ServerOptions{});
    server_->listen(options_.peerAddress, error);
    if (error)
        return;
    transport_ = std::make_unique<peers::UdpTransport>(
            context_, [this](const net::Address &from, peers::Datagram datagram) {
                receive(from, std::move(datagram));
            });
    transport_->open(server_->localAddress(), error);
    if (error)
        return;
    actor_ = std::make_unique<control::MemberActor>(system, actorOptions());
    setSeeds(options_.seeds);
    net::spawnCoroutine(context_, "[entry]",
                        [this](const yield_context &yield) { pollPeers(yield); });
}

void PeerMesh::setSeeds(const std::vector<net::Address> &seeds)
{
    seeds_ = seeds;
    std::vector<std::string> addresses;
    addresses.reserve(seeds.size());
    for (const net::Address &seed : seeds)
        addresses.push_back(toString(seed));
    actor_->setSeeds(std::move(addresses));
}

control::MemberActorOptions PeerMesh::actorOptions()
{
    return { .self = { .name = options_.instance,
                       .peerAddress = toString(server_->localAddress()),
                       .callerAddress = toString(options_.callerAddress),
                       .dataCentre = options_.dataCentre,
                       .life = life_,
                       .linkMbps = options_.linkMbps },
             .protocol = membership::optionsFor(options_.protocolPeriod),
             .randomSeed = random_(),
             .timeLine = &timeLine_,
             .send = [this](const std::string &to,
                            const membership::Packet &packet) { sendTo(to, packet); },
             .exchangeTable = [this](const std::string &to) { exchangeTable(to); },
             .published =
                     [this](const control::MemberSnapshotPtr &snapshot) {
                         const auto live =
                                 std::ranges::count_if(snapshot->members, membership::canTakeWork);
                         log_.write("membership", "changed",
                                    { { "members", snapshot->members.size() }, { "live", live } });
                     },
             .revisionSeen =
                     [this](std::uint64_t revision, const std::string &from) {
                         const auto peer = net::parseAddress(from);
                         if (!peer)
                             return;
                         net::spawnCoroutine(context_, "[entry]",
                                             [=, this](const yield_context &yield) {
                                                 fetchNewerRows(*peer, revision, yield);
                                             });
                     },
             .storeEraSeen =
                     [this](std::uint64_t storeEra) {
                         boost::asio::post(context_,
                                           [this, storeEra] { viewUpdater_.requestEra(storeEra); });
                     } };
}

void PeerMesh::fetchNewerRows(const net::Address &peer, std::uint64_t revision,
                              const yield_context &yield)
{
    const fleet::DeploymentSchema &schema = viewUpdater_.schema();
    for (const std::string &table : schema.tables) {
        // Every packet of every instance with the revision leads here until the rows have arrived.
        if (table != schema.targetTable && !rowFetcher_.isFetching(table)
            && viewUpdater_.revision() < revision)
            rowFetcher_.fetch(peer, table, yield);
    }
}

void PeerMesh::sendTo(const std::string &address, const peers::Datagram &datagram)
{
    if (const auto to = net::parseAddress(address))
        transport_->send(*to, datagram);
}

void PeerMesh::receive(const net::Address &from, peers::Datagram datagram)
{
    const auto now = std::chrono::steady_clock::now();
    if (auto *packet = std::get_if<membership::Packet>(&datagram)) {
        if (actor_)
            actor_->receive(toString(from), std::move(*packet));
    } else if (const auto *report = std::get_if<peers::LoadReport>(&datagram)) {
        loadExchange_.receive(toString(from), *report, now);
    } else if (const auto *sums = std::get_if<peers::LoadSums>(&datagram)) {
        loadExchange_.receive(*sums, now);
    } else if (auto *figures = std::get_if<peers::PerformanceFigures>(&datagram)) {
        hooks_.mergePerformance(base::hash64(toString(from)), std::move(figures->figures));
    } else if (const auto *usageReport = std::get_if<peers::UsageReport>(&datagram)) {
        usageExchange_.receive(toString(from), *usageReport, usage::Time::clock::now());
    } else if (const auto *balances = std::get_if<peers::UsageBalances>(&datagram)) {
        usageExchange_.receive(toString(from), *balances, usage::Time::clock::now());
    } else if (const auto *hints = std::get_if<peers::PlacementHints>(&datagram)) {
        std::vector<dispatch::PrefixHint> prefixes;
        for (const peers::PlacementHint &hint : hints->hints)
            prefixes.push_back({ hint.prefix, hint.target, hint.life });
        hooks_.mergeHints(std::move(prefixes));
    } else if (const auto *notice = std::get_if<peers::WeightsNotice>(&datagram)) {
        hooks_.applyWeightsNotice(*notice);
    } else if (const auto *limit = std::get_if<peers::RateLimitNotice>(&datagram)) {
        hooks_.applyRateLimitNotice(*limit);
    } else if (const auto *leaving = std::get_if<peers::LeavingNotice>(&datagram)) {
        hooks_.applyLeavingNotice(*leaving);
    } else if (const auto *crash = std::get_if<quarantine::CrashReport>(&datagram)) {
        hooks_.receiveCrash(*crash);
    } else if (const auto *innocent = std::get_if<peers::InnocentParts>(&datagram)) {
        quarantineExchange_.receive(*innocent, now);
        hooks_.receiveInnocent(*innocent);
    } else if (const auto *quarantined = std::get_if<peers::QuarantinedParts>(&datagram)) {
        quarantineExchange_.receive(toString(from), *quarantined, now);
        hooks_.receiveQuarantines(*quarantined);
    }
}

void PeerMesh::updateAssignments()
{
    const auto members = actor_->snapshot();
    const auto view = viewUpdater_.view();
    if (members == assignedMembers_ && view == assignedView_)
        return;
    std::vector<membership::FollowedTarget> targets;
    for (const fleet::Target &target : view->targets())
        targets.push_back({ target.id, target.dataCentre });
    loadExchange_.assign(members->members, targets);
    std::vector<peers::LimitedCustomer> limits;
    if (view->isComplete()) {
        for (const fleet::Customer &customer : view->configuration().customers) {
            if (customer.usageLimit)
                limits.push_back({ customer.name, *customer.usageLimit });
        }
    }
    usageExchange_.assign(members->members, limits, usage::Time::clock::now());
    assignedMembers_ = members;
    assignedView_ = view;
}

void PeerMesh::exchangeDigest(const TrafficDigest &digest)
{
    updateAssignments();
    const auto now = std::chrono::steady_clock::now();
    std::vector<peers::NamedLoad> ownLoads;
    for (const dispatch::TargetWork &work : digest.work) {
        peers::NamedLoad load{ .target = work.target, .load = {} };
        load.load.classes[kWorkIndex] = { static_cast<std::uint32_t>(work.waitingTokens),
                                          static_cast<std::uint32_t>(work.requests) };
        load.load.classes[kMemoryIndex] = { static_cast<std::uint32_t>(work.memoryTokens), 0 };
        ownLoads.push_back(std::move(load));
    }
    loadExchange_.tick(ownLoads, now);
    std::vector<dispatch::TargetWork> othersWork;
    for (const peers::NamedLoad &load : loadExchange_.othersLoads(now)) {
        const auto &sums = load.load.classes;
        othersWork.push_back({ load.target, static_cast<double>(sums[kWorkIndex].requests),
                               static_cast<double>(sums[kWorkIndex].prefillTokens),
                               static_cast<double>(sums[kMemoryIndex].prefillTokens) });
    }
    const dispatch::InstanceShare share = instanceShare();
    hooks_.updateOthersWork(std::move(othersWork), share);
    exchangeUsage(digest.usage, share);
    if (!digest.performance.empty() && performanceExchange_.isDue(now))
        performanceExchange_.send(assignedMembers_->members, { digest.performance }, now);
    peers::PlacementHints message;
    for (const dispatch::PrefixHint &hint : digest.hints)
        message.hints.push_back({ hint.prefix, hint.target, hint.startedAt });
    hintExchange_.send(assignedMembers_->members, message, now);
}

void PeerMesh::exchangeUsage(const std::vector<usage::UsageTotal> &totals,
                             const dispatch::InstanceShare &share)
{
    usageExchange_.tick(totals, share.instances, share.knownInstances, usage::Time::clock::now());
    auto balances = usageExchange_.takeBalances();
    if (!balances.empty())
        hooks_.applyUsageBalances(std::move(balances));
}

dispatch::InstanceShare PeerMesh::instanceShare() const
{
    dispatch::InstanceShare share{
        .instances = 0, .knownInstances = std::max<std::size_t>(assignedMembers_->members.size(), 1)
    };
    for (const membership::Member &member : assignedMembers_->members) {
        // Instances that leave still send the requests that they have accepted.
        if (member.state == membership::MemberState::Dead && member.name != options_.instance)
            continue;
        share.index += member.name < options_.instance ? 1 : 0;
        ++share.instances;
    }
    share.instances = std::max<std::size_t>(share.instances, 1);
    return share;
}

void PeerMesh::announceWeights(const peers::WeightsNotice &notice)
{
    sendToAll(notice);
}

void PeerMesh::announceRateLimit(const peers::RateLimitNotice &notice)
{
    sendToAll(notice);
}

void PeerMesh::announceLeaving(const peers::LeavingNotice &notice)
{
    sendToAll(notice);
}

void PeerMesh::sendToAll(const peers::Datagram &datagram)
{
    for (const membership::Member &member : actor_->snapshot()->members) {
        if (member.name != options_.instance && member.state != membership::MemberState::Dead)
            sendTo(member.peerAddress, datagram);
    }
}

void PeerMesh::announceCrash(const quarantine::CrashReport &report)
{
    quarantineExchange_.announceCrash(actor_->snapshot()->members, report,
                                      std::chrono::steady_clock::now());
}

void PeerMesh::addInnocent(const std::vector<quarantine::PartKey> &parts)
{
    quarantineExchange_.addInnocent(parts, std::chrono::steady_clock::now());
}

void PeerMesh::announceQuarantines(const std::vector<peers::SharedQuarantine> &quarantines)
{
    quarantineExchange_.announceQuarantines(actor_->snapshot()->members, quarantines,
                                            std::chrono::steady_clock::now());
}

void PeerMesh::exchangeQuarantines(std::vector<peers::SharedQuarantine> quarantines)
{
    quarantineExchange_.tick(actor_->snapshot()->members, std::move(quarantines),
                             std::chrono::steady_clock::now());
}

std::size_t PeerMesh::rank() const
{
    const auto live = liveInstances();
    return static_cast<std::size_t>(
            std::distance(live.begin(), std::ranges::find(live, options_.instance)));
}

void PeerMesh::exchangeTable(const std::string &address)
{
    const auto peer = net::parseAddress(address);
    if (!peer)
        return;
    net::spawnCoroutine(context_, "[entry]", [this, peer = *peer](const yield_context &yield) {
        std::error_code error;
        auto table = peers::exchangeTable(client_, peer, actor_->snapshot()->members, kPeerTimeout,
                                          yield, error);
        if (table)
            actor_->receiveTable(std::move(*table));
    });
}

std::vector<membership::Member> chooseFollowers(std::span<const membership::Member> members)
{
    std::vector<membership::Member> live;
    std::ranges::copy_if(members, std::back_inserter(live), membership::canTakeWork);
    if (std::ssize(live) <= kFollowerCount)
        return {};
    const auto rank = [](const membership::Member &member) {
        return std::pair(-static_cast<std::int64_t>(member.linkMbps), base::hash64(member.name));
    };
    std::ranges::partial_sort(live, live.begin() + kFollowerCount, {}, rank);
    live.resize(kFollowerCount);
    return live;
}

std::vector<net::Address> PeerMesh::followers() const
{
    std::vector<net::Address> addresses;
    for (const membership::Member &member : chooseFollowers(actor_->snapshot()->members)) {
        if (member.name == options_.instance)
            return {};
        if (const auto address = net::parseAddress(member.peerAddress))
            addresses.push_back(*address);
    }
    return addresses;
}

FollowerResult PeerMesh::pollFollower(const std::string &table, const yield_context &yield)
{
    const auto addresses = actor_ == nullptr ? std::vector<net::Address>() : followers();
    if (addresses.empty())
        return FollowerResult::NotPolled;
    // The followers are polled in rotation: one whose poll of an unresponsive store is still
    // waiting cannot know yet that it is out of date.
    const std::size_t first = ++firstFollowers_[table];
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        if (rowFetcher_.fetch(addresses[(first + i) % addresses.size()], table, yield))
            return FollowerResult::UpToDate;
    }
    return FollowerResult::Failed;
}

std::vector<net::Address> PeerMesh::otherPeerAddresses() const
{
    std::vector<net::Address> result;
    for (const membership::Member &member : actor_->snapshot()->members) {
        if (member.name == options_.instance || member.state == membership::MemberState::Dead)
            continue;
        if (const auto address = net::parseAddress(member.peerAddress))
            result.push_back(*address);
    }
    // Only the seeds are known until the first member table or packet has arrived.
    return result.empty() ? seeds_ : result;
}

void PeerMesh::pollPeers(const yield_context &yield)
{
    boost::asio::steady_timer timer(context_);
    while (true) {
        timer.expires_after(kPeerPollInterval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        if (viewUpdater_.isCurrent() && !viewUpdater_.needsWeightsAges())
            continue;
        const auto peers = otherPeerAddresses();
        if (peers.empty())
            continue;
        const net::Address &peer = peers[random_() % peers.size()];
        const fleet::DeploymentSchema &schema = viewUpdater_.schema();
        rowFetcher_.fetch(peer, schema.targetTable, yield);
        for (const std::string &table : schema.tables) {
            if (table != schema.targetTable)
                rowFetcher_.fetch(peer, table, yield);
        }
    }
}

std::vector<net::Address> PeerMesh::callerAddresses() const
{
    std::vector<net::Address> result;
    for (const membership::Member &member : actor_->snapshot()->members) {
        if (!membership::canTakeWork(member))
            continue;
        if (const auto address = net::parseAddress(member.callerAddress))
            result.push_back(*address);
    }
    return result;
}

std::vector<std::string> PeerMesh::liveInstances() const
{
    std::vector<std::string> result;
    for (const membership::Member &member : actor_->snapshot()->members) {
        if (membership::canTakeWork(member))
            result.push_back(member.name);
    }
    return result;
}

} // namespace chervilfield::entry
