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

/// Point in time of the caller's monotonic clock; the protocol never reads a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/// Random number generator; the caller owns and seeds it.
using Random = std::mt19937_64;

/// Options are the parameters of the protocol. The defaults are for 2 to 360 daemons in several
/// regions.
struct Options
{
    Duration protocolPeriod = std::chrono::seconds(1);      ///< One member is probed per period.
    Duration probeTimeout = std::chrono::milliseconds(400); ///< After it, indirect pings are sent.
    Duration gossipInterval = std::chrono::milliseconds(200);
    /// Mean time between pings to addresses without a live member.
    Duration reconnectInterval = std::chrono::seconds(5);
    /// Replaces `reconnectInterval` until a peer answers.
    Duration joinInterval = std::chrono::milliseconds(500);
    /// Minimum time between table exchanges.
    Duration syncInterval = std::chrono::seconds(10);
    /// Time without a change after which differing tables are exchanged. Gossip needs this time to
    /// remove a difference.
    Duration settleTime = std::chrono::seconds(3);
    /// Time for which a dead member is kept and pinged; exceeds the outages of a region.
    Duration deadRetention = std::chrono::hours(2);
    /// A timer that fires later by more than this shows that this process was stopped or starved.
    Duration freezeThreshold = std::chrono::milliseconds(250);
    std::size_t maxIndirectProbes = 3; ///< Members asked to ping a target that did not answer.
    std::size_t gossipFanout = 2;      ///< Members that receive each round of gossip.
    std::size_t joinFanout = 3;        ///< Addresses pinged at once until a peer answers.
    unsigned retransmitFactor = 4;     ///< Transmissions of an update per decimal digit of members.
    unsigned suspicionFactor = 3;   ///< Minimum suspicion, in periods per decimal digit of members.
    unsigned maxSuspicionRatio = 4; ///< Suspicion without confirmations, relative to the minimum.
    unsigned maxConfirmations = 3;  ///< Confirmations that reduce the suspicion to the minimum.
    unsigned maxHealthScore = 8;    ///< As in Lifeguard.
    /// Below this score, a probe during which no datagram arrived at all is inconclusive.
    unsigned silentProbeScoreLimit = 4;
    std::size_t maxMembers = 1024;     ///< Bounds the other members, and the seeds, of a daemon.
    std::size_t maxRelayedPings = 64;  ///< Further indirect pings are ignored.
    std::size_t maxPacketBytes = 1150; ///< Limit for an encoded packet.
};

/// Returns the options for a protocol period. The probe timeout, the gossip, reconnect and sync
/// intervals and the settle time have the default proportion to it. With a period below 500 ms,
/// members of distant regions answer too late and are probed indirectly.
Options optionsFor(Duration protocolPeriod);

/// Ping asks the daemon at an address for an acknowledgement.
struct Ping
{
    std::uint32_t sequence = 0;
    std::string target; ///< Name expected at the address; empty if unknown.
    bool operator==(const Ping &) const = default;
};

/// Ack answers a ping.
struct Ack
{
    std::uint32_t sequence = 0;
    bool operator==(const Ack &) const = default;
};

/// Nack is sent by the member that relays an indirect ping whose target has not answered. It shows
/// the requester that the requester's own network and process work.
struct Nack
{
    std::uint32_t sequence = 0;
    bool operator==(const Nack &) const = default;
};

/// IndirectPing asks the receiver to ping `target` at `address` for the sender.
struct IndirectPing
{
    std::uint32_t sequence = 0;
    std::string target;
    std::string address;
    bool operator==(const IndirectPing &) const = default;
};

/// Body is what a packet carries besides updates; `std::monostate` means nothing.
using Body = std::variant<std::monostate, Ping, Ack, Nack, IndirectPing>;

/// Packet is the content of one membership datagram.
struct Packet
{
    Member sender;
    Body body;
    std::vector<MemberUpdate> updates;
    std::uint64_t tableHash = 0;             ///< `State::tableHash` of the sender.
    std::uint64_t configurationRevision = 0; ///< Revision in force at the sender.
    std::uint64_t storeEra = 0;              ///< Era of the store that the revision belongs to.
    bool operator==(const Packet &) const = default;
};

/// Tick is sent when the time of `nextWake` has come.
struct Tick
{
};

/// PacketReceived carries a datagram from another daemon.
struct PacketReceived
{
    std::string from; ///< Numeric "ip:port".
    Packet packet;
};

/// TableReceived carries the records from a table exchange over TCP.
struct TableReceived
{
    std::vector<Member> members;
};

/// SeedsChanged carries peer addresses from the settings and from the platform's instance list.
/// They are only hints where a daemon may answer: the list may be out of date, so it neither adds
/// nor removes members.
struct SeedsChanged
{
    std::vector<std::string> addresses;
};

/// RevisionChanged reports the configuration revision that is in force at this daemon.
struct RevisionChanged
{
    std::uint64_t revision = 0;
    std::uint64_t storeEra = 0; ///< Era of the store that the revision belongs to.
};

/// Leave announces that this daemon accepts no new work.
struct Leave
{
};

/// Exit announces that this daemon is about to exit.
struct Exit
{
};

/// Input is an event that `step` handles.
using Input = std::variant<Tick, PacketReceived, TableReceived, SeedsChanged, RevisionChanged,
                           Leave, Exit>;

/// SendPacket asks the caller to send a datagram.
struct SendPacket
{
    std::string address;
    Packet packet;
};

/// ExchangeTable asks for a table exchange over TCP. The answer comes back as `TableReceived`.
struct ExchangeTable
{
    std::string address;
};

/// MemberChanged reports a new record of another member.
struct MemberChanged
{
    Member member;
    std::optional<MemberState> previous; ///< Empty for a new member.
};

/// NewerRevision reports that a peer has a newer configuration in force than this daemon, in the
/// same era of the store.
struct NewerRevision
{
    std::uint64_t revision = 0;
    std::string address;
};

/// NewerEra reports that a peer knows a later era of the store than this daemon.
struct NewerEra
{
    std::uint64_t storeEra = 0;
};

/// NameConflict reports that another process with a later life uses this daemon's name at a
/// different address.
struct NameConflict
{
    Member other;
};

/// Output is an action or a report for the caller of `step`.
using Output = std::variant<SendPacket, ExchangeTable, MemberChanged, NewerRevision, NewerEra,
                            NameConflict>;

/// Suspicion records since when a member is suspect and which daemons have reported it.
struct Suspicion
{
    TimePoint start;
    std::vector<std::string> accusers;
};

/// MemberEntry is the local state of a member other than this daemon.
struct MemberEntry
{
    Member member;
    TimePoint since; ///< Time at which the state was received.
    /// Set for a suspect. It is also set, without being disseminated, for a leaving member that
    /// does not answer.
    std::optional<Suspicion> suspicion;
};

/// Probe is the probe of the current protocol period.
struct Probe
{
    std::uint32_t sequence = 0;
    std::string target;
    TimePoint sentAt;
    TimePoint indirectAt;
    std::size_t relaysAsked = 0;
    std::size_t nacks = 0;
    bool isIndirectSent = false;
    bool isAnswered = false;
};

/// RelayedPing is an indirect ping that this daemon performs for another one.
struct RelayedPing
{
    std::uint32_t sequence = 0;          ///< Sequence number of the ping to the target.
    std::uint32_t requesterSequence = 0; ///< Sequence number of the requester's probe.
    std::string requesterAddress;
    TimePoint nackAt;
};

/// PendingUpdate is a member record scheduled to be sent with the next datagrams.
struct PendingUpdate
{
    std::string name;
    unsigned transmissions = 0;
};

/// State is the state of the protocol in one daemon. It is created by `start` and changed only by
/// `step`.
struct State
{
    Options options;
    Member self;
    std::map<std::string, MemberEntry, std::less<>> members;
    std::vector<std::string> seeds;
    std::vector<std::string> probeOrder;
    std::optional<Probe> probe;
    std::vector<RelayedPing> relayedPings;
    std::vector<PendingUpdate> pendingUpdates;
    std::uint32_t nextSequence = 1;
    unsigned healthScore = 0; ///< Local health of Lifeguard; 0 is healthy.
    /// XOR of the record hashes of this daemon and of all members that are not dead.
    std::uint64_t tableHash = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t storeEra = 0; ///< Era of the store that the revision belongs to.
    bool joined = false;        ///< Whether any other daemon has answered.
    TimePoint nextPeriod;
    TimePoint nextGossip;
    TimePoint nextReconnect;
    TimePoint lastReceived; ///< Time of the last packet from another daemon.
    TimePoint lastChange;   ///< Time of the last change of the table.
    TimePoint lastSync;     ///< Time of the last request for a table exchange.
    TimePoint expectedWake; ///< Time of the next step at the latest; see `freezeThreshold`.
};

/// Returns the initial state of a daemon that does not know any other daemon.
State start(Member self, const Options &options, TimePoint now, Random &random);

/// Performs one step of SWIM (Das et al. 2002) with the extensions of Lifeguard (Dadgar et al.
/// 2018). The caller performs the outputs and calls again with `Tick` at `nextWake`.
std::vector<Output> step(State &state, const Input &input, TimePoint now, Random &random);

/// Returns the time at which `step` must be called with `Tick`.
TimePoint nextWake(const State &state);

/// Returns the records of all members including this daemon, sorted by name. This is the answer to
/// a table exchange.
std::vector<Member> table(const State &state);

/// Returns an upper bound of the encoded size of an update, in bytes.
std::size_t maxEncodedBytes(const MemberUpdate &update);

} // namespace chervilfield::membership
