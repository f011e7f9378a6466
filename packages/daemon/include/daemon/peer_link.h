#pragma once

#include "base/time_line.h"
#include "control/configuration_control.h"
#include "control/member_actor.h"
#include "peers/hint_exchange.h"
#include "peers/load_exchange.h"
#include "daemon/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/udp_transport.h"
#include "routing/recent_placements.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::daemon {

/// Functions of other parts of the daemon that the link calls on the control I/O thread.
struct PeerHooks
{
    /// Returns all targets of the configuration in force.
    std::function<std::vector<membership::FollowedTarget>()> targets;
    /// Returns the load that this instance puts on each target.
    std::function<std::vector<peers::NamedLoad>()> ownLoads;
    /// Receives the load that the other instances put on each target.
    std::function<void(const std::vector<peers::NamedLoad> &)> othersLoads;
    /// Returns up to `limit` placement hints that have not been sent to the other instances.
    std::function<std::vector<routing::PlacementHint>(std::size_t limit)> takeHints;
    /// Receives placement hints of another instance.
    std::function<void(const std::vector<routing::PlacementHint> &)> mergeHints;
    /// Returns the events of this instance after a time as JSON, or no value if the time is
    /// malformed.
    std::function<std::optional<std::string>(const std::string &after)> timeLine;
};

/// Communication of a daemon with the other instances. Membership, loads and placement hints use
/// UDP; member tables, configuration entries and time lines use TCP. Both use the peer address.
class PeerLink
{
public:
    /// `context` and `timeLine` must outlive the link. `life` must grow with each start of the
    /// process.
    PeerLink(boost::asio::io_context &context, const Settings &settings, std::uint64_t life,
             base::TimeLine &timeLine, PeerHooks hooks);
    /// Must run after `context` has stopped.
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Binds TCP and UDP to the peer address and joins the other instances through the seeds. Sets
    /// `error` if binding fails.
    void start(control::ControlSystem &system, control::ConfigurationControl &configuration,
               const net::Address &callerAddress, std::error_code &error);

    /// Returns the bound peer address. `start()` must have succeeded.
    net::Address address() const { return server_->localAddress(); }
    /// Returns the latest member table. Never returns null. `start()` must have succeeded.
    control::MemberSnapshotPtr members() const { return actor_->snapshot(); }

    /// Returns the configuration revision that `member` last reported, or 0 if there is none.
    std::uint64_t revisionOf(const std::string &member) const;

    /// Returns the counters of the UDP transport. `start()` must have succeeded.
    peers::TransportCounters counters() const { return transport_->counters(); }

    /// Sets the configuration revision that this instance reports to the others.
    void setRevision(std::uint64_t revision) { actor_->setRevision(revision); }

    /// Asks up to three peers for the configuration log entries after a revision, starting with the
    /// peer that last reported a newer revision. Returns the entries of the peer with the highest
    /// revision, or no entries if no peer returns any.
    std::vector<control::LogEntry> fetchEntries(control::RevisionNumber after,
                                                const boost::asio::yield_context &yield);

    /// Returns the time lines after a time, as JSON, of all members that are not dead and that
    /// answer.
    std::vector<std::string> fetchTimeLines(const std::string &after,
                                            const boost::asio::yield_context &yield);

    /// Tells the other instances to remove this one from the address lists.
    void leave() { actor_->leave(); }
    /// Tells the other instances that this one is about to exit.
    void exit() { actor_->exit(); }

private:
    void bind(control::ConfigurationControl &configuration, std::error_code &error);
    control::MemberActorOptions actorOptions(control::ConfigurationControl &configuration,
                                             const net::Address &callerAddress);
    void serveTimeLine(net::Exchange &exchange, const boost::asio::yield_context &yield);
    void sendTo(const std::string &address, const peers::Datagram &datagram);
    void receive(const net::Address &from, peers::Datagram datagram);
    void recordRevision(const membership::Packet &packet);
    void exchangeTable(const std::string &address);
    void exchangeLoads(const boost::asio::yield_context &yield);

    boost::asio::io_context &context_;
    const Settings settings_;
    const std::uint64_t life_;
    base::TimeLine &timeLine_;
    PeerHooks hooks_;
    net::HttpClient client_;
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<peers::UdpTransport> transport_;
    std::unique_ptr<control::MemberActor> actor_;
    peers::LoadExchange loads_;
    peers::HintExchange hints_;
    mutable std::mutex mutex_; ///< Guards `revisions_` and `lastUpdatedPeer_`.
    std::map<std::string, std::uint64_t> revisions_; ///< By member name.
    std::string lastUpdatedPeer_; ///< Address of the peer that last reported a newer revision.
};

} // namespace chervilfield::daemon
