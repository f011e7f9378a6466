#include "routing/load_ledger.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::routing {

namespace {

std::size_t indexOf(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

std::size_t indexOf(Priority priority)
{
    return static_cast<std::size_t>(priority);
}

void decrement(std::uint32_t &count)
{
    // A request can end after its target's life has ended and its work was removed.
    if (count > 0)
        --count;
}

void removeTokens(Work &work, const InFlightRequest &request)
{
    double &tokens = work.waitingTokens[indexOf(request.priority)];
    tokens = std::max(0.0, tokens - request.tokens);
}

/// Adds `change` to `sum`, or subtracts it if `add` is false.
void apply(Work &sum, const Work &change, bool add)
{
    for (std::size_t i = 0; i < kPriorities; ++i) {
        const double tokens = change.waitingTokens[i];
        sum.waitingTokens[i] = std::max(0.0, sum.waitingTokens[i] + (add ? tokens : -tokens));
    }
    for (std::size_t i = 0; i < kClasses; ++i) {
        sum.waiting[i] += add ? change.waiting[i] : -change.waiting[i];
        sum.running[i] += add ? change.running[i] : -change.running[i];
    }
    const Cost work = add ? change.recentWork : -change.recentWork;
    sum.recentWork = std::max(Cost(0), sum.recentWork + work);
}

void removeDigest(LoadLedger &ledger, const LoadLedger::Digest &digest)
{
    for (const DigestEntry &entry : digest.entries) {
        const auto found = ledger.targets.find(entry.target);
        if (found != ledger.targets.end())
            apply(found->second.peers, entry.work, false);
    }
}

} // namespace

void addInFlightRequest(LoadLedger &ledger, const InFlightRequest &request, Time now)
{
    LoadLedger::Entry &entry = ledger.targets[request.target];
    Work &own = entry.own;
    const Cost age = now - entry.recentUpdated;
    own.recentWork *= std::exp(-std::max(age.count(), 0.0) / Cost(ledger.averagingTime).count());
    own.recentWork += request.work;
    entry.recentUpdated = now;
    own.waitingTokens[indexOf(request.priority)] += request.tokens;
    ++own.waiting[indexOf(request.workClass)];
}

void markRunning(LoadLedger &ledger, InFlightRequest &request)
{
    Work &own = ledger.targets[request.target].own;
    removeTokens(own, request);
    decrement(own.waiting[indexOf(request.workClass)]);
    ++own.running[indexOf(request.workClass)];
    request.isRunning = true;
}

void removeInFlightRequest(LoadLedger &ledger, const InFlightRequest &request)
{
    Work &own = ledger.targets[request.target].own;
    if (request.isRunning) {
        decrement(own.running[indexOf(request.workClass)]);
        return;
    }
    removeTokens(own, request);
    decrement(own.waiting[indexOf(request.workClass)]);
}

void mergeDigest(LoadLedger &ledger, std::uint64_t peer, std::span<const DigestEntry> digest,
                 Time now)
{
    LoadLedger::Digest &stored = ledger.digests[peer];
    removeDigest(ledger, stored);
    stored.entries.assign(digest.begin(), digest.end());
    stored.received = now;
    for (const DigestEntry &entry : stored.entries)
        apply(ledger.targets[entry.target].peers, entry.work, true);
    if (digest.empty())
        ledger.digests.erase(peer);
}

void expireDigests(LoadLedger &ledger, std::chrono::milliseconds age, Time now)
{
    std::erase_if(ledger.digests, [&](const auto &item) {
        if (now - item.second.received <= age)
            return false;
        removeDigest(ledger, item.second);
        return true;
    });
}

std::vector<DigestEntry> ownDigest(const LoadLedger &ledger)
{
    std::vector<DigestEntry> digest;
    for (const auto &[target, entry] : ledger.targets) {
        const Work &own = entry.own;
        if (own.waiting[0] + own.waiting[1] + own.running[0] + own.running[1] > 0)
            digest.push_back({ target, own });
    }
    return digest;
}

Work estimateWork(const LoadLedger &ledger, TargetId target)
{
    const auto found = ledger.targets.find(target);
    if (found == ledger.targets.end())
        return {};
    const LoadLedger::Entry &entry = found->second;
    Work work = entry.own;
    apply(work, entry.peers, true);
    return work;
}

void forgetTarget(LoadLedger &ledger, TargetId target)
{
    ledger.targets.erase(target);
    for (auto &[peer, digest] : ledger.digests)
        std::erase_if(digest.entries,
                      [target](const DigestEntry &entry) { return entry.target == target; });
}

} // namespace chervilfield::routing
