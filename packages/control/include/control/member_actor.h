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

/// The member table at one moment.
struct MemberSnapshot
{
    membership::Member self;
    std::vector<membership::Member> members; ///< All known, with `self`, sorted by name.
    bool joined = false; ///< Whether any other daemon has answered since the start.
};

using MemberSnapshotPtr = std::shared_ptr<const MemberSnapshot>;

struct MemberActorOptions
{
    membership::Member self;
    membership::Options protocol;
    std::uint64_t randomSeed = 0;
    base::TimeLine *timeLine = nullptr; ///< Records each change of a member's state.

    // The functions below are called on the scheduler thread and must not block.

    /// Sends a datagram to a numeric "ip:port".
    std::function<void(const std::string &address, const membership::Packet &packet)> send;
    /// Exchanges tables with a peer; the answer is given to `receiveTable`.
    std::function<void(const std::string &address)> exchangeTable;
    std::function<void(const MemberSnapshotPtr &)> published;
    /// A peer has reported a higher configuration revision than `setRevision` was told.
    std::function<void(std::uint64_t revision, const std::string &address)> revisionSeen;
};

/// Owner of the member table of a daemon: an actor that runs the membership protocol and publishes
/// snapshots that any thread may read. Functions may be called from any thread and do not block.
class MemberActor
{
public:
    MemberActor(ControlSystem &system, MemberActorOptions options);
    /// Stops the actor. Messages that it has not handled are dropped; no function of the options is
    /// called afterwards, so it must not be destroyed from one of them.
    ~MemberActor();
    MemberActor(const MemberActor &) = delete;
    MemberActor &operator=(const MemberActor &) = delete;

    /// Returns the latest snapshot; never null.
    MemberSnapshotPtr snapshot() const;

    /// Handles a datagram. Datagrams are dropped while too many are waiting.
    void receive(std::string from, membership::Packet packet);
    void receiveTable(std::vector<membership::Member> members);

    /// Replaces the addresses where other daemons may answer.
    void setSeeds(std::vector<std::string> addresses);
    /// Tells which configuration revision is in force here.
    void setRevision(std::uint64_t revision);

    /// Spreads that this daemon takes no new work, or that it is about to exit.
    void leave();
    void exit();

private:
    struct State;

    void post(membership::Input input);

    std::shared_ptr<State> state_;
};

} // namespace chervilfield::control
