#pragma once

#include "internal/table.h"

namespace chervilfield::membership::internal {

/// Sends a packet with as many scheduled updates as fit. If this daemon believes that `target` is
/// suspect or dead, that claim goes first, so that the target can refute it.
void sendPacket(Context &context, const std::string &address, Body body, std::string_view target);

/// Returns up to `count` random members that satisfy `accept`.
std::vector<const MemberEntry *> pickMembers(const State &state, std::size_t count, Random &random,
                                             bool (*accept)(const Member &));

/// Sends scheduled updates to a few random members.
void gossip(Context &context);

/// Tries addresses where no live member is known: dead members and seeds.
void reconnect(Context &context);

} // namespace chervilfield::membership::internal
