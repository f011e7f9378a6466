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
    std::uint32_t prefillTokens = 0; ///< Prompt tokens of requests without a first token.
    std::uint32_t requests = 0;
};

/// In-flight work at one target in the form that daemons exchange. `classes` is indexed by
/// `routing::WorkClass`.
struct TargetWork
{
    routing::TargetId target = 0;
    std::array<ClassWork, routing::kClasses> classes{};
};

/// Converts a ledger entry to the form that daemons exchange.
TargetWork toTargetWork(const routing::DigestEntry &entry);

/// Converts the work that other daemons report to the ledger's form. Short work counts as
/// interactive and long work as batch, because the exchanged form has no priorities.
routing::DigestEntry toDigestEntry(const TargetWork &work);

} // namespace chervilfield::traffic
