#include "membership/load_digest.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::membership {

namespace {

// Twice the daemons and four times the targets of the design scale. Datagrams are not
// authenticated, so what they can make this daemon store is bounded.
constexpr std::size_t kMaxReporters = 720;
constexpr std::size_t kMaxTargets = 3440;

bool differsMaterially(std::uint32_t value, std::uint32_t sent, std::uint32_t step, double share)
{
    const std::uint32_t change = value > sent ? value - sent : sent - value;
    return change >= step && change >= share * sent;
}

bool isMaterial(const TargetLoad &load, const TargetLoad &sent, const LoadDigestOptions &options)
{
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
        if (differsMaterially(load.classes[i].prefillTokens, sent.classes[i].prefillTokens,
                              options.minPrefillTokenChange, options.minRelativeChange)
            || differsMaterially(load.classes[i].requests, sent.classes[i].requests,
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
    if (now - sent.last < options.minSendInterval)
        return changes;
    std::map<TargetKey, TargetLoad> loads;
    for (const LoadEntry &entry : current) {
        if (entry.load != TargetLoad())
            loads[entry.target] = entry.load;
    }
    for (const auto &[target, load] : loads) {
        const auto found = sent.targets.find(target);
        const bool known = found != sent.targets.end();
        const bool due = known && now - found->second.at >= options.refreshInterval;
        if (!due && !isMaterial(load, known ? found->second.load : TargetLoad(), options)) {
            // An immaterial load that was never sent becomes due one refresh from now.
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
        sent.last = now;
    return changes;
}

void recordReport(ReportedLoads &board, std::string_view reporter, std::uint64_t life,
                  std::span<const LoadEntry> entries, TimePoint now)
{
    auto found = board.reporters.find(reporter);
    if (found == board.reporters.end()) {
        if (board.reporters.size() >= kMaxReporters)
            return;
        found = board.reporters.emplace(reporter, ReportedLoads::Reporter()).first;
    }
    ReportedLoads::Reporter &state = found->second;
    if (life < state.life)
        return;
    if (life > state.life)
        state = { .life = life, .lastReport = now, .targets = {}, .sums = {} };
    state.lastReport = now;
    for (const LoadEntry &entry : entries) {
        if (entry.load == TargetLoad())
            state.targets.erase(entry.target);
        else if (state.targets.size() < kMaxTargets || state.targets.contains(entry.target))
            state.targets[entry.target] = { entry.load, now };
    }
}

std::vector<LoadEntry> takeSums(ReportedLoads &board, std::string_view reporter, TimePoint now,
                                const LoadDigestOptions &options)
{
    const auto found = board.reporters.find(reporter);
    if (found == board.reporters.end())
        return {};
    std::map<TargetKey, TargetLoad> sums;
    for (const auto &[name, other] : board.reporters) {
        if (name == reporter)
            continue;
        for (const auto &[target, report] : other.targets)
            add(sums[target], report.load);
    }
    std::vector<LoadEntry> entries;
    entries.reserve(sums.size());
    for (const auto &[target, load] : sums)
        entries.push_back({ target, load });
    return takeChanges(found->second.sums, entries, now, options);
}

void expireSums(ReceivedSums &view, TimePoint now, const LoadDigestOptions &options)
{
    std::erase_if(view.targets,
                  [&](const auto &item) { return now - item.second.received >= options.maxAge; });
}

void expireReports(ReportedLoads &board, TimePoint now, const LoadDigestOptions &options)
{
    for (auto &[name, reporter] : board.reporters) {
        std::erase_if(reporter.targets,
                      [&](const auto &target) { return now - target.second.at >= options.maxAge; });
    }
    std::erase_if(board.reporters,
                  [&](const auto &item) { return now - item.second.lastReport >= options.maxAge; });
}

void mergeSums(ReceivedSums &view, std::span<const LoadEntry> sums, TimePoint now)
{
    for (const LoadEntry &entry : sums) {
        if (view.targets.size() < kMaxTargets || view.targets.contains(entry.target))
            view.targets[entry.target] = { entry.load, now };
    }
}

std::optional<OthersLoad> othersLoad(const ReceivedSums &view, TargetKey target, TimePoint now,
                                     const LoadDigestOptions &options)
{
    const auto found = view.targets.find(target);
    if (found == view.targets.end() || now - found->second.received >= options.maxAge)
        return std::nullopt;
    return OthersLoad{ found->second.load, now - found->second.received };
}

} // namespace chervilfield::membership
