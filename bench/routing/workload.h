#pragma once

#include "routing/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::bench {

using routing::Cost;

/// Levels of shared prefixes: dossier, school and badge, or catalogue, franchise and quote.
inline constexpr std::uint32_t kLevelBlocks[] = { 4, 2, 1 };

/// Settings of one run; the flags of the bench set them.
struct Workload
{
    std::uint64_t seed = 1;
    double skew = 1.0; ///< Zipf exponent of the popularity on each level.
    std::size_t engines = 9;
    std::size_t daemons = 6;
    double cacheRatio = 0.25;      ///< Cache of all engines over the blocks of all prompts.
    double longShare = 0.25;       ///< Share of long requests among all.
    double requestsPerEngine = 10; ///< Requests per second and engine on the plateau.
    std::size_t dossiers = 60;
    std::size_t schools = 5; ///< Per dossier.
    std::size_t badges = 6;  ///< Per school.
    std::vector<double> customerWeights{ 30, 25, 15, 10, 8, 6, 4, 2 };
    Cost duration{ 120 };
    Cost hotSetInterval{ 20 }; ///< The popular dossiers change this often.
    Cost peakStart{};          ///< Demand triples within two seconds; zero means no crest.
    Cost peakEnd{};
    bool includesLong = true; ///< Without it, long requests are left out and short ones unchanged.
};

/// One request as a daemon receives it.
struct Arrival
{
    Cost at{}; ///< Since the start of the run.
    std::uint32_t daemon = 0;
    std::uint32_t customer = 0;
    routing::WorkClass workClass = routing::WorkClass::Short;
    std::vector<std::uint64_t> chain{};
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Returns the blocks that all prompts of the workload share.
std::size_t sharedBlocks(const Workload &workload);

/// Returns the arrivals in order. They depend on the workload alone, so that policies can be
/// compared on the same arrivals.
std::vector<Arrival> generateArrivals(const Workload &workload);

} // namespace chervilfield::bench
