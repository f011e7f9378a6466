#include "membership/load_digest.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::membership {

namespace {

// Twice the daemons and four times the targets of the design scale. Datagrams are not
// authenticated, so the memory that they can make this daemon allocate is bounded.
constexpr std::size_t kMaxReporters = 720;
constexpr std::size_t kMaxTargets = 3440;

bool differsSignificantly(std::uint32_t value, std::uint32_t sent, std::uint32_t minChange,
                          double minShare)
{
    const std::uint32_t change = value > sent ? value - sent : sent - value;
    return change >= minChange && change >= minShare * sent;
}

bool isSignificantChange(const TargetLoad &load, const TargetLoad &sent,
                         const LoadDigestOptions &options)
{
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
        if (differsSignificantly(load.classes[i].prefillTokens, sent.classes[i].prefillTokens,
                                 options.minPrefillTokenChange, options.minRelativeChange)
            || differsSignificantly(load.classes[i].requests, sent.classes[i].requests,
                                    options.minRequestChange, options.minRelativeChange))
            return true;
    }
    return false;
}

void add(TargetLoad &sum, const TargetLoad &load)
{
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
        sum.classes[i].prefillTokens += load.classes[i].prefillTokens;
        sum.classes[i].requests += load.classes[i].requests;
    }
}

} // namespace

TargetKey targetKey(std::string_view targetName)
{
    return static_cast<TargetKey>(base::hash64(targetName));
}

std::vector<LoadEntry> takeChanges(SentLoads &sent, std::span<const LoadEntry> current,
                                   TimePoint now, const LoadDigestOptions &options)
{
    std::vector<LoadEntry> changes;
    if (now - sent.lastSent < options.minSendInterval)
        return changes;
    std::map<TargetKey, TargetLoad> loads;
    for (const LoadEntry &entry : current) {
        if (entry.load != TargetLoad())
            loads[entry.target] = entry.load;
    }
    for (const auto &[target, load] : loads) {
        const auto found = sent.targets.find(target);
        const bool known = found != sent.targets.end();
        const bool due = known && now - found->second.sentAt >= options.refreshInterval;
        if (!due
            && !isSignificantChange(load, known ? found->second.load : TargetLoad(), options)) {
            // An insignificant load that was never sent becomes due after one refresh interval.
            if (!known)
                sent.targets[target] = { TargetLoad(), now };
            continue;
        }
        changes.push_back({ target, load });
        sent.targets[target] = { load, now };
    }
    std::erase_if(sent.targets, [&](const auto &item) {
        const bool ended = !loads.contains(item.first);
        if (ended && item.second.load != TargetLoad())
            changes.push_back({ item.first, {} });
        return ended;
    });
    if (!changes.empty())
        sent.lastSent = now;
    return changes;
}

void recordReport(ReportedLoads &reported, std::string_view reporter, std::uint64_t life,
                  std::span<const LoadEntry> entries, TimePoint now)
{
    auto found = reported.reporters.find(reporter);
    if (found == reported.reporters.end()) {
        if (reported.reporters.size() >= kMaxReporters)
            return;
        found = reported.reporters.emplace(reporter, ReportedLoads::Reporter()).first;
    }
    ReportedLoads::Reporter &state = found->second;
    if (life < state.life)
        return;
    if (life > state.life)
        state = { .life = life, .lastReport = now, .targets = {}, .sentSums = {} };
    state.lastReport = now;
    for (const LoadEntry &entry : entries) {
        if (entry.load == TargetLoad())
            state.targets.erase(entry.target);
        else if (state.targets.size() < kMaxTargets || state.targets.contains(entry.target))
            state.targets[entry.target] = { entry.load, now };
    }
}

std::vector<LoadEntry> takeSums(ReportedLoads &reported, std::string_view reporter, TimePoint now,
                                const LoadDigestOptions &options)
{
    const auto found = reported.reporters.find(reporter);
    if (found == reported.reporters.end())
        return {};
    std::map<TargetKey, TargetLoad> sums;
    for (const auto &[name, other] : reported.reporters) {
        if (name == reporter)
            continue;
        for (const auto &[target, report] : other.targets)
            add(sums[target], report.load);
    }
    std::vector<LoadEntry> entries;
    entries.reserve(sums.size());
    for (const auto &[target, load] : sums)
        entries.push_back({ target, load });
    return takeChanges(found->second.sentSums, entries, now, options);
}

void expireSums(ReceivedSums &receivedSums, TimePoint now, const LoadDigestOptions &options)
{
    std::erase_if(receivedSums.targets,
                  [&](const auto &item) { return now - item.second.receivedAt >= options.maxAge; });
}

void expireReports(ReportedLoads &reported, TimePoint now, const LoadDigestOptions &options)
{
    for (auto &[name, reporter] : reported.reporters) {
        std::erase_if(reporter.targets, [&](const auto &target) {
            return now - target.second.reportedAt >= options.maxAge;
        });
    }
    std::erase_if(reported.reporters,
                  [&](const auto &item) { return now - item.second.lastReport >= options.maxAge; });
}

void mergeSums(ReceivedSums &receivedSums, std::span<const LoadEntry> sums, TimePoint now)
{
    for (const LoadEntry &entry : sums) {
        if (receivedSums.targets.size() < kMaxTargets
            || receivedSums.targets.contains(entry.target))
            receivedSums.targets[entry.target] = { entry.load, now };
    }
}

std::optional<OthersLoad> othersLoad(const ReceivedSums &receivedSums, TargetKey target,
                                     TimePoint now, const LoadDigestOptions &options)
{
    const auto found = receivedSums.targets.find(target);
    if (found == receivedSums.targets.end() || now - found->second.receivedAt >= options.maxAge)
        return std::nullopt;
    return OthersLoad{ found->second.load, now - found->second.receivedAt };
}

} // namespace chervilfield::membership
