#include "quarantine/part_quarantine.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chervilfield::quarantine {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

PartKey partKey(std::string_view model, std::string_view partId)
{
    return base::hash64(partId, base::hash64(model));
}

PartQuarantine::Crash &PartQuarantine::crashOf(const EngineRun &run, Time now)
{
    const auto found = std::ranges::find_if(crashes_, [&run](const Crash &crash) {
        return crash.run.target == run.target && crash.run.startedAt == run.startedAt;
    });
    if (found != crashes_.end())
        return *found;
    if (crashes_.size() >= options_.maxCrashes)
        crashes_.erase(crashes_.begin());
    return crashes_.emplace_back(Crash{ .run = run, .at = now, .suspects = {} });
}

void PartQuarantine::recordCrash(const CrashReport &report, Time now)
{
    expire(now);
    Crash &crash = crashOf(report.run, now);
    for (const SuspectRequest &request : report.suspects) {
        for (std::size_t i = 0; i < request.parts.size(); ++i) {
            const PartKey part = request.parts[i];
            const auto cleared = lastCleared_.find(part);
            if (cleared != lastCleared_.end() && cleared->second + options_.reportDelay >= crash.at)
                continue;
            if (crash.suspects.size() >= options_.maxPartsPerCrash
                && !crash.suspects.contains(part))
                continue;
            Suspicion &suspicion = crash.suspects[part];
            suspicion.position = std::max(suspicion.position, i);
            if (std::ranges::find(suspicion.requests, request.request) == suspicion.requests.end())
                suspicion.requests.push_back(request.request);
            if (lapsed_.contains(part))
                quarantine(part, now + options_.duration, false, now);
        }
    }
    updateVerdicts(now);
}

std::vector<PartKey> PartQuarantine::recordBegin(std::span<const PartKey> parts, Time now)
{
    if (crashes_.empty() && quarantined_.empty() && lapsed_.empty())
        return {};
    return clear(parts, now);
}

void PartQuarantine::recordInnocent(std::span<const PartKey> parts, Time now)
{
    for (const PartKey part : parts)
        lastCleared_[part] = now;
    clear(parts, now);
}

std::vector<PartKey> PartQuarantine::clear(std::span<const PartKey> parts, Time now)
{
    std::vector<PartKey> cleared;
    for (const PartKey part : parts) {
        bool wasSuspect = lapsed_.erase(part) > 0 || quarantined_.contains(part);
        for (Crash &crash : crashes_)
            wasSuspect = crash.suspects.erase(part) > 0 || wasSuspect;
        if (!wasSuspect)
            continue;
        lastCleared_[part] = now;
        lift(part);
        cleared.push_back(part);
    }
    if (!cleared.empty()) {
        expire(now);
        updateVerdicts(now);
    }
    return cleared;
}

void PartQuarantine::adopt(const QuarantinedPart &part, Time now)
{
    expire(now);
    if (part.remaining <= milliseconds::zero() || lastCleared_.contains(part.part))
        return;
    quarantine(part.part, now + std::min(part.remaining, options_.duration), true, now);
    updateVerdicts(now);
}

std::optional<milliseconds> PartQuarantine::remaining(std::span<const PartKey> parts,
                                                      Time now) const
{
    std::optional<milliseconds> longest;
    if (quarantined_.empty())
        return longest;
    for (const PartKey part : parts) {
        const auto found = quarantined_.find(part);
        if (found == quarantined_.end() || found->second.until <= now)
            continue;
        const auto left = duration_cast<milliseconds>(found->second.until - now);
        longest = std::max(longest.value_or(left), left);
    }
    return longest;
}

std::vector<QuarantinedPart> PartQuarantine::active(Time now) const
{
    std::vector<QuarantinedPart> parts;
    for (const auto &[part, quarantine] : quarantined_) {
        if (quarantine.until > now)
            parts.push_back({ part, duration_cast<milliseconds>(quarantine.until - now) });
    }
    return parts;
}

std::vector<QuarantineChange> PartQuarantine::takeChanges()
{
    return std::exchange(changes_, {});
}

std::size_t PartQuarantine::crashesWith(PartKey part) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            crashes_, [part](const Crash &crash) { return crash.suspects.contains(part); }));
}

std::optional<PartKey> PartQuarantine::bestSuspect(const std::vector<const Crash *> &crashes) const
{
    struct Evidence
    {
        std::size_t runs = 0;
        std::size_t position = 0;
        std::vector<std::uint64_t> requests{};
        Time first = Time::max();
        Time last = Time::min();
    };
    std::map<PartKey, Evidence> evidenceByPart;
    for (const Crash *crash : crashes) {
        for (const auto &[part, suspicion] : crash->suspects) {
            Evidence &evidence = evidenceByPart[part];
            ++evidence.runs;
            evidence.position = std::max(evidence.position, suspicion.position);
            evidence.first = std::min(evidence.first, crash->at);
            evidence.last = std::max(evidence.last, crash->at);
            for (const std::uint64_t request : suspicion.requests) {
                if (std::ranges::find(evidence.requests, request) == evidence.requests.end())
                    evidence.requests.push_back(request);
            }
        }
    }
    std::optional<PartKey> best;
    // Among equals, the later part of a prompt affects fewer requests.
    const auto rank = [&evidenceByPart](PartKey part) {
        const Evidence &evidence = evidenceByPart.at(part);
        return std::tuple(evidence.runs, evidence.position, evidence.requests.size(), part);
    };
    for (const auto &[part, evidence] : evidenceByPart) {
        if (evidence.runs >= options_.minRuns && evidence.requests.size() >= options_.minRequests
            && evidence.last - evidence.first >= options_.minSpan
            && (!best || rank(part) > rank(*best)))
            best = part;
    }
    return best;
}

std::vector<PartKey> PartQuarantine::explain(const std::vector<PartKey> &known) const
{
    std::vector<const Crash *> unexplained;
    for (const Crash &crash : crashes_) {
        const auto isSuspect = [&crash](PartKey part) { return crash.suspects.contains(part); };
        if (std::ranges::none_of(known, isSuspect))
            unexplained.push_back(&crash);
    }
    std::vector<PartKey> verdicts;
    while (const auto part = bestSuspect(unexplained)) {
        verdicts.push_back(*part);
        std::erase_if(unexplained,
                      [&part](const Crash *crash) { return crash->suspects.contains(*part); });
    }
    return verdicts;
}

bool PartQuarantine::isExplainedAway(PartKey part, const std::vector<PartKey> &verdicts) const
{
    bool isSuspect = false;
    for (const Crash &crash : crashes_) {
        if (!crash.suspects.contains(part))
            continue;
        isSuspect = true;
        const auto explains = [&](PartKey other) {
            return other != part && crash.suspects.contains(other);
        };
        if (std::ranges::none_of(verdicts, explains))
            return false;
    }
    return isSuspect;
}

void PartQuarantine::updateVerdicts(Time now)
{
    std::vector<PartKey> known;
    for (const auto &[part, quarantine] : quarantined_) {
        if (quarantine.isAdopted)
            known.push_back(part);
    }
    const std::vector<PartKey> verdicts = explain(known);
    const auto isVerdict = [&verdicts](PartKey part) {
        return std::ranges::find(verdicts, part) != verdicts.end();
    };
    std::vector<PartKey> lifted;
    for (const auto &[part, quarantine] : quarantined_) {
        if (quarantine.isAdopted || isVerdict(part))
            continue;
        if (isExplainedAway(part, verdicts))
            lifted.push_back(part);
        else
            known.push_back(part);
    }
    for (const PartKey part : lifted)
        lift(part);
    // Quarantines whose evidence has expired explain later crashes, too.
    for (const PartKey part : explain(known)) {
        if (!quarantined_.contains(part))
            quarantine(part, now + options_.duration, false, now);
    }
}

void PartQuarantine::quarantine(PartKey part, Time until, bool isAdopted, Time now)
{
    lapsed_.erase(part);
    const auto [entry, isNew] =
            quarantined_.try_emplace(part, Quarantine{ .until = until, .isAdopted = isAdopted });
    entry->second.until = std::max(entry->second.until, until);
    if (isNew)
        changes_.push_back({ .part = { part, duration_cast<milliseconds>(until - now) },
                             .isQuarantined = true,
                             .isAdopted = isAdopted,
                             .crashes = crashesWith(part) });
}

void PartQuarantine::lift(PartKey part)
{
    const auto found = quarantined_.find(part);
    if (found == quarantined_.end())
        return;
    changes_.push_back({ .part = { part, milliseconds::zero() },
                         .isQuarantined = false,
                         .isAdopted = found->second.isAdopted,
                         .crashes = crashesWith(part) });
    quarantined_.erase(found);
}

void PartQuarantine::expire(Time now)
{
    std::erase_if(crashes_,
                  [&](const Crash &crash) { return crash.at + options_.crashLifetime <= now; });
    std::erase_if(lastCleared_,
                  [&](const auto &entry) { return entry.second + options_.crashLifetime <= now; });
    std::erase_if(lapsed_, [&](const auto &entry) { return entry.second <= now; });
    std::erase_if(quarantined_, [&](const auto &entry) {
        if (entry.second.until > now)
            return false;
        lapsed_[entry.first] = entry.second.until + options_.duration;
        return true;
    });
}

} // namespace chervilfield::quarantine
