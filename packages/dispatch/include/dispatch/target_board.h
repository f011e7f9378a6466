#pragma once

#include "fleet/configuration.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>
#include <unordered_map>

/// Decisions on where a request goes and when it is refused. No sockets and no clock of its own.
namespace chervilfield::dispatch {

using Time = std::chrono::steady_clock::time_point;
using Seconds = std::chrono::duration<double>;

/// Load that a target reports with its answers.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1; ///< Time that work takes there now, relative to the usual time.
};

/// What this instance knows about one run of a target.
struct TargetStatus
{
    std::uint64_t startedAt = 0;       ///< Of the run that all of this is about.
    std::uint32_t inFlight = 0;        ///< Requests of this instance without a complete answer.
    double waitingTokens = 0;          ///< Prompt tokens of those without a first event.
    double memoryTokens = 0;           ///< Memory that those take, in tokens.
    std::uint32_t idleConnections = 0; ///< Connections that ended requests have left open.
    Time idleSince{};                  ///< When the latest of those requests ended.
    LoadReport report;
    double othersRequests = 0;             ///< In flight of all other instances, as they tell.
    double othersWaitingTokens = 0;        ///< Their prompt tokens without a first event.
    double othersMemoryTokens = 0;         ///< Memory that they take, in tokens.
    Time othersReportedAt{};               ///< When the others last told; `Time{}` if never.
    std::uint32_t ownRequestsAtReport = 0; ///< Of `report`, what was this instance's own.
    Time reportedAt{};
    std::map<std::string, std::uint64_t> weights; ///< Version by model, as last learnt.
    double failures = 0;                          ///< Recent failures, decaying.
    Time failuresAt{};                            ///< When `failures` was decayed.
    Time avoidUntil{};   ///< No new work before this, unless there is no other target.
    Time loadingUntil{}; ///< Expected end of a load of weights.
};

/// Work in flight at a target.
struct TargetWork
{
    std::string target; ///< Id.
    double requests = 0;
    double waitingTokens = 0; ///< Prompt tokens of requests without a first event.
    double memoryTokens = 0;  ///< Memory that the requests take, in tokens.
};

/// One request in flight. Keep it with the request.
struct InFlightRequest
{
    double waitingTokens = 0; ///< Prompt tokens to compute; 0 after the first event.
    double memoryTokens = 0;  ///< Tokens of the prompt and of the longest answer.
};

/// Why a target did not answer a request.
enum class Fault {
    Unreachable, ///< No connection.
    Broken,      ///< The connection ended or the answer could not be read.
    Timeout,     ///< No answer in time.
    Refused,     ///< Answered that it did not run the request.
    Failed,      ///< Answered with an error of its own.
};

/// How faults make a target less likely to be chosen.
struct TargetTrackerOptions
{
    /// Time constant with which faults are forgotten; faults of a few seconds are the usual ones.
    std::chrono::milliseconds faultDecayTime{ 4000 };
    /// Pause after an unreachable target or one that did not answer, times the recent faults.
    std::chrono::milliseconds pausePerFault{ 400 };
    std::chrono::milliseconds maxPause{ 3000 };
    /// Pause after a target refused a request for lack of room.
    std::chrono::milliseconds refusedPause{ 100 };
    /// Age at which half of a load report counts; answers arrive several times a second.
    std::chrono::milliseconds reportHalfLife{ 700 };
    /// Age at which what the others told no longer counts; they repeat it more often.
    std::chrono::milliseconds maxOthersAge{ 3000 };
    /// Time for which an idle connection is expected to be usable; see the reuse of the relay.
    std::chrono::milliseconds idleConnectionLifetime{ 4000 };
    /// Longest time for which a target counts as loading; a load takes one to three seconds.
    std::chrono::milliseconds maxLoadTime{ 3000 };
};

/// Status of all targets that this instance has sent work to. Not safe for concurrent use.
class TargetTracker
{
public:
    explicit TargetTracker(TargetTrackerOptions options = {}) : options_(options) {}

    /// Returns the status of the run, empty at first. The reference is valid until the next call
    /// with another target.
    TargetStatus &status(const fleet::Target &target);

    /// Returns the status, or null if nothing is known of the run.
    const TargetStatus *find(const fleet::Target &target) const;

    void startRequest(const fleet::Target &target, const InFlightRequest &flight);
    void recordFirstEvent(const fleet::Target &target, InFlightRequest &flight);
    void endRequest(const fleet::Target &target, const InFlightRequest &flight, Time now);

    /// Returns true if a request can probably go over a connection that is open already.
    bool hasIdleConnection(const fleet::Target &target, Time now) const;

    void recordReport(const fleet::Target &target, const LoadReport &report, Time now);
    void recordFault(const fleet::Target &target, Fault fault, Time now);
    void recordSuccess(const fleet::Target &target, Time now);

    /// Takes what the other instances have in flight at the target.
    void setOthersWork(const fleet::Target &target, const TargetWork &work, Time now);

    /// Returns the estimated requests of all instances at the target.
    double estimatedRequests(const fleet::Target &target, Time now) const;

    /// Returns the estimated prompt tokens of all instances that wait at the target.
    double estimatedWaitingTokens(const fleet::Target &target, Time now) const;

    /// Returns the estimated memory of all instances' requests at the target, in tokens.
    double estimatedMemoryTokens(const fleet::Target &target, Time now) const;

    /// Records that the target loads weights and refuses work until then.
    void recordLoadStart(const fleet::Target &target, Time now);

    /// Returns the version of `model` on the target as last learnt, 0 if unknown. What the target
    /// said with an answer goes before what it registered, if it is later.
    std::uint64_t weightsOf(const fleet::Target &target, const std::string &model) const;
    void recordWeights(const fleet::Target &target, const std::string &model,
                       std::uint64_t version);

    /// Returns this instance's own work at each target that has any.
    std::vector<TargetWork> ownWork() const;

    /// Forgets runs that are not in `targets` and have no request in flight.
    void retain(const std::vector<fleet::Target> &targets);

private:
    double recentFaults(const TargetStatus &status, Time now) const;

    TargetTrackerOptions options_;
    std::unordered_map<std::string, TargetStatus> targets_; ///< By id.
};

} // namespace chervilfield::dispatch
