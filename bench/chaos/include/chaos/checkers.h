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
    std::size_t exercised = 0; ///< How many records could have violated the property.
    std::vector<std::string> violations;
};

/// Limits of the properties, in milliseconds.
struct CheckLimits
{
    double maxConfigDelayMs = 5000;      ///< Invariant 9 of the design page.
    double maxWorkAfterLeavingMs = 3000; ///< Invariant 7 of the design page.
};

/// Every request is answered whole and in order, or is refused. Received text is a prefix of the
/// true answer. A request that was refused with `not-run` was not computed by any engine.
CheckResult checkStreams(const History &history);

/// No order was executed more than once.
CheckResult checkExecutions(const History &history);

/// No order of which a caller was told `not-run` was executed, and every order of which a caller
/// was told `ran` was.
CheckResult checkOrderReplies(const History &history);

/// The revision that an instance reports never decreases.
CheckResult checkConfigMonotone(const History &history);

/// Every report that an instance makes later than the limit after a change was accepted, and after
/// the instance became able to run, has at least the revision of the change.
CheckResult checkConfigInForce(const History &history, const CheckLimits &limits);

/// No target receives new work later than the limit after it was announced as leaving.
CheckResult checkLeftTargets(const History &history, const CheckLimits &limits);

/// A cache salt belongs to one customer and one version of the weights, and the first request of a
/// salt in an engine life finds nothing in the cache.
CheckResult checkCacheUse(const History &history);

/// A graceful stop cuts no response, and callers reach the instance until the addresses that they
/// were given have expired.
CheckResult checkGracefulStops(const History &history);

/// The operations on each row are linearizable as a compare-and-set register (Herlihy and Wing
/// 1990; search of Wing and Gong 1993 with the memory of visited states of Lowe 2017). A lost write
/// may have taken effect at any time after it was sent, or never.
CheckResult checkRows(const History &history);

/// Runs all checkers.
std::vector<CheckResult> checkAll(const History &history, const CheckLimits &limits = {});

} // namespace chervilfield::chaos
