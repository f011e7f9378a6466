#include "membership/member.h"

#include "base/hash.h"

#include <tuple>

namespace chervilfield::membership {

bool supersedes(const Member &update, const Member &current)
{
    return std::tie(update.life, update.incarnation, update.state)
           > std::tie(current.life, current.incarnation, current.state);
}

std::uint64_t recordHash(const Member &member)
{
    const std::uint64_t version =
            base::combineHash(member.life, (std::uint64_t{ member.incarnation } << 8U)
                                                   | static_cast<std::uint8_t>(member.state));
    return base::hash64(member.name, version);
}

} // namespace chervilfield::membership
