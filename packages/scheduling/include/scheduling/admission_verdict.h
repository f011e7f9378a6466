#pragma once

#include "scheduling/types.h"
#include "scheduling/wait_queue.h"

#include <optional>

namespace chervilfield::scheduling {

/// Capacity and load of the usable targets of a pool, from all instances. Values that are negative
/// or not a number count as 0.
struct PoolCapacity
{
    double slots = 0;            ///< Requests that the targets usefully run at the same time.
    double requestsInFlight = 0; ///< Requests of all instances at the targets.
    double backlogTokens = 0;    ///< Prompt tokens to compute of requests without a first event.
    double speed = 0;            ///< Sum of the speeds of the targets; 1 is a usual target.
    double instances = 1;        ///< Instances that send to the pool.
};

/// What to do with a request that has not been sent.
enum class Verdict {
    SendNow,
    Wait,   ///< Ask again after the poll interval.
    Refuse, ///< It cannot be served by its deadline.
};

/// Parameters of `decide()`.
struct SchedulingOptions
{
    /// Prompt tokens per second of a usual target. Above that of the known engines (40,000 to
    /// 64,000), so that a backlog does not refuse what faster engines could still serve.
    double maxPrefillRate = 100'000;
    /// Usual time that a request occupies a slot; see `dispatch::PlacementOptions::slotHoldTime`.
    Seconds slotHoldTime{ 0.6 };
    /// Value of `Standing::urgentGoalUse` above which long prompts and the excess of floods are
    /// held back. Half of the goal is left for the time until held back work has drained.
    double holdBackGoalUse = 0.5;
    /// The same for short requests of less urgent kinds: the goal is about to be missed.
    double holdBackShortGoalUse = 0.8;
    /// Share of the slots that long prompts leave free for more urgent short requests, at most as
    /// many as these use. They hold a slot several times as long, so that short requests would wait
    /// for each other once long ones have taken all slots. The excess of floods leaves twice as
    /// many free.
    double reservedSlotsShare = 0.1;
    /// A request whose goal no target would meet now waits for a better one until this share of the
    /// time to its goal has passed.
    double maxInTimeWaitShare = 0.4;
};

/// Returns the time until the pool is expected to have capacity for one more request: zero while
/// slots are free. It is optimistic: it leaves out more urgent requests that arrive later.
Seconds expectedPoolDelay(const ScheduledRequest &request, const Standing &standing,
                          const PoolCapacity &capacity, const SchedulingOptions &options);

/// Decides whether the request is sent now. `timeToFirstEvent` is the expected time at the best
/// target that accepts the request, also if it is late, or no value if no target accepts it or none
/// was asked because the request is not ready.
///
/// - A request that can no longer be served by its deadline is refused; all others wait or are
///   sent.
/// - A request that is not ready waits, except a stream that has begun.
/// - Long prompts, the excess of floods and then less urgent short requests wait while more urgent
///   requests come close to their goals; the first two also leave some slots free. The share that
///   the floor guarantees is excepted.
/// - A late request is sent while the pool has a free slot.
Verdict decide(const ScheduledRequest &request, const Standing &standing,
               std::optional<Seconds> timeToFirstEvent, const PoolCapacity &capacity,
               const SchedulingOptions &options, Time now);

} // namespace chervilfield::scheduling
