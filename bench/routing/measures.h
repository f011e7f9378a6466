#pragma once

#include "simulation.h"

#include <optional>

namespace chervilfield::bench {

/// Arrivals that a measure covers: those within [from, until) of the given class.
struct Window
{
    Cost from{};
    Cost until = Cost::max();
    std::optional<routing::WorkClass> workClass{};
};

/// Returns cached over all tokens in complete prompt blocks of answered long requests.
double hitRate(const RunResult &run, const Window &window, std::optional<bool> restarted = {});

/// Returns the given quantile of the time to first token; a request without an answer counts as
/// infinitely late.
Cost firstTokenQuantile(const RunResult &run, const Window &window, double quantile);

/// Returns the share of arrivals that were answered.
double answeredShare(const RunResult &run, const Window &window);

/// Returns answered requests per second, by the time of their first tokens.
double answersPerSecond(const RunResult &run, Cost from, Cost until);

/// Returns the mean over intervals of 50 ms of the largest engine's share of the short requests of
/// all daemons, relative to an even spread; 1 is even.
double herding(const RunResult &run, std::size_t engines);

/// Returns how long after `crestEnd` requests still arrive into worse service than before the
/// crest: the end of the last half second in which the mean time to first token exceeds 1.5 times
/// the plateau's highest half second or fewer arrivals are answered.
Cost recoveryTime(const RunResult &run, Cost plateauStart, Cost crestStart, Cost crestEnd);

} // namespace chervilfield::bench
