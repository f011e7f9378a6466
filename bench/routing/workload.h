#pragma once

#include "routing/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::bench {

using routing::Cost;

/// Numbers of blocks on the levels of shared prefixes: dossier, school and badge, or catalogue,
/// franchise and quote.
inline constexpr std::uint32_t kLevelBlocks[] = { 4, 2, 1 };

/// Parameters of the generated requests; some are flags of the bench.
struct Workload
{
    std::uint64_t seed = 1;
    double skew = 1.0; ///< Zipf exponent of the popularity on each level.
    std::size_t engines = 9;
    std::size_t daemons = 6;
    double cacheRatio = 0.25;      ///< Total cache size over the number of shared blocks.
    double longShare = 0.25;       ///< Share of long requests among all.
    double requestsPerEngine = 10; ///< Requests per second and engine on the plateau.
    std::size_t dossiers = 60;
    std::size_t schools = 5; ///< Per dossier.
    std::size_t badges = 6;  ///< Per school.
    std::vector<double> customerWeights{ 30, 25, 15, 10, 8, 6, 4, 2 };
    Cost duration{ 120 };
    Cost hotSetInterval{ 20 }; ///< Time after which other dossiers become popular.
    Cost peakStart{};          ///< From here, demand rises to three times within two seconds.
    Cost peakEnd{};            ///< Zero means no peak.
    bool includesLong = true;  ///< If false, only the short requests of the same workload arrive.
};

/// One request as a daemon receives it.
struct Arrival
{
    Cost at{}; ///< Time since the start of the run.
    std::uint32_t daemon = 0;
    std::uint32_t customer = 0;
    routing::WorkClass workClass = routing::WorkClass::Short;
    std::vector<std::uint64_t> chain{};
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Returns the number of different blocks in the shared prefixes of all prompts.
std::size_t sharedBlocks(const Workload &workload);

/// Returns the arrivals in order of time. They depend on the workload only, so that policies are
/// compared on the same arrivals.
std::vector<Arrival> generateArrivals(const Workload &workload);

} // namespace chervilfield::bench
