#pragma once

#include "engine_fake.h"
#include "routing/decision.h"
#include "routing/target_health.h"
#include "workload.h"

#include <string_view>
#include <vector>

namespace chervilfield::bench {

enum class Policy {
    RoundRobin,
    FewestOutstanding,
    PrefixHash,
    BoundedLoadHash,
    Chervilfield,
    CompleteKnowledge, ///< Sees every engine's cache and queue as they are.
};

std::string_view toString(Policy policy);

/// Information that daemons exchange; an ablation turns one off.
struct ExchangeOptions
{
    bool digests = true;
    bool demand = true;
    bool hints = true;
    bool health = true; ///< Daemons compare observed with predicted times.
};

struct RunSettings
{
    Workload workload{};
    Policy policy = Policy::Chervilfield;
    routing::Options options{};
    /// Engines slow down within milliseconds, so few samples of the last second decide.
    routing::HealthOptions health{ .window = std::chrono::milliseconds(1000),
                                   .updateInterval = std::chrono::milliseconds(100),
                                   .minSamples = 2 };
    ExchangeOptions exchange{};
    bool dropPlacements = false; ///< Ablation: the daemon forgets its placements at once.
    std::size_t slowed = 0;      ///< Engines that are five times slower most of the time.
    Cost restartInterval{};      ///< One daemon restarts this often; zero means never.
    Cost warmUp{ 10 };           ///< Arrivals before this are not measured.
};

enum class OutcomeKind { Refused, Abandoned, Answered };

/// What became of one arrival.
struct Outcome
{
    OutcomeKind kind = OutcomeKind::Refused;
    Cost firstToken{}; ///< Time from arrival to first token at the daemon.
    std::uint32_t target = 0;
    std::uint32_t cachedTokens = 0;
    bool restarted = false; ///< The daemon had restarted within the second before the arrival.
};

struct RunResult
{
    std::vector<Arrival> arrivals;
    std::vector<Outcome> outcomes; ///< One per arrival.
    std::uint64_t computedTokens = 0;
    std::uint64_t wastedTokens = 0; ///< Blocks computed while another engine had them.
};

/// Plays the arrivals of the workload against engine fakes under one policy.
RunResult simulate(const RunSettings &settings);

} // namespace chervilfield::bench
