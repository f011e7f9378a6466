#pragma once

#include "net/address.h"

#include <boost/asio/spawn.hpp>

#include <chrono>

namespace chervilfield::net {

/// Opens a connection and closes it. Returns true if and only if the machine at `address` refused
/// it, as it does when no process listens there. Returns false if nothing answers within `timeout`.
bool refusesConnection(const Address &address, std::chrono::milliseconds timeout,
                       boost::asio::yield_context yield);

} // namespace chervilfield::net
