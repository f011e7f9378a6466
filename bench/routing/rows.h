#pragma once

#include "support/report.h"
#include "simulation.h"

namespace chervilfield::bench {

/// Measures all rows of the bench. `settings` are those of the run under steady demand; `slowed` is
/// the number of slowed engines in the rows about slowed targets.
std::vector<Row> measureRows(const RunSettings &settings, std::size_t slowed);

} // namespace chervilfield::bench
