#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::membership {

/// MemberState is the state of a member as the daemons know it. The order of the values is the
/// precedence of claims with equal life and incarnation.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer a probe; still receives work.
    Leaving, ///< Shutting down: finishes its streams, receives no new work or callers.
    Dead,
};

/// Member is the record of one daemon. The name identifies the daemon; `life` and `incarnation`
/// order the claims about it.
struct Member
{
    std::string name = {};
    std::string peerAddress = {};   ///< Numeric "ip:port" for UDP and TCP between daemons.
    std::string callerAddress = {}; ///< Numeric "ip:port" that callers connect to.
    std::string dataCentre = {};
    std::uint64_t life = 0;        ///< Increases with each start of the process.
    std::uint32_t incarnation = 0; ///< Incremented only by the member itself, to refute a claim.
    MemberState state = MemberState::Alive;
    std::uint32_t linkMbps = 0; ///< Bandwidth of its network link in Mbit/s; 0 if unknown.

    bool operator==(const Member &) const = default;
};

/// MemberUpdate is a claim about a member, as daemons disseminate it.
struct MemberUpdate
{
    Member member;
    std::string accuser; ///< Name of the daemon whose probe failed; empty unless suspect.

    bool operator==(const MemberUpdate &) const = default;
};

/// Returns true if and only if `update` replaces `current`. The order by life, incarnation and
/// state is total, so all daemons that have seen the same claims hold the same record.
bool supersedes(const Member &update, const Member &current);

/// Returns true if and only if the member may be assigned callers, engines to follow or load
/// reports.
inline bool canTakeWork(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

/// Returns a hash of the member's record. The XOR of the hashes of a table identifies its content.
std::uint64_t recordHash(const Member &member);

} // namespace chervilfield::membership
