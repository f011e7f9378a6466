#pragma once

#include "support/report.h"

#include <cstdint>
#include <vector>

namespace chervilfield::bench {

/// Compares the adaptive concurrency limit with a gradient limit and with fixed limits on a
/// simulated engine, over several loads and a phase in which the engine is slowed. The value of
/// each row is that of `admission::updateLimit`.
std::vector<Row> compareLimits(std::uint64_t seed);

} // namespace chervilfield::bench
