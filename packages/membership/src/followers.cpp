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
    std::size_t assignedTargets = 0;
    std::size_t aggregatedTargets = 0; ///< Targets whose aggregation point it is.
};

struct Group
{
    std::vector<Candidate *> candidates;
    std::size_t targetCount = 0;
    std::size_t maxTargets = 0;
};

std::size_t maxTargetsPerMember(const Group &group, const FollowerOptions &options)
{
    const double mean = static_cast<double>(group.targetCount * options.followersPerTarget)
                        / static_cast<double>(std::max<std::size_t>(group.candidates.size(), 1));
    return static_cast<std::size_t>(std::ceil(mean * options.maxLoadFactor));
}

// Moves the aggregation point to the front: preferably a follower that is not suspect, then the one
// that aggregates the fewest targets. Aggregating costs more than following, and choosing by score
// alone would give some members three times the mean.
void chooseAggregationPoint(FollowerAssignment &assignment, std::span<Candidate *> followers)
{
    const auto best = std::ranges::min_element(followers, {}, [](const Candidate *candidate) {
        return std::pair(candidate->member->state, candidate->aggregatedTargets);
    });
    if (best == followers.end())
        return;
    ++(*best)->aggregatedTargets;
    std::swap(assignment.members.front(),
              assignment.members[static_cast<std::size_t>(best - followers.begin())]);
}

// Assigns the target to the members with the highest scores among those below the limit.
void assignTarget(FollowerAssignment &assignment, const Group &group,
                  const FollowerOptions &options)
{
    const std::uint64_t targetHash = base::hash64(assignment.target);
    std::vector<std::pair<std::uint64_t, Candidate *>> ranked;
    ranked.reserve(group.candidates.size());
    for (Candidate *candidate : group.candidates)
        ranked.emplace_back(base::combineHash(targetHash, candidate->nameHash), candidate);
    std::ranges::sort(ranked, [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<Candidate *> followers;
    const auto takeCandidates = [&](bool respectLimit) {
        for (const auto &[score, candidate] : ranked) {
            const std::string &name = candidate->member->name;
            if (assignment.members.size() == options.followersPerTarget)
                return;
            if ((respectLimit && candidate->assignedTargets >= group.maxTargets)
                || std::ranges::find(assignment.members, name) != assignment.members.end())
                continue;
            ++candidate->assignedTargets;
            followers.push_back(candidate);
            assignment.members.push_back(name);
        }
    };
    takeCandidates(true);
    // Towards the end of the list, too few members may be below the limit.
    takeCandidates(false);
    chooseAggregationPoint(assignment, followers);
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
    Group allMembers;
    for (Candidate &candidate : candidates) {
        groups[candidate.member->dataCentre].candidates.push_back(&candidate);
        allMembers.candidates.push_back(&candidate);
    }
    const auto groupOf = [&](const FollowedTarget &target) -> Group & {
        const auto found = groups.find(target.dataCentre);
        const bool enough = found != groups.end()
                            && found->second.candidates.size() >= options.followersPerTarget;
        return enough ? found->second : allMembers;
    };

    std::vector<const FollowedTarget *> sorted;
    for (const FollowedTarget &target : targets) {
        sorted.push_back(&target);
        ++groupOf(target).targetCount;
    }
    std::ranges::sort(sorted, {}, &FollowedTarget::name);
    allMembers.targetCount = targets.size();
    allMembers.maxTargets = maxTargetsPerMember(allMembers, options);
    for (auto &[name, group] : groups)
        group.maxTargets = maxTargetsPerMember(group, options);

    std::vector<FollowerAssignment> assignments;
    for (const FollowedTarget *target : sorted) {
        assignments.push_back({ target->name, {} });
        assignTarget(assignments.back(), groupOf(*target), options);
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
