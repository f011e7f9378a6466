#pragma once

#include "base/event_log.h"
#include "base/time_line.h"
#include "control/control_system.h"
#include "control/member_actor.h"
#include "dispatch/placement.h"
#include "entry/options.h"
#include "entry/row_fetcher.h"
#include "entry/view_updater.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/hint_exchange.h"
#include "peers/load_exchange.h"
#include "peers/performance_exchange.h"
#include "peers/quarantine_exchange.h"
#include "peers/udp_transport.h"
#include "peers/usage_exchange.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::entry {

/// Traffic state that an instance sends to the others.
struct TrafficDigest
{
    std::vector<dispatch::TargetWork> work;  ///< Requests in flight of this instance by target.
    std::vector<dispatch::PrefixHint> hints; ///< Recent placements of prefixes.
    std::vector<usage::UsageTotal> usage;    ///< Usage of customers with a limit.
    /// Learned performance of targets; empty if it was not collected this time.
    std::vector<performance::SharedFigures> performance;
};

/// Callbacks that pass on what the other instances send. The mesh calls them on the control I/O
/// thread.
struct PeerHooks
{
    /// Called with the requests in flight of all other instances, summed by target, and with the
    /// instances that may send requests.
    std::function<void(std::vector<dispatch::TargetWork>, const dispatch::InstanceShare &)>
            updateOthersWork;
    /// Called with the recent placements of another instance.
    std::function<void(std::vector<dispatch::PrefixHint>)> mergeHints;
    /// Called with the performance of targets that another instance has observed. `sender`
    /// identifies that instance.
    std::function<void(std::uint64_t sender, std::vector<performance::SharedFigures>)>
            mergePerformance;
    /// Called with the latest balances of customers with a usage limit.
    std::function<void(std::vector<usage::UsageBalance>)> applyUsageBalances;
    /// Called when another instance has ordered an engine to load weights or seen it finish.
    std::function<void(const peers::WeightsNotice &)> applyWeightsNotice;
    /// Called when another instance has learned of a target's rate limit.
    std::function<void(const peers::RateLimitNotice &)> applyRateLimitNotice;
    /// Called when another instance has learned that a target is leaving.
    std::function<void(const peers::LeavingNotice &)> applyLeavingNotice;
    /// Called with the suspect requests that another instance had at an engine that crashed. The
    /// same report may come twice.
    std::function<void(const quarantine::CrashReport &)> receiveCrash;
    /// Called with parts on which engines have begun an answer for another instance.
    std::function<void(const peers::InnocentParts &)> receiveInnocent;
    /// Called with quarantines of another instance, periodically while they are in force.
    std::function<void(const peers::QuarantinedParts &)> receiveQuarantines;
};

/// Returns the members that follow the store for all others. All instances that know the same
/// members choose the same ones. A follower sends each change to many instances, so those with the
/// widest links are chosen. The list is empty if so few members are live that each follows the
/// store itself.
std::vector<membership::Member> chooseFollowers(std::span<const membership::Member> members);

/// Connects an entry instance with the others. Membership, loads, hints, notices about weights and
/// quarantines travel over UDP; member tables and copies of the store's rows over TCP, for
/// instances that do not poll the store or cannot reach it. All functions must be called on the
/// control I/O thread.
class PeerMesh
{
public:
    /// The referenced objects must outlive the mesh. `life` increases with each process start.
    PeerMesh(boost::asio::io_context &context, const EntryOptions &options, std::uint64_t life,
             base::TimeLine &timeLine, base::EventLog &log, ViewUpdater &viewUpdater,
             PeerHooks hooks);
    /// The mesh must be destroyed after `context` has stopped.
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    /// Binds the TCP and UDP sockets and joins the membership. Sets `error` if binding fails.
    void start(control::ControlSystem &system, std::error_code &error);

    /// Returns the caller addresses of the instances that accept requests.
    std::vector<net::Address> callerAddresses() const;

    /// Returns the sorted names of the instances that accept requests.
    std::vector<std::string> liveInstances() const;

    /// Sends this instance's traffic state to the others and passes theirs to the hooks. It must be
    /// called several times a second.
    void exchangeDigest(const TrafficDigest &digest);

    /// Sends a notice about the weights of an engine to all other instances.
    void announceWeights(const peers::WeightsNotice &notice);

    /// Sends a notice about the rate limit of a target to all other instances.
    void announceRateLimit(const peers::RateLimitNotice &notice);

    /// Sends a notice that a target is leaving to all other instances.
    void announceLeaving(const peers::LeavingNotice &notice);

    /// Sends a crash report to all other instances.
    void announceCrash(const quarantine::CrashReport &report);
    /// Sends innocent parts to all other instances with the next exchange of quarantines.
    void addInnocent(const std::vector<quarantine::PartKey> &parts);
    /// Sends quarantines to all other instances.
    void announceQuarantines(const std::vector<peers::SharedQuarantine> &quarantines);
    /// Pushes all quarantines in force to random instances. It must be called several times a
    /// second.
    void exchangeQuarantines(std::vector<peers::SharedQuarantine> quarantines);

    /// Returns the number of live instances before this one in the order of names. If this instance
    /// is not live, it comes last.
    std::size_t rank() const;

    /// Replaces the addresses through which this instance joins.
    void setSeeds(const std::vector<net::Address> &seeds);

    /// Fetches changes of a table from the instances that follow the store, until one of them is up
    /// to date.
    FollowerResult pollFollower(const std::string &table, const boost::asio::yield_context &yield);

    /// Sets the revision of the view that this instance reports to the others.
    void setRevision(std::uint64_t revision)
    {
        actor_->setRevision(revision, viewUpdater_.storeEra());
    }
    /// Tells the others that this instance is draining.
    void leave() { actor_->leave(); }
    /// Tells the others that this instance is about to exit.
    void exit() { actor_->exit(); }

private:
    control::MemberActorOptions actorOptions();
    void sendTo(const std::string &address, const peers::Datagram &datagram);
    /// Sends the datagram to all other instances.
    void sendToAll(const peers::Datagram &datagram);
    void receive(const net::Address &from, peers::Datagram datagram);
    void exchangeTable(const std::string &address);
    /// Returns the peer addresses of the instances that follow the store. The list is empty if this
    /// instance is one of them, or if so few instances are live that each follows the store.
    std::vector<net::Address> followers() const;
    /// Fetches rows other than targets from a peer that has a newer revision.
    void fetchNewerRows(const net::Address &peer, std::uint64_t revision,
                        const boost::asio::yield_context &yield);
    /// Polls random peers while the view is not current, without end.
    void pollPeers(const boost::asio::yield_context &yield);
    /// Returns the peer addresses of the other members, or the seeds if none is known.
    std::vector<net::Address> otherPeerAddresses() const;
    /// Returns the instances that may send requests, in the order of their names.
    dispatch::InstanceShare instanceShare() const;
    /// Passes the members, targets and usage limits to the exchanges if they have changed.
    void updateAssignments();
    /// Sends the usage of this instance to the aggregation points and passes balances to the hooks.
    void exchangeUsage(const std::vector<usage::UsageTotal> &totals,
                       const dispatch::InstanceShare &share);

    boost::asio::io_context &context_;
    const EntryOptions &options_;
    const std::uint64_t life_;
    base::TimeLine &timeLine_;
    base::EventLog &log_;
    ViewUpdater &viewUpdater_;
    PeerHooks hooks_;
    peers::LoadExchange loadExchange_;
    peers::HintExchange hintExchange_;
    peers::QuarantineExchange quarantineExchange_;
    peers::UsageExchange usageExchange_;
    peers::PerformanceExchange performanceExchange_;
    // Members and view from which the aggregation points of the exchanges were computed.
    control::MemberSnapshotPtr assignedMembers_;
    fleet::ViewPtr assignedView_;
    std::vector<net::Address> seeds_;
    net::HttpClient client_;
    RowFetcher rowFetcher_;
    std::mt19937_64 random_;
    /// Index of the follower to poll first, modulo their number, by table.
    std::map<std::string, std::size_t> firstFollowers_;
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<peers::UdpTransport> transport_;
    std::unique_ptr<control::MemberActor> actor_;
};

} // namespace chervilfield::entry
