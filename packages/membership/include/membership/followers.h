#pragma once

#include "membership/member.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace chervilfield::membership {

/// FollowedTarget is a target that needs followers.
struct FollowedTarget
{
    std::string name;
    std::string dataCentre;
};

/// FollowerOptions controls the assignment of followers.
struct FollowerOptions
{
    std::size_t followersPerTarget = 2;
    /// Upper bound of the targets of one daemon, relative to an even distribution. At 1.25 few
    /// targets lose their first choice and no daemon follows many more targets than the mean.
    double maxLoadFactor = 1.25;
};

/// FollowerAssignment lists the followers of one target. The first one is the target's aggregation
/// point: it sums the load that the other daemons report for the target.
struct FollowerAssignment
{
    std::string target;
    std::vector<std::string> members;
};

/// Assigns daemons to targets by rendezvous hashing with bounded load. The result is a pure
/// function of the arguments, so daemons with the same member table agree without messages. A
/// follower reads the target's cache events. Members of the target's data centre are preferred,
/// because links between data centres are slow and expensive. Returns one assignment per target,
/// sorted by target name. An assignment has fewer followers than requested if fewer members can
/// take work.
std::vector<FollowerAssignment> assignFollowers(std::span<const Member> members,
                                                std::span<const FollowedTarget> targets,
                                                const FollowerOptions &options = {});

/// Returns the names of the targets that `member` follows.
std::vector<std::string> targetsFollowedBy(std::span<const FollowerAssignment> assignments,
                                           const std::string &member);

} // namespace chervilfield::membership
