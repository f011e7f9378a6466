#pragma once

#include "internal/datagrams.h"

namespace chervilfield::membership::internal {

/// Judges the probe of the past period and starts the next one.
void beginPeriod(Context &context);

/// Sends indirect pings if the direct one was not answered in time.
void probeIndirectly(Context &context);

/// Sends the negative answers of relays that are due.
void answerRelays(Context &context);

/// Performs an indirect ping for another daemon.
void beginRelay(Context &context, const IndirectPing &request, const std::string &from);

void receiveAck(Context &context, std::uint32_t sequence);
void receiveNack(Context &context, std::uint32_t sequence);

/// Changes Lifeguard's local health score; a positive change is for the worse.
void changeHealth(State &state, int change);

/// Returns `duration` stretched by the local health score.
Duration stretched(const State &state, Duration duration);

/// If the timer fired too late, this process was stopped or starved: withdraws the running probe
/// and gives suspects the lost time back, because their answers may be waiting in the socket.
void forgiveFreeze(Context &context);

} // namespace chervilfield::membership::internal
