#pragma once

#include "membership/member.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace chervilfield::membership {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Random = std::mt19937_64;

/// Constants of the protocol. The defaults are for 2 to 360 daemons in several regions.
struct Options
{
    Duration protocolPeriod = std::chrono::seconds(1);      ///< One member is probed per period.
    Duration probeTimeout = std::chrono::milliseconds(400); ///< Then indirect pings are sent.
    Duration gossipInterval = std::chrono::milliseconds(200);
    Duration reconnectInterval = std::chrono::seconds(5);   ///< Between pings to dead addresses.
    Duration joinInterval = std::chrono::milliseconds(500); ///< The same, before the first contact.
    Duration syncInterval = std::chrono::seconds(10);       ///< Least time between table exchanges.
    Duration settleTime = std::chrono::seconds(3);  ///< Gossip may still repair the difference.
    Duration deadRetention = std::chrono::hours(2); ///< Longer than a region stays out of contact.
    /// A timer that fires later than this shows that this process was stopped or starved.
    Duration freezeThreshold = std::chrono::milliseconds(250);
    std::size_t maxIndirectProbes = 3;
    std::size_t gossipFanout = 2;
    std::size_t joinFanout = 3;
    unsigned retransmitFactor = 4;  ///< Transmissions of an update per decimal digit of members.
    unsigned suspicionFactor = 3;   ///< Least suspicion, in periods per decimal digit of members.
    unsigned maxSuspicionRatio = 4; ///< Suspicion without confirmations, relative to the least.
    unsigned maxConfirmations = 3;  ///< Accusers that bring the suspicion down to the least.
    unsigned maxHealthScore = 8;    ///< As in Lifeguard.
    /// Below this score a probe during which no datagram arrived at all proves nothing.
    unsigned silentProbeScoreLimit = 4;
    std::size_t maxMembers = 1024;
    std::size_t maxRelayedPings = 64;
    std::size_t maxPacketBytes = 1150; ///< Of an encoded packet.
};

/// Returns the options for a protocol period, with the other intervals in the default
/// proportion. With less than 500 ms, members of distant regions answer too late and are probed
/// indirectly.
Options optionsFor(Duration protocolPeriod);

struct Ping
{
    std::uint32_t sequence = 0;
    std::string target; ///< Name expected at the address; empty if unknown.
    bool operator==(const Ping &) const = default;
};

struct Ack
{
    std::uint32_t sequence = 0;
    bool operator==(const Ack &) const = default;
};

/// Sent by the relay of an indirect ping whose target has not answered. It shows the requester
/// that its own network and process work.
struct Nack
{
    std::uint32_t sequence = 0;
    bool operator==(const Nack &) const = default;
};

struct IndirectPing
{
    std::uint32_t sequence = 0;
    std::string target;
    std::string address;
    bool operator==(const IndirectPing &) const = default;
};

using Body = std::variant<std::monostate, Ping, Ack, Nack, IndirectPing>;

/// Content of one membership datagram.
struct Packet
{
    Member sender;
    Body body;
    std::vector<MemberUpdate> updates;
    std::uint64_t tableHash = 0;
    std::uint64_t configurationRevision = 0; ///< Revision in force at the sender.
    bool operator==(const Packet &) const = default;
};

struct Tick
{
};

struct PacketReceived
{
    std::string from; ///< Numeric "ip:port".
    Packet packet;
};

/// Records from a table exchange over TCP.
struct TableReceived
{
    std::vector<Member> members;
};

/// Peer addresses from the settings and from the platform's instance list. They are only hints of
/// where a daemon may answer: the list lags, so it neither adds nor removes members.
struct SeedsChanged
{
    std::vector<std::string> addresses;
};

struct RevisionChanged
{
    std::uint64_t revision = 0;
};

/// This daemon stops taking new work.
struct Leave
{
};

/// This daemon is about to exit.
struct Exit
{
};

using Input = std::variant<Tick, PacketReceived, TableReceived, SeedsChanged, RevisionChanged,
                           Leave, Exit>;

struct SendPacket
{
    std::string address;
    Packet packet;
};

/// Asks for a table exchange over TCP; the answer comes back as `TableReceived`.
struct ExchangeTable
{
    std::string address;
};

struct MemberChanged
{
    Member member;
    std::optional<MemberState> previous; ///< Empty for a new member.
};

/// A peer has a newer configuration in force than this daemon.
struct NewerRevision
{
    std::uint64_t revision = 0;
    std::string address;
};

/// Another process with a later life holds this daemon's name at a different address.
struct NameConflict
{
    Member other;
};

using Output = std::variant<SendPacket, ExchangeTable, MemberChanged, NewerRevision, NameConflict>;

struct Suspicion
{
    TimePoint start;
    std::vector<std::string> accusers;
};

/// A member other than this daemon.
struct MemberEntry
{
    Member member;
    TimePoint since; ///< When the state was learned.
    /// Set for a suspect, and privately for a leaving member that does not answer.
    std::optional<Suspicion> suspicion;
};

struct Probe
{
    std::uint32_t sequence = 0;
    std::string target;
    TimePoint sent;
    TimePoint indirectAt;
    std::size_t relaysAsked = 0;
    std::size_t nacks = 0;
    bool indirectSent = false;
    bool answered = false;
};

/// An indirect ping that this daemon performs for another.
struct RelayedPing
{
    std::uint32_t sequence = 0;          ///< Of the ping to the target.
    std::uint32_t requesterSequence = 0; ///< Of the requester's probe.
    std::string requesterAddress;
    TimePoint nackAt;
};

struct PendingUpdate
{
    std::string name;
    unsigned transmissions = 0;
};

/// State of the protocol in one daemon. Made by `start` and changed only by `step`.
struct State
{
    Options options;
    Member self;
    std::map<std::string, MemberEntry, std::less<>> members;
    std::vector<std::string> seeds;
    std::vector<std::string> probeOrder;
    std::optional<Probe> probe;
    std::vector<RelayedPing> relayedPings;
    std::vector<PendingUpdate> pending;
    std::uint32_t nextSequence = 1;
    unsigned healthScore = 0; ///< Lifeguard's local health; 0 is healthy.
    std::uint64_t tableHash = 0;
    std::uint64_t configurationRevision = 0;
    bool joined = false; ///< Whether any other daemon has answered.
    TimePoint nextPeriod;
    TimePoint nextGossip;
    TimePoint nextReconnect;
    TimePoint lastReceived;
    TimePoint lastChange;
    TimePoint lastSync;
    TimePoint expectedWake;
};

/// Returns the state of a daemon that knows no other yet.
State start(Member self, const Options &options, TimePoint now, Random &random);

/// Performs one step of SWIM (Das et al. 2002) with the extensions of Lifeguard (Dadgar et al.
/// 2018). The caller carries out the outputs and calls again with `Tick` at `nextWake`.
std::vector<Output> step(State &state, const Input &input, TimePoint now, Random &random);

/// Returns when `step` must be called with `Tick`.
TimePoint nextWake(const State &state);

/// Returns the records of all members including this daemon, sorted by name; the answer to a table
/// exchange.
std::vector<Member> table(const State &state);

/// Returns an upper bound of the encoded size of an update, in bytes.
std::size_t maxEncodedBytes(const MemberUpdate &update);

} // namespace chervilfield::membership
