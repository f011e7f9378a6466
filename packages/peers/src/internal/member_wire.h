#pragma once

#include "membership/member.h"

#include <peers_types.h>

#include <optional>

namespace chervilfield::peers::internal {

wire::Member toWire(const membership::MemberUpdate &update);

/// Returns no value if a string is too long, the name is empty or the state is unknown.
std::optional<membership::MemberUpdate> fromWire(const wire::Member &member);

/// Returns true if and only if a name or address has a permitted length.
bool isPermitted(const std::string &text);

} // namespace chervilfield::peers::internal
