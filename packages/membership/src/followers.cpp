#include "membership/followers.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <utility>

namespace chervilfield::membership {

namespace {

struct Candidate
{
    const Member *member;
    std::uint64_t nameHash;
    std::size_t assigned = 0;
    std::size_t meetings = 0; ///< Targets of which it is the first follower.
};

struct Group
{
    std::vector<Candidate *> candidates;
    std::size_t targets = 0;
    std::size_t bound = 0;
};

std::size_t loadBound(const Group &group, const FollowerOptions &options)
{
    const double even = static_cast<double>(group.targets * options.followersPerTarget)
                        / static_cast<double>(std::max<std::size_t>(group.candidates.size(), 1));
    return static_cast<std::size_t>(std::ceil(even * options.maxLoadFactor));
}

// Moves the follower to the front that should collect the load: one that is not suspect, then the
// one that collects for the fewest targets. Collecting costs more than following, and the scores
// alone would give some members three times the mean.
void chooseMeetingPoint(FollowerAssignment &assignment, std::span<Candidate *> followers)
{
    const auto best = std::ranges::min_element(followers, {}, [](const Candidate *candidate) {
        return std::pair(candidate->member->state, candidate->meetings);
    });
    if (best == followers.end())
        return;
    ++(*best)->meetings;
    std::swap(assignment.members.front(),
              assignment.members[static_cast<std::size_t>(best - followers.begin())]);
}

// Gives the target to the members with the highest scores that are below the bound.
void assign(FollowerAssignment &assignment, const Group &group, const FollowerOptions &options)
{
    const std::uint64_t targetHash = base::hash64(assignment.target);
    std::vector<std::pair<std::uint64_t, Candidate *>> ranked;
    ranked.reserve(group.candidates.size());
    for (Candidate *candidate : group.candidates)
        ranked.emplace_back(base::combineHash(targetHash, candidate->nameHash), candidate);
    std::ranges::sort(ranked, [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<Candidate *> followers;
    const auto take = [&](bool respectBound) {
        for (const auto &[score, candidate] : ranked) {
            const std::string &name = candidate->member->name;
            if (assignment.members.size() == options.followersPerTarget)
                return;
            if ((respectBound && candidate->assigned >= group.bound)
                || std::ranges::find(assignment.members, name) != assignment.members.end())
                continue;
            ++candidate->assigned;
            followers.push_back(candidate);
            assignment.members.push_back(name);
        }
    };
    take(true);
    // Near the end of the list too few members may be below the bound.
    take(false);
    chooseMeetingPoint(assignment, followers);
}

} // namespace

std::vector<FollowerAssignment> assignFollowers(std::span<const Member> members,
                                                std::span<const FollowedTarget> targets,
                                                const FollowerOptions &options)
{
    std::vector<Candidate> candidates;
    for (const Member &member : members) {
        if (canTakeWork(member))
            candidates.push_back({ &member, base::hash64(member.name) });
    }
    std::map<std::string, Group> groups;
    Group everywhere;
    for (Candidate &candidate : candidates) {
        groups[candidate.member->dataCentre].candidates.push_back(&candidate);
        everywhere.candidates.push_back(&candidate);
    }
    const auto groupOf = [&](const FollowedTarget &target) -> Group & {
        const auto found = groups.find(target.dataCentre);
        const bool enough = found != groups.end()
                            && found->second.candidates.size() >= options.followersPerTarget;
        return enough ? found->second : everywhere;
    };

    std::vector<const FollowedTarget *> sorted;
    for (const FollowedTarget &target : targets) {
        sorted.push_back(&target);
        ++groupOf(target).targets;
    }
    std::ranges::sort(sorted, {}, &FollowedTarget::name);
    everywhere.targets = targets.size();
    everywhere.bound = loadBound(everywhere, options);
    for (auto &[name, group] : groups)
        group.bound = loadBound(group, options);

    std::vector<FollowerAssignment> assignments;
    for (const FollowedTarget *target : sorted) {
        assignments.push_back({ target->name, {} });
        assign(assignments.back(), groupOf(*target), options);
    }
    return assignments;
}

std::vector<std::string> targetsFollowedBy(std::span<const FollowerAssignment> assignments,
                                           const std::string &member)
{
    std::vector<std::string> targets;
    for (const FollowerAssignment &assignment : assignments) {
        if (std::ranges::find(assignment.members, member) != assignment.members.end())
            targets.push_back(assignment.target);
    }
    return targets;
}

} // namespace chervilfield::membership
