#include "membership/entries.h"

#include "base/hash.h"

#include <algorithm>
#include <array>

namespace chervilfield::membership {

namespace {

struct Candidate
{
    const Member *member;
    std::uint64_t score;
};

enum Group { Own, Other, Suspected };

Group groupOf(const Member &member, std::string_view dataCentre)
{
    if (member.state == MemberState::Suspect)
        return Suspected;
    return member.dataCentre == dataCentre ? Own : Other;
}

} // namespace

std::vector<EntryAddress> entryAddresses(std::span<const Member> members,
                                         std::string_view dataCentre, std::uint64_t callerKey,
                                         const EntryAddressOptions &options)
{
    std::array<std::vector<Candidate>, 3> groups;
    for (const Member &member : members) {
        if (canTakeWork(member))
            groups[groupOf(member, dataCentre)].push_back(
                    { &member, base::combineHash(callerKey, base::hash64(member.name)) });
    }
    for (auto &group : groups)
        std::ranges::sort(group, std::ranges::greater(), &Candidate::score);

    const std::size_t reserved =
            std::min({ options.reservedRemoteEntries, groups[Other].size(), options.maxEntries });
    if (groups[Own].size() > options.maxEntries - reserved)
        groups[Own].resize(options.maxEntries - reserved);

    std::vector<EntryAddress> entries;
    for (const auto &group : groups) {
        for (const Candidate &candidate : group) {
            if (entries.size() < options.maxEntries)
                entries.push_back(
                        { candidate.member->callerAddress, candidate.member->dataCentre });
        }
    }
    return entries;
}

} // namespace chervilfield::membership
