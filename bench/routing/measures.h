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

/// Returns the variance between engines of the short requests sent to them in intervals of 100 ms,
/// relative to independent random choices; above 1, daemons follow each other.
double herding(const RunResult &run, std::size_t engines);

/// Returns how long after `crestEnd` service stays worse than before the crest: until the end of
/// the last half second in which the 90th percentile of the time to first token exceeds 1.5 times
/// that of the worst half second of the plateau.
Cost recoveryTime(const RunResult &run, Cost plateauStart, Cost peakStart, Cost peakEnd);

} // namespace chervilfield::bench
