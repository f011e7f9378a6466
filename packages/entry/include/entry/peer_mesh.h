#pragma once

#include "base/event_log.h"
#include "base/time_line.h"
#include "control/control_system.h"
#include "control/member_actor.h"
#include "entry/options.h"
#include "entry/view_keeper.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/udp_transport.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::entry {

/// Connection of an entry instance with the others: membership over UDP, and over TCP the member
/// table and the rows of the store, for an instance that the store does not answer.
class PeerMesh
{
public:
    /// The referenced objects outlive the mesh. `life` grows with each start of the process.
    PeerMesh(boost::asio::io_context &context, const EntryOptions &options, std::uint64_t life,
             base::TimeLine &timeLine, base::EventLog &log, ViewKeeper &views);
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

    void setVersion(std::uint64_t version) { actor_->setRevision(version); }
    void leave() { actor_->leave(); }
    void exit() { actor_->exit(); }

private:
    control::MemberActorOptions actorOptions();
    void sendTo(const std::string &address, const peers::Datagram &datagram);
    void receive(const net::Address &from, peers::Datagram datagram);
    void exchangeTable(const std::string &address);
    void fetchRows(const net::Address &peer, const boost::asio::yield_context &yield);
    void askPeers(const boost::asio::yield_context &yield);
    std::vector<net::Address> otherPeers() const;

    boost::asio::io_context &context_;
    const EntryOptions &options_;
    const std::uint64_t life_;
    base::TimeLine &timeLine_;
    base::EventLog &log_;
    ViewKeeper &views_;
    net::HttpClient client_;
    std::mt19937_64 random_;
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<peers::UdpTransport> transport_;
    std::unique_ptr<control::MemberActor> actor_;
};

} // namespace chervilfield::entry
