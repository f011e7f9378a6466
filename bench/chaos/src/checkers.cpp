#include "chaos/checkers.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace chervilfield::chaos {

namespace {

std::string atTime(double time)
{
    return " at " + std::to_string(time) + " ms";
}

/// Returns the records sorted by a time field; records with equal times keep their order.
template<class Record>
std::vector<Record> sortedBy(std::vector<Record> records, double Record::*time)
{
    std::ranges::stable_sort(records, {}, time);
    return records;
}

void checkStream(const StreamRecord &stream, bool ran, std::vector<std::string> &violations)
{
    const std::string name = "request " + stream.request;
    for (const std::string &fault : stream.faults)
        violations.push_back(std::string(name).append(": ").append(fault));
    if (!stream.expected.starts_with(stream.received))
        violations.push_back(name + " received text that is not a prefix of its answer");
    if (stream.terminated && stream.received != stream.expected)
        violations.push_back(name + " was terminated before its end");
    if (!stream.terminated && stream.work.empty())
        violations.push_back(name + " was neither answered nor refused");
    if (stream.work == "not-run" && (ran || !stream.received.empty()))
        violations.push_back(name + " was refused with not-run, but it ran");
}

/// Returns the number of executions of each executed order.
std::map<std::string, std::size_t> countExecutions(const History &history)
{
    std::map<std::string, std::size_t> counts;
    for (const Execution &execution : history.executions)
        ++counts[execution.order];
    return counts;
}

/// Returns the last time up to `time` at which `instance` became able to run, or 0.
double lastUpTime(const History &history, const std::string &instance, double time)
{
    double since = 0;
    for (const InstanceUp &up : history.instanceUps) {
        if (up.instance == instance && up.time <= time)
            since = std::max(since, up.time);
    }
    return since;
}

/// Returns since when `target` has been leaving without interruption at `time`, or -1 if it is not
/// leaving. `states` must be sorted by time.
double leavingSince(const std::vector<TargetState> &states, const std::string &target, double time)
{
    double since = -1;
    for (const TargetState &state : states) {
        if (state.target != target || state.time > time)
            continue;
        if (!state.leaving)
            since = -1;
        else if (since < 0)
            since = state.time;
    }
    return since;
}

} // namespace

CheckResult checkStreams(const History &history)
{
    std::set<std::string> ran;
    for (const EngineRun &run : history.engineRuns)
        ran.insert(run.request);
    CheckResult result{ .property = "streams_whole_or_refused",
                        .exercised = history.streams.size(),
                        .violations = {} };
    for (const StreamRecord &stream : history.streams)
        checkStream(stream, ran.contains(stream.request), result.violations);
    return result;
}

CheckResult checkExecutions(const History &history)
{
    const auto counts = countExecutions(history);
    CheckResult result{ .property = "order_runs_at_most_once",
                        .exercised = counts.size(),
                        .violations = {} };
    for (const auto &[order, count] : counts) {
        if (count > 1) {
            result.violations.push_back("order " + order + " was executed " + std::to_string(count)
                                        + " times");
        }
    }
    return result;
}

CheckResult checkOrderReplies(const History &history)
{
    const auto counts = countExecutions(history);
    CheckResult result{ .property = "order_replies_true", .exercised = 0, .violations = {} };
    for (const OrderAttempt &attempt : history.orderAttempts) {
        const bool ran = counts.contains(attempt.order);
        if (attempt.work == "not-run" && ran) {
            result.violations.push_back("order " + attempt.order
                                        + " ran, but a caller was told not-run"
                                        + atTime(attempt.end));
        }
        if (attempt.work == "ran" && !ran) {
            result.violations.push_back("order " + attempt.order
                                        + " did not run, but a caller was told ran"
                                        + atTime(attempt.end));
        }
        if (attempt.work == "not-run" || attempt.work == "ran")
            ++result.exercised;
    }
    return result;
}

CheckResult checkConfigMonotone(const History &history)
{
    CheckResult result{ .property = "config_monotone", .exercised = 0, .violations = {} };
    std::map<std::string, std::uint64_t> last;
    for (const ConfigInForce &report : sortedBy(history.configsInForce, &ConfigInForce::time)) {
        std::uint64_t &known = last[report.instance];
        if (report.revision < known) {
            result.violations.push_back(report.instance + " went from revision "
                                        + std::to_string(known) + " to "
                                        + std::to_string(report.revision) + atTime(report.time));
        }
        known = std::max(known, report.revision);
        ++result.exercised;
    }
    return result;
}

CheckResult checkConfigInForce(const History &history, const CheckLimits &limits)
{
    CheckResult result{ .property = "config_in_force_in_time", .exercised = 0, .violations = {} };
    for (const ConfigInForce &report : history.configsInForce) {
        const double cutoff = report.time - limits.maxConfigDelayMs;
        if (lastUpTime(history, report.instance, report.time) > cutoff)
            continue;
        std::uint64_t requiredRevision = 0;
        for (const ConfigAccepted &change : history.acceptedConfigs) {
            if (change.time <= cutoff)
                requiredRevision = std::max(requiredRevision, change.revision);
        }
        if (requiredRevision > 0)
            ++result.exercised;
        if (report.revision < requiredRevision) {
            result.violations.push_back(report.instance + " has revision "
                                        + std::to_string(report.revision) + " instead of "
                                        + std::to_string(requiredRevision) + atTime(report.time));
        }
    }
    return result;
}

CheckResult checkLeftTargets(const History &history, const CheckLimits &limits)
{
    CheckResult result{ .property = "left_targets_get_no_work", .exercised = 0, .violations = {} };
    const auto states = sortedBy(history.targetStates, &TargetState::time);
    for (const TargetState &state : states)
        result.exercised += state.leaving ? 1 : 0;
    for (const TargetWork &work : history.targetWork) {
        const double since = leavingSince(states, work.target, work.time);
        if (since >= 0 && work.time > since + limits.maxWorkAfterLeavingMs) {
            result.violations.push_back("target " + work.target + " received request "
                                        + work.request + atTime(work.time) + ", leaving since "
                                        + std::to_string(since) + " ms");
        }
    }
    return result;
}

CheckResult checkCacheUse(const History &history)
{
    CheckResult result{ .property = "cache_use_own_and_fresh", .exercised = 0, .violations = {} };
    std::map<std::string, std::pair<std::string, std::string>> owners;
    std::set<std::tuple<std::string, std::string, std::string>> filled;
    for (const CacheUse &use : sortedBy(history.cacheUses, &CacheUse::time)) {
        result.exercised += use.cachedTokens > 0 ? 1 : 0;
        const std::pair owner(use.customer, use.weights);
        const auto known = owners.emplace(use.salt, owner).first->second;
        if (known != owner) {
            result.violations.push_back("request " + use.request + " of " + use.customer
                                        + " with weights " + use.weights + " used the salt of "
                                        + known.first + " with weights " + known.second);
        }
        const bool isFirst = filled.emplace(use.engine, use.life, use.salt).second;
        if (isFirst && use.cachedTokens > 0) {
            result.violations.push_back("request " + use.request
                                        + " used entries of an ended life of " + use.engine);
        }
    }
    return result;
}

CheckResult checkGracefulStops(const History &history)
{
    CheckResult result{ .property = "graceful_stop_cuts_nothing",
                        .exercised = 0,
                        .violations = {} };
    for (const GracefulStop &stop : history.gracefulStops) {
        for (const ConnectionRecord &connection : history.connections) {
            if (connection.instance != stop.instance || connection.end < stop.time)
                continue;
            const bool isCut = connection.outcome == "cut";
            const bool isEntitled = connection.start < connection.addressExpires;
            const bool isMissed = connection.outcome == "unreachable" && isEntitled;
            result.exercised += connection.start <= stop.time || isEntitled ? 1 : 0;
            if (isCut || isMissed) {
                result.violations.push_back("request " + connection.request + " to "
                                            + connection.instance + " was " + connection.outcome
                                            + atTime(connection.end) + " after the stop"
                                            + atTime(stop.time));
            }
        }
    }
    return result;
}

std::vector<CheckResult> checkAll(const History &history, const CheckLimits &limits)
{
    return { checkStreams(history),
             checkExecutions(history),
             checkOrderReplies(history),
             checkConfigMonotone(history),
             checkConfigInForce(history, limits),
             checkLeftTargets(history, limits),
             checkCacheUse(history),
             checkGracefulStops(history),
             checkRows(history) };
}

} // namespace chervilfield::chaos
