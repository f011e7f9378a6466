#pragma once

#include "base/time_line.h"
#include "control/control_system.h"
#include "membership/protocol.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chervilfield::control {

/// Immutable snapshot of the member table.
struct MemberSnapshot
{
    membership::Member self;
    std::vector<membership::Member> members; ///< All known members including `self`, by name.
    bool joined = false; ///< True if any other daemon has answered since the start.
};

using MemberSnapshotPtr = std::shared_ptr<const MemberSnapshot>;

/// Options of `MemberActor`. The functions are called on the scheduler thread and must not block.
struct MemberActorOptions
{
    membership::Member self;
    membership::Options protocol;
    std::uint64_t randomSeed = 0;
    /// Records each change of the state of a member. Not owned; may be null.
    base::TimeLine *timeLine = nullptr;

    /// Sends a datagram to a numeric "ip:port" address.
    std::function<void(const std::string &address, const membership::Packet &packet)> send;
    /// Exchanges member tables with a peer. The table of the peer is to be passed to
    /// `MemberActor::receiveTable`.
    std::function<void(const std::string &address)> exchangeTable;
    /// Called after each change with the new snapshot.
    std::function<void(const MemberSnapshotPtr &)> published;
    /// Called when a peer reports a higher configuration revision than the one last passed to
    /// `MemberActor::setRevision`.
    std::function<void(std::uint64_t revision, const std::string &address)> revisionSeen;
    /// Called when a peer reports a later era of the store than the one last passed to
    /// `MemberActor::setRevision`.
    std::function<void(std::uint64_t storeEra)> storeEraSeen{};
};

/// Actor that owns the member table of a daemon, runs the membership protocol and publishes
/// snapshots of the table. Functions may be called from any thread and do not block.
class MemberActor
{
public:
    MemberActor(ControlSystem &system, MemberActorOptions options);
    /// Stops the actor. Queued messages are dropped, and the functions of the options are not
    /// called afterwards. Must not be called from one of these functions.
    ~MemberActor();
    MemberActor(const MemberActor &) = delete;
    MemberActor &operator=(const MemberActor &) = delete;

    /// Returns the latest snapshot; never null.
    MemberSnapshotPtr snapshot() const;

    /// Passes a datagram from the numeric "ip:port" address `from` to the protocol. Drops it if too
    /// many are queued.
    void receive(std::string from, membership::Packet packet);
    /// Passes the member table of a peer to the protocol.
    void receiveTable(std::vector<membership::Member> members);

    /// Replaces the addresses that the protocol contacts to join the other daemons.
    void setSeeds(std::vector<std::string> addresses);
    /// Sets the configuration revision in force, in an era of the store, which the protocol
    /// announces to peers.
    void setRevision(std::uint64_t revision, std::uint64_t storeEra = 0);

    /// Announces that this daemon takes no new work.
    void leave();
    /// Announces that this daemon is about to exit.
    void exit();

private:
    struct State;

    void post(membership::Input input);

    std::shared_ptr<State> state_;
};

} // namespace chervilfield::control
