#pragma once

#include "admission/retry_after.h"
#include "scheduling/admission_verdict.h"
#include "scheduling/types.h"
#include "scheduling/urgency.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>

namespace chervilfield::scheduling {

/// Parameters of `ReturnSchedule`.
struct ReturnScheduleOptions
{
    /// Largest share of the caller's remaining time that is stated; callers do not wait longer.
    double maxTimeLeftShare = 1.0 / 3;
    /// Share of that maximum above which later returns are moved closer together instead of beyond
    /// it.
    double compressionStart = 0.75;
    std::size_t maxPromises = 1024; ///< Remembered returns per level of urgency.
    /// Limits and averaging of the completion rate. The jitter is one turn instead of a share of
    /// the wait, which would change the order.
    admission::RetryAfterOptions retryAfter{ .minRetryAfter = std::chrono::milliseconds(20),
                                             .maxJitterShare = 0 };
};

/// Assigns return times to the refused callers of one pool. Callers return one after another at the
/// rate at which this instance completes work of the pool, more urgent ones first. Not safe for
/// concurrent use.
class ReturnSchedule
{
public:
    explicit ReturnSchedule(ReturnScheduleOptions options = {}) : options_(options) {}

    /// Records that a request has ended that occupied a slot for `slotTime`.
    void recordCompleted(Seconds slotTime, Time now);

    /// Returns the time after which the refused caller should return: the time until the work that
    /// waits here before it (`Standing::workBefore`) and the refused callers at least as urgent
    /// have had their turn, at most `maxTimeLeftShare` of its remaining time. Before the first
    /// completion, the rate is the share of this instance in the slots of the pool.
    std::chrono::milliseconds retryAfter(const ScheduledRequest &request, Seconds workBefore,
                                         const PoolCapacity &capacity, Time now);

private:
    /// Turn of a refused caller.
    struct Promise
    {
        Time returnAt{};
        Seconds work{ 0 };
    };

    /// Returns the work of callers up to this level that have not returned yet.
    Seconds promisedWork(int level, Time now);

    ReturnScheduleOptions options_;
    admission::CompletionRate rate_;                            ///< In microseconds of slot time.
    std::array<std::deque<Promise>, kMaxUrgency + 1> promises_; ///< By level, oldest first.
};

} // namespace chervilfield::scheduling
