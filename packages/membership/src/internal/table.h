#pragma once

#include "membership/protocol.h"

namespace chervilfield::membership::internal {

/// What one step works on.
struct Context
{
    State &state;
    TimePoint now;
    Random &random;
    std::vector<Output> outputs;
};

/// Applies a claim from a datagram.
void applyUpdate(Context &context, const MemberUpdate &update);

/// Applies a record of a table exchange. A table may hold old news of a partition, so a member that
/// it calls dead becomes a suspect first and can refute.
void applyTableRecord(Context &context, const Member &record);

/// Applies the claim that a known member is suspect.
void suspect(Context &context, MemberEntry &entry, const MemberUpdate &update);

/// Records that the member did not answer this daemon's probe.
void suspectUnanswered(Context &context, MemberEntry &entry);

/// Declares members dead whose suspicion has lasted long enough, and forgets those long dead.
void expireMembers(Context &context);

/// Replaces this daemon's own record with a higher incarnation in the given state and spreads it.
void announceSelf(Context &context, MemberState state, std::uint32_t incarnation);

/// Schedules the record of `name` to be sent with the next datagrams.
void spread(State &state, const std::string &name);

/// Returns when the suspicion ends, given its accusers.
TimePoint suspicionEnd(const State &state, const Suspicion &suspicion);

/// Returns the number of members that are not dead, including this daemon.
std::size_t liveCount(const State &state);

} // namespace chervilfield::membership::internal
