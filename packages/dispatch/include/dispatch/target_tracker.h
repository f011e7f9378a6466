#pragma once

#include "base/boot_clock.h"
#include "dispatch/rate_limit.h"
#include "fleet/configuration.h"
#include "performance/performance_model.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>
#include <unordered_map>

/// Choice of a target for each request, and refusal of requests without a suitable target. Uses no
/// sockets; the current time is always passed in.
namespace chervilfield::dispatch {

using Time = base::BootClock::time_point;
using Seconds = std::chrono::duration<double>;

/// Load that a target reports with its answers.
struct LoadReport
{
    std::uint32_t running = 0; ///< Requests that the target executes.
    std::uint32_t waiting = 0; ///< Requests that are queued at the target.
    std::uint32_t slots = 0;   ///< Maximum number of requests that run concurrently.
    double slowness = 1;       ///< Current processing time relative to the usual one; 1 is normal.
};

/// Load and health of one run of a target, as known to this instance.
struct TargetStatus
{
    std::uint64_t startedAt = 0;       ///< Start of the run that this status belongs to.
    std::uint32_t inFlight = 0;        ///< Requests of this instance without a complete answer.
    double waitingTokens = 0;          ///< Uncached prompt tokens of those without a first event.
    double memoryTokens = 0;           ///< Memory that the requests in flight occupy, in tokens.
    std::uint32_t idleConnections = 0; ///< Connections that finished requests have left open.
    Time idleSince{};                  ///< When the latest request finished.
    LoadReport report;
    double othersRequests = 0;      ///< Requests in flight of all other instances.
    double othersWaitingTokens = 0; ///< Uncached prompt tokens of those without a first event.
    double othersMemoryTokens = 0;  ///< Memory that `othersRequests` occupy, in tokens.
    Time othersReportedAt{}; ///< When other instances last reported their work; `Time{}` if never.
    std::uint32_t ownRequestsAtReport = 0;        ///< Value of `inFlight` when `report` arrived.
    Time reportedAt{};                            ///< When `report` was received.
    std::map<std::string, std::uint64_t> weights; ///< Last known version by model.
    Time weightsChangedAt{}; ///< When a newer version was noticed; `Time{}` if never.
    double faultCount = 0;   ///< Recent faults, decayed exponentially.
    Time faultCountAt{};     ///< When `faultCount` was last decayed.
    Time avoidUntil{};       ///< Gets no new requests until then, unless all targets are avoided.
    Time pausedUntil{};      ///< Gets no requests until then, because it has asked for that.
    Time loadingUntil{};     ///< Expected end of loading weights.
    RateLimit rateLimit;     ///< Requests that the target accepts from all instances together.
};

/// Work in flight at one target.
struct TargetWork
{
    std::string target; ///< Id of the target.
    double requests = 0;
    double waitingTokens = 0; ///< Uncached prompt tokens of requests without a first event.
    double memoryTokens = 0;  ///< Memory that the requests occupy, in tokens.
};

/// Load of one request in flight, as counted by `TargetTracker`. The caller keeps it until the
/// request ends.
struct InFlightRequest
{
    double waitingTokens = 0; ///< Prompt tokens to compute; 0 after the first event.
    double memoryTokens = 0;  ///< Tokens of the prompt and of the longest possible answer.
    /// State of the target when the request was placed, without times. `Placer::place` sets it.
    performance::Sample conditions{};
};

/// Times of an answer that was received without a fault.
struct AnswerTimes
{
    /// Time from the send to the first event of a stream or to the whole answer of a plain service;
    /// 0 if it was recorded before. Whole answers of engines are not recorded, because their times
    /// depend on the length of the answer.
    Seconds timeToFirstEvent{ 0 };
    /// Mean time between two events of a stream that has ended.
    std::optional<Seconds> eventInterval;
};

/// Reason why a target did not serve a request.
enum class Fault {
    Unreachable, ///< No connection could be opened.
    Broken,      ///< The connection was closed early or the answer was malformed.
    Timeout,     ///< No answer in time.
    Refused,     ///< The target answered that it did not execute the request.
    Failed,      ///< The target answered with an error of its own.
};

/// Parameters that determine how faults and the age of reports affect the status of a target.
struct TargetTrackerOptions
{
    /// Time constant of the exponential decay of faults; most faults last a few seconds.
    std::chrono::milliseconds faultDecayTime{ 4000 };
    /// Pause per recent fault after a target was unreachable, timed out or broke an answer again.
    std::chrono::milliseconds pausePerFault{ 400 };
    std::chrono::milliseconds maxPause{ 3000 }; ///< Maximum pause after such a fault.
    /// Pause after a target refused a request because it had no capacity.
    std::chrono::milliseconds refusedPause{ 100 };
    /// Age at which a load report counts half; answers arrive several times a second.
    std::chrono::milliseconds reportHalfLife{ 700 };
    /// Maximum age at which the work that other instances reported counts; they repeat it more
    /// often.
    std::chrono::milliseconds maxOthersWorkAge{ 3000 };
    /// Time for which an idle connection is expected to be usable; see the connection reuse of
    /// package relay.
    std::chrono::milliseconds idleConnectionLifetime{ 4000 };
    /// Maximum time for which a target counts as loading weights; a load takes one to three
    /// seconds.
    std::chrono::milliseconds maxWeightsLoadTime{ 3000 };
    /// Minimum time for which a target that is leaving and not listed is remembered. It exceeds any
    /// outage after which registrations return.
    std::chrono::milliseconds leavingMemory{ 120'000 };
    /// Maximum pause that a target can ask for. A longer one is probably a fault of the target, and
    /// its next answer repeats it.
    std::chrono::milliseconds maxRequestedPause{ 300'000 };
    RateLimitOptions rateLimit; ///< Share of this instance in the limits of the targets.
    performance::PerformanceOptions performance; ///< Learning of the targets' performance.
};

/// Tracks load and health of all targets that this instance uses. Not safe for concurrent use.
class TargetTracker
{
public:
    explicit TargetTracker(TargetTrackerOptions options = {})
        : options_(options), performance_(options.performance)
    {
    }

    /// Returns the status of the target's current run. If the run is new, creates a status that has
    /// only the requests still in flight to the previous run. The reference is valid until the next
    /// call with another target.
    TargetStatus &status(const fleet::Target &target);

    /// Returns the status of the target's current run, or null if nothing is known about it.
    const TargetStatus *find(const fleet::Target &target) const;

    /// Counts a request that is about to be sent.
    void startRequest(const fleet::Target &target, const InFlightRequest &request);

    /// Removes the waiting tokens of the request when its first event arrives.
    void recordFirstEvent(const fleet::Target &target, InFlightRequest &request);

    /// Removes a request that has ended in any way, and counts its connection as idle.
    void endRequest(const fleet::Target &target, const InFlightRequest &request, Time now);

    /// Records the times of an answer to a request, from which the performance of the target is
    /// learned. Must be called at most once for each time, and not after a fault or a refusal.
    void recordTimes(const fleet::Target &target, const InFlightRequest &request,
                     const AnswerTimes &times, Time now);

    /// Returns the learned performance of the target.
    performance::TargetFigures performanceOf(const fleet::Target &target, Time now) const;

    /// Returns the number of requests that the target executes concurrently with benefit: its
    /// slots, or its useful concurrency if that is smaller. At least 1.
    double usefulSlots(const fleet::Target &target, Time now) const;

    /// Learned performance of the targets, for exchange with other instances.
    performance::PerformanceModel &performance() { return performance_; }
    const performance::PerformanceModel &performance() const { return performance_; }

    /// Returns true if an idle connection to the target is probably available.
    bool hasIdleConnection(const fleet::Target &target, Time now) const;

    /// Records the load that the target reported with an answer.
    void recordReport(const fleet::Target &target, const LoadReport &report, Time now);
    /// Records a fault. Avoids the target for a while unless the fault is `Failed` or the first
    /// `Broken`.
    void recordFault(const fleet::Target &target, Fault fault, Time now);
    /// Records a complete answer: lowers the fault count and ends a pause.
    void recordSuccess(const fleet::Target &target, Time now);

    /// Replaces the reported work of all other instances at the target.
    void setOthersWork(const fleet::Target &target, const TargetWork &work, Time now);

    /// Returns the estimated number of requests of all instances at the target.
    double estimatedRequests(const fleet::Target &target, Time now) const;

    /// Returns the estimated prefill backlog of the target from all instances, in tokens.
    double estimatedWaitingTokens(const fleet::Target &target, Time now) const;

    /// Returns the estimated memory that requests of all instances occupy at the target, in tokens.
    double estimatedMemoryTokens(const fleet::Target &target, Time now) const;

    /// Records that the target has begun to load weights. It is avoided until the load is expected
    /// to be complete.
    void recordLoadStart(const fleet::Target &target, Time now);

    /// Records that the target does not load weights and has at least `version` of `model`.
    void recordLoadEnd(const fleet::Target &target, const std::string &model, std::uint64_t version,
                       Time now);

    /// Returns the weights version of `model` on the target, 0 if unknown: the later one of the
    /// version that the target registered and the one that it sent with an answer.
    std::uint64_t weightsOf(const fleet::Target &target, const std::string &model) const;

    /// Records the weights version that the target sent with an answer.
    void recordWeights(const fleet::Target &target, const std::string &model, std::uint64_t version,
                       Time now);

    /// Sets the instances that share the rate limits of the targets.
    void setInstanceShare(const InstanceShare &share) { instanceShare_ = share; }

    const InstanceShare &instanceShare() const { return instanceShare_; }

    /// Records the requests per second that the target states in the answer to a request sent at
    /// `sentAt`, or that it states no limit. Returns true if other instances should learn of it.
    bool recordRateLimit(const fleet::Target &target, std::optional<double> requestsPerSecond,
                         Time sentAt, Time now);

    /// Returns the time from which this instance may send the next request, at least `now`: the
    /// next permit of a rate limit, or the end of a pause.
    Time nextSendTime(const fleet::Target &target, Time now) const;

    /// Returns the requests per second that this instance may send, or no value if there is no
    /// limit.
    std::optional<double> permittedRate(const fleet::Target &target) const;

    /// Uses up the next permit of the target's rate limit.
    void takePermit(const fleet::Target &target, Time now);

    /// Records that the target wants no requests from this instance for `pause`. Later answers do
    /// not shorten a pause.
    void recordPause(const fleet::Target &target, std::chrono::milliseconds pause, Time now);

    /// Returns true if the target has asked for a pause that has not ended.
    bool isPaused(const fleet::Target &target, Time now) const;

    /// Records that a run of a target has stated that it is leaving. Returns true if that is new.
    /// The run need not be listed. At most 4,096 runs are remembered.
    bool recordLeaving(const std::string &id, std::uint64_t startedAt, Time now);

    /// Returns true if this run of the target has stated that it is leaving.
    bool isLeaving(const fleet::Target &target) const;

    /// Returns the work of this instance at each target with requests in flight.
    std::vector<TargetWork> ownWork() const;

    /// Removes targets that are not in `targets` and have no request in flight. Leaving targets are
    /// remembered for some time, because a registration may be missing and return.
    void retain(const std::vector<fleet::Target> &targets, Time now);

private:
    /// Returns the share of this instance in the rate limit of the target. The order of the
    /// instances begins elsewhere for each target, so that an instance does not get the permits of
    /// many targets at the same time.
    InstanceShare shareOf(const fleet::Target &target) const;
    /// Returns the fault count, decayed to `now`.
    double recentFaults(const TargetStatus &status, Time now) const;

    /// Id and start of one run of a target.
    using Run = std::pair<std::string, std::uint64_t>;

    TargetTrackerOptions options_;
    performance::PerformanceModel performance_;
    InstanceShare instanceShare_;
    std::unordered_map<std::string, TargetStatus> targets_; ///< By target id.
    std::map<Run, Time> leavingRuns_; ///< When this instance learned that the run is leaving.
};

} // namespace chervilfield::dispatch
