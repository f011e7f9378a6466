#pragma once

#include "routing/decision.h"

namespace chervilfield::routing::internal {

/// Returns the number of rendezvous homes of a prefix with the given demand.
std::size_t homeCount(const PrefixDemand &demand, const Options &options);

/// Adds the candidates of `request` to `decision` and sets their `index`, `target` and `homeDepth`.
void selectCandidates(const Request &request, std::span<const Target> targets, const State &state,
                      const Options &options, Time now, Random &random, Decision &decision);

} // namespace chervilfield::routing::internal
