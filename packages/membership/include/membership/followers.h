#pragma once

#include "membership/member.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace chervilfield::membership {

struct FollowedTarget
{
    std::string name;
    std::string dataCentre;
};

struct FollowerOptions
{
    std::size_t followersPerTarget = 2;
    /// Most targets of one daemon, relative to an even distribution. At 1.25 few targets lose
    /// their first choice and no daemon carries much more than the mean.
    double maxLoadFactor = 1.25;
};

/// Followers of one target. The first is its meeting point: it collects the load that other daemons
/// report for the target.
struct FollowerAssignment
{
    std::string target;
    std::vector<std::string> members;
};

/// Assigns daemons to targets by rendezvous hashing with bounded load, a pure function of the
/// member table: daemons with the same table agree without messages. A follower reads the target's
/// cache events. Members of the target's
/// data centre are preferred, because links between data centres are slow and expensive. Returns
/// one assignment per target, sorted by target name; fewer followers than asked for if there are
/// fewer members that take work.
std::vector<FollowerAssignment> assignFollowers(std::span<const Member> members,
                                                std::span<const FollowedTarget> targets,
                                                const FollowerOptions &options = {});

/// Returns the names of the targets that `member` follows.
std::vector<std::string> targetsFollowedBy(std::span<const FollowerAssignment> assignments,
                                           const std::string &member);

} // namespace chervilfield::membership
