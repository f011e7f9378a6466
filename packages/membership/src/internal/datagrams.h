#pragma once

#include "internal/table.h"

namespace chervilfield::membership::internal {

/// Sends a packet with as many scheduled updates as fit. If this daemon considers `target` suspect
/// or dead, that claim comes first, so that the target can refute it.
void sendPacket(Context &context, const std::string &address, Body body, std::string_view target);

/// Returns up to `count` random members that satisfy `accept`.
std::vector<const MemberEntry *> pickRandomMembers(const State &state, std::size_t count,
                                                   Random &random, bool (*accept)(const Member &));

/// Sends scheduled updates to a few random members.
void gossip(Context &context);

/// Pings addresses without a known live member: those of dead members and seeds.
void reconnect(Context &context);

} // namespace chervilfield::membership::internal
