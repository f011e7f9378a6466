#pragma once

#include "fake_engine.h"
#include "routing/decision.h"
#include "routing/target_health.h"
#include "workload.h"

#include <string_view>
#include <vector>

namespace chervilfield::bench {

/// Policy by which a daemon chooses an engine.
enum class Policy {
    RoundRobin,
    FewestOutstanding,
    PrefixHash,
    BoundedLoadHash,
    Chervilfield,
    CompleteKnowledge, ///< Knows the current cache and queue of each engine.
};

/// Returns the name of the policy in the report.
std::string_view toString(Policy policy);

/// Information that daemons exchange. An ablation disables one kind.
struct ExchangeOptions
{
    bool digests = true;
    bool demand = true;
    bool hints = true;
    bool health = true; ///< Daemons compare observed with predicted times.
};

/// Settings of one simulated run.
struct RunSettings
{
    Workload workload{};
    Policy policy = Policy::Chervilfield;
    routing::Options options{};
    /// Fake engines slow down within milliseconds, so a short window and few samples suffice.
    routing::HealthOptions health{ .window = std::chrono::milliseconds(1000),
                                   .updateInterval = std::chrono::milliseconds(100),
                                   .minSamples = 2 };
    ExchangeOptions exchange{};
    bool dropPlacements = false; ///< Ablation: daemons do not remember their placements.
    std::size_t slowed = 0;      ///< Engines that are five times slower most of the time.
    Cost restartInterval{};      ///< Time between restarts of single daemons; zero means none.
    Cost warmUp{ 10 };           ///< Most measures leave out arrivals before this time.
};

/// How a request ended.
enum class OutcomeKind { Refused, Abandoned, Answered };

/// The outcome of one arrival.
struct Outcome
{
    OutcomeKind kind = OutcomeKind::Refused;
    Cost firstToken{}; ///< Time from arrival to first token at the daemon.
    std::uint32_t target = 0;
    std::uint32_t cachedTokens = 0;
    bool restarted = false; ///< The daemon had restarted within the second before the arrival.
};

/// Results of one simulated run.
struct RunResult
{
    std::vector<Arrival> arrivals;
    std::vector<Outcome> outcomes; ///< One per arrival.
    std::uint64_t computedTokens = 0;
    std::uint64_t wastedTokens = 0; ///< Prefilled although another engine had the block cached.
};

/// Simulates the workload on fake engines under the policy of `settings`.
RunResult simulate(const RunSettings &settings);

} // namespace chervilfield::bench
