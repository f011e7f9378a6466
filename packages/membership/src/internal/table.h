#pragma once

#include "membership/protocol.h"

namespace chervilfield::membership::internal {

/// Context holds the state, inputs and outputs of one protocol step.
struct Context
{
    State &state;
    TimePoint now;
    Random &random;
    std::vector<Output> outputs;
};

/// Applies a claim from a datagram.
void applyUpdate(Context &context, const MemberUpdate &update);

/// Applies a record of a table exchange. A table may hold outdated claims from a partition, so a
/// member that is dead in it becomes a suspect first and can refute the claim.
void applyTableRecord(Context &context, const Member &record);

/// Applies the claim that a known member is suspect.
void applySuspicion(Context &context, MemberEntry &entry, const MemberUpdate &update);

/// Records that the member did not answer this daemon's probe.
void recordUnansweredProbe(Context &context, MemberEntry &entry);

/// Declares members dead whose suspicion has expired, and removes members that have been dead for
/// `deadRetention`.
void expireMembers(Context &context);

/// Updates the state and incarnation of this daemon's own record and schedules it to be sent.
void announceSelf(Context &context, MemberState state, std::uint32_t incarnation);

/// Schedules the record of `name` to be sent with the next datagrams.
void scheduleUpdate(State &state, const std::string &name);

/// Returns the time at which the suspicion expires; more accusers bring it forward.
TimePoint suspicionEnd(const State &state, const Suspicion &suspicion);

/// Returns the number of members that are not dead, including this daemon.
std::size_t liveMemberCount(const State &state);

} // namespace chervilfield::membership::internal
