#pragma once

#include "routing/types.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace chervilfield::routing {

/// Work at one target. Waiting work has no first token yet.
struct Work
{
    std::array<double, kPriorities> waitingTokens{}; ///< Uncached prompt tokens, by priority.
    std::array<std::uint32_t, kClasses> waiting{};   ///< Requests without a first token, by class.
    std::array<std::uint32_t, kClasses> running{};   ///< Requests that generate, by class.
    Cost recentWork{}; ///< Decayed sum of the engine time of requests sent lately.
};

/// In-flight work of one daemon at one target, as daemons exchange it.
struct DigestEntry
{
    TargetId target = 0;
    Work work{};
};

/// One request in flight, from the decision until its end. Keep it with the request and pass it to
/// the functions below.
struct InFlightRequest
{
    TargetId target = 0;
    double tokens = 0; ///< Expected uncached prompt tokens.
    Cost work{};       ///< Expected engine time.
    WorkClass workClass = WorkClass::Short;
    Priority priority = Priority::Interactive;
    bool running = false;
};

/// In-flight work per target: this daemon's own, counted at once, and the share of other daemons
/// from their digests. Load reports of targets are not used; see docs/decisions/0001.
struct LoadLedger
{
    struct Entry
    {
        Work own;
        Time recentUpdated{}; ///< When `own.recentWork` was decayed.
        Work peers;           ///< Sum over `digests`.
    };
    struct Digest
    {
        std::vector<DigestEntry> entries;
        Time received{};
    };

    /// Averaging time of `Work::recentWork`.
    std::chrono::milliseconds averagingTime{ 8000 };
    std::unordered_map<TargetId, Entry> targets;
    std::unordered_map<std::uint64_t, Digest> digests; ///< By sending daemon.
};

/// Counts a request that is about to be sent.
void addInFlightRequest(LoadLedger &ledger, const InFlightRequest &request, Time now);
/// Moves a request from waiting to running when its first token arrives.
void markRunning(LoadLedger &ledger, InFlightRequest &request);
/// Removes a request that has ended in any way.
void removeInFlightRequest(LoadLedger &ledger, const InFlightRequest &request);

/// Replaces what daemon `peer` reported before. An empty digest forgets the daemon.
void mergeDigest(LoadLedger &ledger, std::uint64_t peer, std::span<const DigestEntry> digest,
                 Time now);
/// Forgets daemons whose last digest is older than `age`.
void expireDigests(LoadLedger &ledger, std::chrono::milliseconds age, Time now);
/// Returns this daemon's own in-flight work per target, without idle targets.
std::vector<DigestEntry> ownDigest(const LoadLedger &ledger);

/// Returns the estimated work of all daemons at `target`.
Work estimateWork(const LoadLedger &ledger, TargetId target);

/// Forgets everything about a target's current work, after its engine life has ended.
void forgetTarget(LoadLedger &ledger, TargetId target);

} // namespace chervilfield::routing
