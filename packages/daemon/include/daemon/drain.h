#pragma once

#include <chrono>
#include <cstddef>

namespace chervilfield::daemon {

using Clock = std::chrono::steady_clock;

/// Phases of a graceful shutdown, in order.
enum class DrainPhase {
    Serving,    ///< No shutdown has started.
    Announcing, ///< Removed from the address lists; callers that hold an old list are still served.
    Finishing,  ///< New connections are refused; requests in progress run to their end.
    Done,       ///< The process may exit.
};

/// Durations of the phases of a graceful shutdown.
struct DrainOptions
{
    /// Duration of `Announcing`. At least the lifetime of the address lists that callers hold.
    std::chrono::milliseconds announceTime{ 2500 };
    /// Maximum duration of `Finishing`.
    std::chrono::milliseconds finishTimeout{ 60000 };
};

/// State of a graceful shutdown. `startDrain()` begins it; `advanceDrain()` must then be called
/// periodically.
struct Drain
{
    DrainOptions options;
    DrainPhase phase = DrainPhase::Serving;
    Clock::time_point phaseStart; ///< Time at which `phase` began.
};

/// Begins the shutdown; later calls have no effect.
void startDrain(Drain &drain, Clock::time_point now);

/// Enters the next phase if the current one has ended. `activeRequests` is the number of requests
/// whose response is incomplete. Returns true if and only if the phase has changed.
bool advanceDrain(Drain &drain, std::size_t activeRequests, Clock::time_point now);

} // namespace chervilfield::daemon
