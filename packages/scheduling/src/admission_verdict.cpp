#include "scheduling/admission_verdict.h"

#include "internal/values.h"
#include "scheduling/urgency.h"

#include <algorithm>

namespace chervilfield::scheduling {

using detail::atLeastZero;
using detail::boundedWork;

namespace {

bool hasFreeSlot(const PoolCapacity &capacity)
{
    return atLeastZero(capacity.requestsInFlight) < capacity.slots;
}

// Returns true if the request would take one of the slots that are kept for more urgent ones.
bool takesReservedSlot(const Standing &standing, const PoolCapacity &capacity,
                       const SchedulingOptions &options)
{
    const double slots = atLeastZero(capacity.slots);
    const double urgentSlots =
            atLeastZero(standing.urgentSlots) * std::max(1.0, atLeastZero(capacity.instances));
    const double reserved =
            std::min(options.reservedSlotsShare * slots, urgentSlots) * (standing.isExcess ? 2 : 1);
    return atLeastZero(capacity.requestsInFlight) + 1 > slots - reserved && reserved > 0;
}

bool isHeldBack(const ScheduledRequest &request, const Standing &standing,
                const PoolCapacity &capacity, const SchedulingOptions &options)
{
    if (standing.hasFloorTurn)
        return false;
    if (!isLong(request) && !standing.isExcess)
        return standing.urgentGoalUse > options.holdBackShortGoalUse;
    return standing.urgentGoalUse > options.holdBackGoalUse
           || takesReservedSlot(standing, capacity, options);
}

} // namespace

Seconds expectedPoolDelay(const ScheduledRequest &request, const Standing &standing,
                          const PoolCapacity &capacity, const SchedulingOptions &options)
{
    if (hasFreeSlot(capacity))
        return Seconds(0);
    const double slots = std::max(1.0, atLeastZero(capacity.slots));
    const double instances = std::max(1.0, atLeastZero(capacity.instances));
    const double excess = atLeastZero(capacity.requestsInFlight) + 1 - atLeastZero(capacity.slots);
    const Seconds slotDelay = options.slotHoldTime * (std::max(0.0, excess) / slots);
    // Engines compute short prompts first, so the backlog delays only long ones.
    const double rate = atLeastZero(options.maxPrefillRate) * atLeastZero(capacity.speed);
    const Seconds backlogDelay = isLong(request) && rate > 0
                                         ? Seconds(atLeastZero(capacity.backlogTokens) / rate)
                                         : Seconds(0);
    return std::max(slotDelay, backlogDelay) + standing.workBefore * (instances / slots);
}

Verdict decide(const ScheduledRequest &request, const Standing &standing,
               std::optional<Seconds> timeToFirstEvent, const PoolCapacity &capacity,
               const SchedulingOptions &options, Time now)
{
    const Seconds timeLeft = request.deadline - now;
    const bool isServableNow = timeToFirstEvent && *timeToFirstEvent < timeLeft;
    const bool isServableLater = expectedPoolDelay(request, standing, capacity, options)
                                         + boundedWork(request.expectedWork)
                                 < timeLeft;
    if (timeLeft <= Seconds(0) || (!isServableNow && !isServableLater))
        return Verdict::Refuse;
    if (!isServableNow)
        return Verdict::Wait;
    if (request.hasStarted)
        return Verdict::SendNow;
    if (!standing.isReady || isHeldBack(request, standing, capacity, options))
        return Verdict::Wait;
    const Seconds goalTime = effectiveGoal(request) - request.arrivedAt;
    const Seconds waited = now - request.arrivedAt;
    if (waited + *timeToFirstEvent <= goalTime)
        return Verdict::SendNow;
    if (waited < goalTime * options.maxInTimeWaitShare)
        return Verdict::Wait;
    return hasFreeSlot(capacity) || standing.hasFloorTurn ? Verdict::SendNow : Verdict::Wait;
}

} // namespace chervilfield::scheduling
