#pragma once

#include "chaos/history.h"

#include <cstddef>
#include <string>
#include <vector>

namespace chervilfield::chaos {

/// Result of checking one property.
struct CheckResult
{
    std::string property;
    std::size_t exercised = 0; ///< Number of records that could have violated the property.
    std::vector<std::string> violations;
};

/// Time limits of the properties, in milliseconds.
struct CheckLimits
{
    /// From the acceptance of a change until it is in force; invariant 9 of the design page.
    double maxConfigDelayMs = 5000;
    /// From the announcement that a target leaves to its last new request; invariant 7 of the
    /// design page.
    double maxWorkAfterLeavingMs = 3000;
};

/// Checks that every request is answered completely and in order or is refused, that received text
/// is a prefix of the expected answer, and that no engine computed a request that was refused with
/// `not-run`.
CheckResult checkStreams(const History &history);

/// Checks that no order was executed more than once.
CheckResult checkExecutions(const History &history);

/// Checks that no order that was reported to a caller as `not-run` was executed, and that every
/// order that was reported as `ran` was executed.
CheckResult checkOrderReplies(const History &history);

/// Checks that the revision that an instance reports never decreases.
CheckResult checkConfigMonotone(const History &history);

/// Checks that an instance reports at least the revision of a change once the limit has passed
/// since the change was accepted and since the instance became able to run.
CheckResult checkConfigInForce(const History &history, const CheckLimits &limits);

/// Checks that no target receives a new request later than the limit after it was announced as
/// leaving.
CheckResult checkLeftTargets(const History &history, const CheckLimits &limits);

/// Checks that each cache salt is used for one customer and one version of the weights only, and
/// that the first request with a salt in an engine life finds nothing in the cache.
CheckResult checkCacheUse(const History &history);

/// Checks that a graceful stop cuts no response, and that callers reach the instance until the
/// addresses that they were given have expired.
CheckResult checkGracefulStops(const History &history);

/// Checks that the operations on each row are linearizable as a compare-and-set register (Herlihy
/// and Wing 1990). Uses the search of Wing and Gong (1993) with the cache of visited states of Lowe
/// (2017). A lost write may have taken effect at any time after it was sent, or never.
CheckResult checkRows(const History &history);

/// Runs all checkers and returns one result for each property.
std::vector<CheckResult> checkAll(const History &history, const CheckLimits &limits = {});

} // namespace chervilfield::chaos
