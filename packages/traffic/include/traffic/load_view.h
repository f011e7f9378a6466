#pragma once

#include "routing/load_ledger.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::traffic {

/// In-flight work of one work class at one target.
struct ClassWork
{
    /// Uncached prompt tokens of requests without a first token.
    std::uint32_t prefillTokens = 0;
    std::uint32_t requests = 0; ///< Requests from the decision until their end.
};

/// In-flight work at one target in the form that daemons exchange. `classes` is indexed by
/// `routing::WorkClass`.
struct TargetWork
{
    routing::TargetId target = 0;
    std::array<ClassWork, routing::kClasses> classes{};
};

/// Converts a ledger entry to the form that daemons exchange. The tokens, which the ledger counts
/// by priority, are reported as short for interactive and as long for batch requests.
TargetWork toTargetWork(const routing::DigestEntry &entry);

/// Converts the work that other daemons report to the ledger's form. All requests count as running,
/// and the tokens of short work as interactive and of long work as batch, because the exchanged
/// form has no priorities and does not tell waiting requests from running ones.
routing::DigestEntry toDigestEntry(const TargetWork &work);

} // namespace chervilfield::traffic
