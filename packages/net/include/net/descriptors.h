#pragma once

#include <cstddef>

namespace chervilfield::net {

/// Returns the maximum number of open descriptors of this process (RLIMIT_NOFILE).
std::size_t descriptorLimit();

/// Lowers the limit of this process to `count` if it is higher. A count of 0 or below 64, with
/// which a process cannot work, is ignored.
void lowerDescriptorLimit(std::size_t count);

/// Returns the number of connections that a server may keep open in a process with `limit`
/// descriptors. An eighth is kept for listeners, peers and the store; the rest is halved, because
/// each request may need a connection to a target.
std::size_t connectionShare(std::size_t limit);

} // namespace chervilfield::net
