#include "daemon/drain.h"

namespace chervilfield::daemon {

namespace {

bool moveTo(Drain &drain, DrainPhase phase, Clock::time_point now)
{
    drain.phase = phase;
    drain.phaseStart = now;
    return true;
}

} // namespace

void startDrain(Drain &drain, Clock::time_point now)
{
    if (drain.phase == DrainPhase::Serving)
        moveTo(drain, DrainPhase::Announcing, now);
}

bool advanceDrain(Drain &drain, std::size_t activeRequests, Clock::time_point now)
{
    const auto elapsed = now - drain.phaseStart;
    switch (drain.phase) {
    case DrainPhase::Announcing:
        if (elapsed >= drain.options.announceTime)
            return moveTo(drain, DrainPhase::Finishing, now);
        return false;
    case DrainPhase::Finishing:
        if (activeRequests == 0 || elapsed >= drain.options.finishTimeout)
            return moveTo(drain, DrainPhase::Done, now);
        return false;
    case DrainPhase::Serving:
    case DrainPhase::Done:
        break;
    }
    return false;
}

} // namespace chervilfield::daemon
