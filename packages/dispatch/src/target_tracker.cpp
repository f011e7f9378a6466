#include "dispatch/target_tracker.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace chervilfield::dispatch {

TargetStatus &TargetTracker::status(const fleet::Target &target)
{
    TargetStatus &status = targets_[target.id];
    if (status.startedAt != target.startedAt) {
        // Requests to the previous run are still in flight until `endRequest` is called for them.
        const std::uint32_t inFlight = status.inFlight;
        status = {};
        status.startedAt = target.startedAt;
        status.inFlight = inFlight;
    }
    return status;
}

const TargetStatus *TargetTracker::find(const fleet::Target &target) const
{
    const auto found = targets_.find(target.id);
    const bool isSameRun = found != targets_.end() && found->second.startedAt == target.startedAt;
    return isSameRun ? &found->second : nullptr;
}

void TargetTracker::startRequest(const fleet::Target &target, const InFlightRequest &request)
{
    TargetStatus &entry = status(target);
    ++entry.inFlight;
    entry.idleConnections -= entry.idleConnections > 0 ? 1 : 0;
    entry.waitingTokens += request.waitingTokens;
    entry.memoryTokens += request.memoryTokens;
}

void TargetTracker::recordFirstEvent(const fleet::Target &target, InFlightRequest &request)
{
    TargetStatus &entry = status(target);
    entry.waitingTokens = std::max(0.0, entry.waitingTokens - request.waitingTokens);
    request.waitingTokens = 0;
}

void TargetTracker::endRequest(const fleet::Target &target, const InFlightRequest &request,
                               Time now)
{
    TargetStatus &entry = status(target);
    entry.inFlight -= entry.inFlight > 0 ? 1 : 0;
    entry.idleConnections =
            now - entry.idleSince < options_.idleConnectionLifetime ? entry.idleConnections + 1 : 1;
    entry.idleSince = now;
    entry.waitingTokens = std::max(0.0, entry.waitingTokens - request.waitingTokens);
    entry.memoryTokens = std::max(0.0, entry.memoryTokens - request.memoryTokens);
}

void TargetTracker::recordTimes(const fleet::Target &target, const InFlightRequest &request,
                                const AnswerTimes &times, Time now)
{
    performance::Sample sample = request.conditions;
    sample.timeToFirstEvent = times.timeToFirstEvent;
    sample.eventInterval = times.eventInterval;
    performance_.record(target.pool, target.key, target.startedAt, sample, now);
}

performance::TargetFigures TargetTracker::performanceOf(const fleet::Target &target, Time now) const
{
    return performance_.figures(target.pool, target.key, target.startedAt, target.slots, now);
}

double TargetTracker::usefulSlots(const fleet::Target &target, Time now) const
{
    const double useful = performanceOf(target, now).usefulConcurrency;
    const double slots = std::max<std::uint32_t>(1, target.slots);
    return useful > 0 ? std::clamp(useful, 1.0, slots) : slots;
}

bool TargetTracker::hasIdleConnection(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    return entry != nullptr && entry->idleConnections > 0
           && now - entry->idleSince < options_.idleConnectionLifetime;
}

void TargetTracker::recordReport(const fleet::Target &target, const LoadReport &report, Time now)
{
    TargetStatus &entry = status(target);
    entry.report = report;
    entry.ownRequestsAtReport = entry.inFlight;
    entry.reportedAt = now;
}

double TargetTracker::recentFaults(const TargetStatus &status, Time now) const
{
    const Seconds age = now - status.faultCountAt;
    return status.faultCount * std::exp(-age / Seconds(options_.faultDecayTime));
}

void TargetTracker::recordFault(const fleet::Target &target, Fault fault, Time now)
{
    TargetStatus &entry = status(target);
    // An error of the target may be caused by the request, and a refusal by a short load peak.
    const bool isMinor = fault == Fault::Failed || fault == Fault::Refused;
    constexpr double kMinorFaultWeight = 0.25;
    entry.faultCount = recentFaults(entry, now) + (isMinor ? kMinorFaultWeight : 1);
    entry.faultCountAt = now;
    const bool shouldPause = fault == Fault::Unreachable || fault == Fault::Timeout
                             || (fault == Fault::Broken && entry.faultCount > 1);
    if (fault == Fault::Refused)
        entry.avoidUntil = std::max(entry.avoidUntil, now + options_.refusedPause);
    if (!shouldPause)
        return;
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(options_.pausePerFault
                                                                             * entry.faultCount);
    entry.avoidUntil = now + std::min(pause, options_.maxPause);
}

void TargetTracker::recordSuccess(const fleet::Target &target, Time now)
{
    TargetStatus &entry = status(target);
    constexpr double kFaultsRemovedPerSuccess = 0.25;
    entry.faultCount = std::max(0.0, recentFaults(entry, now) - kFaultsRemovedPerSuccess);
    entry.faultCountAt = now;
    entry.avoidUntil = {};
}

void TargetTracker::setOthersWork(const fleet::Target &target, const TargetWork &work, Time now)
{
    TargetStatus &entry = status(target);
    entry.othersRequests = work.requests;
    entry.othersWaitingTokens = work.waitingTokens;
    entry.othersMemoryTokens = work.memoryTokens;
    entry.othersReportedAt = now;
}

void TargetTracker::recordLoadStart(const fleet::Target &target, Time now)
{
    status(target).loadingUntil = now + options_.maxWeightsLoadTime;
}

void TargetTracker::recordLoadEnd(const fleet::Target &target, const std::string &model,
                                  std::uint64_t version, Time now)
{
    status(target).loadingUntil = {};
    if (version > weightsOf(target, model))
        recordWeights(target, model, version, now);
}

double TargetTracker::estimatedRequests(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    if (entry == nullptr)
        return 0;
    if (now - entry->othersReportedAt < options_.maxOthersWorkAge)
        return entry->inFlight + entry->othersRequests;
    const double reported = entry->report.running + entry->report.waiting;
    const double others = std::max(0.0, reported - entry->ownRequestsAtReport);
    const Seconds age = now - entry->reportedAt;
    return entry->inFlight + others * std::exp2(-age / Seconds(options_.reportHalfLife));
}

double TargetTracker::estimatedWaitingTokens(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    if (entry == nullptr)
        return 0;
    const bool isRecent = now - entry->othersReportedAt < options_.maxOthersWorkAge;
    return entry->waitingTokens + (isRecent ? entry->othersWaitingTokens : 0);
}

double TargetTracker::estimatedMemoryTokens(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    if (entry == nullptr)
        return 0;
    const bool isRecent = now - entry->othersReportedAt < options_.maxOthersWorkAge;
    return entry->memoryTokens + (isRecent ? entry->othersMemoryTokens : 0);
}

std::uint64_t TargetTracker::weightsOf(const fleet::Target &target, const std::string &model) const
{
    const auto registered = target.weights.find(model);
    std::uint64_t version = registered == target.weights.end() ? 0 : registered->second;
    if (const TargetStatus *entry = find(target)) {
        const auto observed = entry->weights.find(model);
        if (observed != entry->weights.end())
            version = std::max(version, observed->second);
    }
    return version;
}

void TargetTracker::recordWeights(const fleet::Target &target, const std::string &model,
                                  std::uint64_t version, Time now)
{
    const std::uint64_t before = weightsOf(target, model);
    TargetStatus &entry = status(target);
    std::uint64_t &known = entry.weights[model];
    if (version > known)
        entry.loadingUntil = {};
    if (before > 0 && version > before)
        entry.weightsChangedAt = now;
    known = version;
}

InstanceShare TargetTracker::shareOf(const fleet::Target &target) const
{
    const std::size_t instances = instanceShare_.instances;
    return { .instances = instances, .index = (instanceShare_.index + target.key) % instances };
}

bool TargetTracker::recordRateLimit(const fleet::Target &target,
                                    std::optional<double> requestsPerSecond, Time sentAt, Time now)
{
    const TargetStatus *known = find(target);
    const double before = known == nullptr ? 0 : known->rateLimit.requestsPerSecond;
    // An answer may have been on its way when the limit was first stated.
    if (!requestsPerSecond && (before <= 0 || sentAt < known->rateLimit.statedAt))
        return false;
    RateLimit &limit = status(target).rateLimit;
    if (requestsPerSecond)
        stateLimit(limit, *requestsPerSecond, shareOf(target), now, options_.rateLimit);
    else
        limit = {};
    // Instances learn of smaller changes with their own answers.
    constexpr double kMinChange = 0.1;
    return std::abs(limit.requestsPerSecond - before) > kMinChange * before;
}

Time TargetTracker::nextSendTime(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    if (entry == nullptr)
        return now;
    return std::max(entry->pausedUntil, dispatch::nextSendTime(entry->rateLimit, instanceShare_,
                                                               now, options_.rateLimit));
}

std::optional<double> TargetTracker::permittedRate(const fleet::Target &target) const
{
    const TargetStatus *entry = find(target);
    if (entry == nullptr || entry->rateLimit.requestsPerSecond <= 0)
        return std::nullopt;
    return dispatch::permittedRate(entry->rateLimit, instanceShare_, options_.rateLimit);
}

void TargetTracker::takePermit(const fleet::Target &target, Time now)
{
    dispatch::takePermit(status(target).rateLimit, instanceShare_, now, options_.rateLimit);
}

std::vector<TargetWork> TargetTracker::ownWork() const
{
    std::vector<TargetWork> work;
    for (const auto &[id, status] : targets_) {
        if (status.inFlight > 0)
            work.push_back({ id, static_cast<double>(status.inFlight), status.waitingTokens,
                             status.memoryTokens });
    }
    return work;
}

void TargetTracker::recordPause(const fleet::Target &target, std::chrono::milliseconds pause,
                                Time now)
{
    TargetStatus &entry = status(target);
    entry.pausedUntil =
            std::max(entry.pausedUntil, now + std::min(pause, options_.maxRequestedPause));
}

bool TargetTracker::isPaused(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    return entry != nullptr && entry->pausedUntil > now;
}

bool TargetTracker::recordLeaving(const std::string &id, std::uint64_t startedAt, Time now)
{
    // Several times the targets of a large deployment. A faulty peer may name runs without end.
    constexpr std::size_t kMaxLeavingRuns = 4096;
    return leavingRuns_.size() < kMaxLeavingRuns
           && leavingRuns_.try_emplace({ id, startedAt }, now).second;
}

bool TargetTracker::isLeaving(const fleet::Target &target) const
{
    return !leavingRuns_.empty() && leavingRuns_.contains({ target.id, target.startedAt });
}

void TargetTracker::retain(const std::vector<fleet::Target> &targets, Time now)
{
    std::unordered_set<std::string> ids;
    std::vector<performance::TargetRun> runs;
    for (const fleet::Target &target : targets) {
        ids.insert(target.id);
        runs.push_back({ target.pool, target.key, target.startedAt });
    }
    performance_.retain(runs, now);
    std::erase_if(targets_, [&ids](const auto &entry) {
        return entry.second.inFlight == 0 && !ids.contains(entry.first);
    });
    std::erase_if(leavingRuns_, [&](const auto &entry) {
        const auto &[run, learnedAt] = entry;
        return now - learnedAt > options_.leavingMemory && !ids.contains(run.first);
    });
}

} // namespace chervilfield::dispatch
