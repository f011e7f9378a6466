#include "internal/member_wire.h"

#include <algorithm>

namespace chervilfield::peers::internal {

namespace {

constexpr std::size_t kMaxTextBytes = 96;

} // namespace

bool hasPermittedLength(const std::string &text)
{
    return text.size() <= kMaxTextBytes;
}

wire::Member toWire(const membership::MemberUpdate &update)
{
    const membership::Member &member = update.member;
    wire::Member result;
    result.name = member.name;
    result.peerAddress = member.peerAddress;
    result.callerAddress = member.callerAddress;
    result.dataCentre = member.dataCentre;
    result.life = static_cast<std::int64_t>(member.life);
    result.incarnation = static_cast<std::int32_t>(member.incarnation);
    result.state = static_cast<std::int8_t>(member.state);
    if (member.linkMbps > 0)
        result.__set_linkMbps(static_cast<std::int32_t>(member.linkMbps));
    if (!update.accuser.empty())
        result.__set_accuser(update.accuser);
    return result;
}

std::optional<membership::MemberUpdate> fromWire(const wire::Member &member)
{
    if (member.name.empty() || member.state < 0
        || member.state > static_cast<std::int8_t>(membership::MemberState::Dead))
        return std::nullopt;
    for (const std::string *text : { &member.name, &member.peerAddress, &member.callerAddress,
                                     &member.dataCentre, &member.accuser }) {
        if (!hasPermittedLength(*text))
            return std::nullopt;
    }
    membership::MemberUpdate update;
    update.member = { .name = member.name,
                      .peerAddress = member.peerAddress,
                      .callerAddress = member.callerAddress,
                      .dataCentre = member.dataCentre,
                      .life = static_cast<std::uint64_t>(member.life),
                      .incarnation = static_cast<std::uint32_t>(member.incarnation),
                      .state = static_cast<membership::MemberState>(member.state),
                      .linkMbps = static_cast<std::uint32_t>(std::max(member.linkMbps, 0)) };
    update.accuser = member.accuser;
    return update;
}

} // namespace chervilfield::peers::internal
