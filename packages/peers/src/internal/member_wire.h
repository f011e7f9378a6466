#pragma once

#include "membership/member.h"

#include <peers_types.h>

#include <optional>

namespace chervilfield::peers::internal {

/// Converts a member update to its Thrift struct.
wire::Member toWire(const membership::MemberUpdate &update);

/// Converts a Thrift struct to a member update. Returns no value if a string is too long, the name
/// is empty or the state is unknown.
std::optional<membership::MemberUpdate> fromWire(const wire::Member &member);

/// Returns true if and only if a name or address does not exceed the maximum length.
bool hasPermittedLength(const std::string &text);

} // namespace chervilfield::peers::internal
