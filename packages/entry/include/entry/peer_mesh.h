#pragma once

#include "base/event_log.h"
#include "base/time_line.h"
#include "control/control_system.h"
#include "control/member_actor.h"
#include "dispatch/placement.h"
#include "entry/options.h"
#include "entry/view_keeper.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/hint_exchange.h"
#include "peers/load_exchange.h"
#include "peers/udp_transport.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::entry {

/// What one instance tells the others about its traffic.
struct TrafficDigest
{
    std::vector<dispatch::TargetWork> work;
    std::vector<dispatch::PrefixHint> hints;
};

/// What the mesh hands to other parts of the instance, on the control I/O thread.
struct PeerHooks
{
    std::function<void(std::vector<dispatch::TargetWork>)> othersWork;
    std::function<void(std::vector<dispatch::PrefixHint>)> hints;
    std::function<void(const peers::WeightsNotice &)> weights;
};

/// Connection of an entry instance with the others: membership over UDP, and over TCP the member
/// table and the rows of the store, for an instance that the store does not answer.
class PeerMesh
{
public:
    /// The referenced objects outlive the mesh. `life` grows with each start of the process.
    PeerMesh(boost::asio::io_context &context, const EntryOptions &options, std::uint64_t life,
             base::TimeLine &timeLine, base::EventLog &log, ViewUpdater &viewUpdater,
             PeerHooks hooks);
    /// Destroy it after `context` has stopped.
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    /// Binds TCP and UDP and joins. Sets `error` if binding fails.
    void start(control::ControlSystem &system, std::error_code &error);

    /// Returns the caller addresses of instances that take callers, this one first if it does.
    std::vector<net::Address> callerAddresses() const;

    /// Returns the names of instances that take work, sorted.
    std::vector<std::string> liveInstances() const;

    /// Tells the others about this instance's traffic, and reports theirs through the hooks. Call
    /// it several times a second.
    void exchangeDigest(const TrafficDigest &digest);

    /// Tells all other instances about the weights of an engine.
    void announceWeights(const peers::WeightsNotice &notice);

    /// Replaces the addresses to join through.
    void setSeeds(const std::vector<net::Address> &seeds);

    /// Asks the few instances that follow the store for changes, until one of them is up to date.
    FollowerResult pollFollower(const boost::asio::yield_context &yield);

    /// Tells the others the revision of the view.
    void setRevision(std::uint64_t revision) { actor_->setRevision(revision); }
    void leave() { actor_->leave(); }
    void exit() { actor_->exit(); }

private:
    control::MemberActorOptions actorOptions();
    void sendTo(const std::string &address, const peers::Datagram &datagram);
    void receive(const net::Address &from, peers::Datagram datagram);
    void exchangeTable(const std::string &address);
    /// Returns the peer addresses of the instances that follow the store; none if
    /// this is one of them or if there are few instances.
    std::vector<net::Address> followers() const;
    bool fetchRows(const net::Address &peer, const boost::asio::yield_context &yield);
    void pollPeers(const boost::asio::yield_context &yield);
    std::vector<net::Address> otherPeerAddresses() const;
    void updateLoadAssignment();

    boost::asio::io_context &context_;
    const EntryOptions &options_;
    const std::uint64_t life_;
    base::TimeLine &timeLine_;
    base::EventLog &log_;
    ViewUpdater &viewUpdater_;
    PeerHooks hooks_;
    peers::LoadExchange loadExchange_;
    peers::HintExchange hintExchange_;
    // What the meeting points of the load exchange were computed from.
    control::MemberSnapshotPtr assignedMembers_;
    fleet::ViewPtr assignedView_;
    std::vector<net::Address> seeds_;
    net::HttpClient client_;
    std::mt19937_64 random_;
    std::size_t firstFollower_ = 0; ///< The follower to ask first, modulo their number.
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<peers::UdpTransport> transport_;
    std::unique_ptr<control::MemberActor> actor_;
};

} // namespace chervilfield::entry
