#pragma once

#include "support/report.h"

#include <cstdint>
#include <vector>

namespace chervilfield::bench {

/// Compares the adaptive concurrency limit of `admission::updateLimit` with a gradient limit, fixed
/// limits and no limit on a simulated engine, at several loads and with a phase in which the engine
/// is slowed. The value of each row is that of the adaptive limit, the others are baselines.
std::vector<Row> compareLimits(std::uint64_t seed);

} // namespace chervilfield::bench
