#pragma once

#include "internal/datagrams.h"

namespace chervilfield::membership::internal {

/// Evaluates the probe of the past period and starts the next one.
void beginPeriod(Context &context);

/// Asks other members to ping the target, because the direct ping was not answered in time.
void sendIndirectPings(Context &context);

/// Sends the negative acknowledgements of relayed pings that are due.
void sendDueNacks(Context &context);

/// Performs an indirect ping for another daemon.
void relayPing(Context &context, const IndirectPing &request, const std::string &from);

/// Handles the answer to the current probe or to a relayed ping.
void receiveAck(Context &context, std::uint32_t sequence);

/// Counts a negative acknowledgement for the current probe.
void receiveNack(Context &context, std::uint32_t sequence);

/// Adds `change` to the local health score of Lifeguard. A higher score means worse health.
void changeHealth(State &state, int change);

/// Returns `duration` multiplied by the local health score plus one.
Duration scaleByHealth(const State &state, Duration duration);

/// Compensates for a time in which this process was stopped or starved, recognized by a late timer:
/// cancels the running probe and the relayed pings, and extends each suspicion by the lost time,
/// because answers may be waiting in the socket.
void compensateForFreeze(Context &context);

} // namespace chervilfield::membership::internal
