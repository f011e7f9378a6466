#pragma once

#include <chrono>
#include <cstddef>

namespace chervilfield::daemon {

using Clock = std::chrono::steady_clock;

enum class DrainPhase {
    Serving,
    Announcing, ///< Off the address lists; callers that still hold the address are served.
    Finishing,  ///< No new connections; requests in progress are finished.
    Done,
};

struct DrainOptions
{
    std::chrono::milliseconds announceTime{ 2500 };   ///< Until address answers have expired.
    std::chrono::milliseconds finishTimeout{ 60000 }; ///< Longest wait for the last request.
};

/// State of a graceful shutdown. Call `startDrain()` once and `advanceDrain()` periodically.
struct Drain
{
    DrainOptions options;
    DrainPhase phase = DrainPhase::Serving;
    Clock::time_point phaseStart;
};

/// Begins the shutdown; later calls have no effect.
void startDrain(Drain &drain, Clock::time_point now);

/// Moves on to the next phase when its time has come. `activeRequests` is the number of requests
/// whose response is not complete. Returns true if and only if the phase has changed.
bool advanceDrain(Drain &drain, std::size_t activeRequests, Clock::time_point now);

} // namespace chervilfield::daemon
