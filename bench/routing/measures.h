#pragma once

#include "simulation.h"

#include <optional>

namespace chervilfield::bench {

/// The arrivals that a measure covers: those in [from, until), of the given class if there is one.
struct Window
{
    Cost from{};
    Cost until = Cost::max();
    std::optional<routing::WorkClass> workClass{};
};

/// Returns the share of tokens in complete prompt blocks that were cached, over all answered
/// requests. Only long requests have such blocks. With `restarted`, only requests whose daemon had,
/// or had not, just restarted count.
double hitRate(const RunResult &run, const Window &window, std::optional<bool> restarted = {});

/// Returns the given quantile of the time to first token. A request without an answer counts with
/// 60 s, which stands for infinitely late.
Cost firstTokenQuantile(const RunResult &run, const Window &window, double quantile);

/// Returns the share of arrivals that were answered.
double answeredShare(const RunResult &run, const Window &window);

/// Returns the rate of answered requests whose first token came in [from, until).
double answersPerSecond(const RunResult &run, Cost from, Cost until);

/// Returns the variance between engines of the number of short requests sent to them in intervals
/// of 100 ms, relative to that of independent random choices. A value above 1 means that daemons
/// tend to choose the same engine at the same time.
double herding(const RunResult &run, std::size_t engines);

/// Returns how long after `peakEnd` the time to first token stays worse than before the peak: until
/// the end of the last half second in which its 90th percentile exceeds 1.5 times that of the worst
/// half second of the plateau.
Cost recoveryTime(const RunResult &run, Cost plateauStart, Cost peakStart, Cost peakEnd);

} // namespace chervilfield::bench
