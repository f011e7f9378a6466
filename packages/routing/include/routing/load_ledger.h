#pragma once

#include "routing/types.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace chervilfield::routing {

/// Work at one target. A request is waiting until its first token arrives, then running.
struct Work
{
    std::array<double, kPriorities> waitingTokens{}; ///< Uncached prompt tokens, by priority.
    /// Requests without a first token, by work class.
    std::array<std::uint32_t, kClasses> waiting{};
    /// Requests that generate tokens, by work class.
    std::array<std::uint32_t, kClasses> running{};
    Cost recentWork{}; ///< Decayed sum of the engine time of recently sent requests.
};

/// In-flight work of one daemon at one target, in the form that daemons exchange.
struct DigestEntry
{
    TargetId target = 0;
    Work work{};
};

/// One request in flight, from the decision until its end, as `LoadLedger` counts it. The caller
/// keeps it with the request and passes it to the functions below.
struct InFlightRequest
{
    TargetId target = 0;
    double tokens = 0; ///< Expected uncached prompt tokens.
    Cost work{};       ///< Expected engine time.
    WorkClass workClass = WorkClass::Short;
    Priority priority = Priority::Interactive;
    bool isRunning = false;
};

/// In-flight work per target: this daemon's own, which is counted immediately, and that of other
/// daemons, which their digests report. Load reports of targets are not used; see
/// docs/decisions/0001.
struct LoadLedger
{
    struct Entry
    {
        Work own;
        Time recentUpdated{}; ///< When `own.recentWork` was last decayed.
        Work peers;           ///< Sum over the entries of `digests` for this target.
    };
    struct Digest
    {
        std::vector<DigestEntry> entries;
        Time received{};
    };

    /// Time constant of the decay of `Work::recentWork`.
    std::chrono::milliseconds averagingTime{ 8000 };
    std::unordered_map<TargetId, Entry> targets;
    std::unordered_map<std::uint64_t, Digest> digests; ///< Latest digest, by sending daemon.
};

/// Counts a request that is about to be sent as waiting.
void addInFlightRequest(LoadLedger &ledger, const InFlightRequest &request, Time now);

/// Counts a request as running instead of waiting, after its first token has arrived.
void markRunning(LoadLedger &ledger, InFlightRequest &request);

/// Removes a request that has ended, whether it succeeded or not.
void removeInFlightRequest(LoadLedger &ledger, const InFlightRequest &request);

/// Replaces the previous digest of daemon `peer`. An empty digest removes the daemon.
void mergeDigest(LoadLedger &ledger, std::uint64_t peer, std::span<const DigestEntry> digest,
                 Time now);

/// Removes the digests that are older than `age`, so that a silent daemon no longer counts.
void expireDigests(LoadLedger &ledger, std::chrono::milliseconds age, Time now);

/// Returns this daemon's own in-flight work per target, without targets that have none.
std::vector<DigestEntry> ownDigest(const LoadLedger &ledger);

/// Returns the estimated work of all daemons at `target`, zero if none is known.
Work estimateWork(const LoadLedger &ledger, TargetId target);

/// Removes all work counted for a target, after its engine life has ended.
void forgetTarget(LoadLedger &ledger, TargetId target);

} // namespace chervilfield::routing
