#include "dispatch/target_board.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace chervilfield::dispatch {

TargetStatus &TargetBoard::status(const fleet::Target &target)
{
    TargetStatus &status = targets_[target.id];
    if (status.startedAt != target.startedAt) {
        // Requests in flight at the ended run are still counted by their own ends.
        const std::uint32_t inFlight = status.inFlight;
        status = {};
        status.startedAt = target.startedAt;
        status.inFlight = inFlight;
    }
    return status;
}

const TargetStatus *TargetBoard::find(const fleet::Target &target) const
{
    const auto found = targets_.find(target.id);
    const bool isSameRun = found != targets_.end() && found->second.startedAt == target.startedAt;
    return isSameRun ? &found->second : nullptr;
}

void TargetBoard::start(const fleet::Target &target, const Flight &flight)
{
    TargetStatus &entry = status(target);
    ++entry.inFlight;
    entry.idle -= entry.idle > 0 ? 1 : 0;
    entry.waitingTokens += flight.waitingTokens;
    entry.memoryTokens += flight.memoryTokens;
}

void TargetBoard::firstEvent(const fleet::Target &target, Flight &flight)
{
    TargetStatus &entry = status(target);
    entry.waitingTokens = std::max(0.0, entry.waitingTokens - flight.waitingTokens);
    flight.waitingTokens = 0;
}

void TargetBoard::end(const fleet::Target &target, const Flight &flight, Time now)
{
    TargetStatus &entry = status(target);
    entry.inFlight -= entry.inFlight > 0 ? 1 : 0;
    entry.idle = now - entry.idleSince < options_.idleLifetime ? entry.idle + 1 : 1;
    entry.idleSince = now;
    entry.waitingTokens = std::max(0.0, entry.waitingTokens - flight.waitingTokens);
    entry.memoryTokens = std::max(0.0, entry.memoryTokens - flight.memoryTokens);
}

bool TargetBoard::hasIdleConnection(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    return entry != nullptr && entry->idle > 0 && now - entry->idleSince < options_.idleLifetime;
}

void TargetBoard::report(const fleet::Target &target, const LoadReport &report, Time now)
{
    TargetStatus &entry = status(target);
    entry.report = report;
    entry.ownAtReport = entry.inFlight;
    entry.reportedAt = now;
}

double TargetBoard::recentFaults(const TargetStatus &status, Time now) const
{
    const Seconds age = now - status.failuresAt;
    return status.failures * std::exp(-age / Seconds(options_.faultMemory));
}

void TargetBoard::fault(const fleet::Target &target, Fault fault, Time now)
{
    TargetStatus &entry = status(target);
    // An error of a target's own may be due to the request, a refusal to a moment of full load.
    const bool isMinor = fault == Fault::Failed || fault == Fault::Refused;
    constexpr double kMinor = 0.25;
    entry.failures = recentFaults(entry, now) + (isMinor ? kMinor : 1);
    entry.failuresAt = now;
    const bool hasPause = fault == Fault::Unreachable || fault == Fault::Silent
                          || (fault == Fault::Broken && entry.failures > 1);
    if (fault == Fault::Refused)
        entry.avoidUntil = std::max(entry.avoidUntil, now + options_.refusedPause);
    if (!hasPause)
        return;
    const auto pause =
            std::chrono::duration_cast<std::chrono::milliseconds>(options_.pause * entry.failures);
    entry.avoidUntil = now + std::min(pause, options_.maxPause);
}

void TargetBoard::success(const fleet::Target &target, Time now)
{
    TargetStatus &entry = status(target);
    constexpr double kForgiven = 0.25;
    entry.failures = std::max(0.0, recentFaults(entry, now) - kForgiven);
    entry.failuresAt = now;
    entry.avoidUntil = {};
}

void TargetBoard::setOthers(const fleet::Target &target, const TargetWork &work, Time now)
{
    TargetStatus &entry = status(target);
    entry.othersRequests = work.requests;
    entry.othersTokens = work.waitingTokens;
    entry.othersMemory = work.memoryTokens;
    entry.othersAt = now;
}

void TargetBoard::startLoad(const fleet::Target &target, Time now)
{
    status(target).loadingUntil = now + options_.loadTime;
}

double TargetBoard::estimatedRequests(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    if (entry == nullptr)
        return 0;
    if (now - entry->othersAt < options_.othersLifetime)
        return entry->inFlight + entry->othersRequests;
    const double reported = entry->report.running + entry->report.waiting;
    const double others = std::max(0.0, reported - entry->ownAtReport);
    const Seconds age = now - entry->reportedAt;
    return entry->inFlight + others * std::exp2(-age / Seconds(options_.reportHalfLife));
}

double TargetBoard::estimatedTokens(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    if (entry == nullptr)
        return 0;
    const bool isRecent = now - entry->othersAt < options_.othersLifetime;
    return entry->waitingTokens + (isRecent ? entry->othersTokens : 0);
}

double TargetBoard::estimatedMemory(const fleet::Target &target, Time now) const
{
    const TargetStatus *entry = find(target);
    if (entry == nullptr)
        return 0;
    const bool isRecent = now - entry->othersAt < options_.othersLifetime;
    return entry->memoryTokens + (isRecent ? entry->othersMemory : 0);
}

std::uint64_t TargetBoard::weightsOf(const fleet::Target &target, const std::string &model) const
{
    const auto registered = target.weights.find(model);
    std::uint64_t version = registered == target.weights.end() ? 0 : registered->second;
    if (const TargetStatus *entry = find(target)) {
        const auto learnt = entry->weights.find(model);
        if (learnt != entry->weights.end())
            version = std::max(version, learnt->second);
    }
    return version;
}

void TargetBoard::learnWeights(const fleet::Target &target, const std::string &model,
                               std::uint64_t version)
{
    TargetStatus &entry = status(target);
    std::uint64_t &known = entry.weights[model];
    if (version > known)
        entry.loadingUntil = {};
    known = version;
}

std::vector<TargetWork> TargetBoard::ownWork() const
{
    std::vector<TargetWork> work;
    for (const auto &[id, status] : targets_) {
        if (status.inFlight > 0)
            work.push_back({ id, static_cast<double>(status.inFlight), status.waitingTokens,
                             status.memoryTokens });
    }
    return work;
}

void TargetBoard::retain(const std::vector<fleet::Target> &targets)
{
    std::unordered_set<std::string> ids;
    for (const fleet::Target &target : targets)
        ids.insert(target.id);
    std::erase_if(targets_, [&ids](const auto &entry) {
        return entry.second.inFlight == 0 && !ids.contains(entry.first);
    });
}

} // namespace chervilfield::dispatch
