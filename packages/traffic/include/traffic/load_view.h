#pragma once

#include "routing/load_ledger.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::traffic {

/// Work in flight of one class at one target.
struct ClassWork
{
    std::uint32_t prefillTokens = 0; ///< Of requests without a first token.
    std::uint32_t requests = 0;
};

/// Work in flight at one target as daemons exchange it, indexed by `routing::WorkClass`.
struct TargetWork
{
    routing::TargetId target = 0;
    std::array<ClassWork, routing::kClasses> classes{};
};

/// Returns what the ledger counts at a target in the form of the exchange.
TargetWork toTargetWork(const routing::DigestEntry &entry);

/// Returns the ledger's form of what other daemons report. Short work is taken as interactive and
/// long work as batch, because the exchange carries no priorities.
routing::DigestEntry toDigestEntry(const TargetWork &work);

} // namespace chervilfield::traffic
