#pragma once

#include "peers/datagram.h"

#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace chervilfield::peers {

// Returns datagrams of the kinds about quarantines with the largest permitted content.
inline std::vector<std::pair<std::string, Datagram>> largestQuarantineDatagrams()
{
    constexpr auto kPart = std::numeric_limits<std::int64_t>::max();
    quarantine::CrashReport report{ .run = { std::string(96, 'x'), kPart }, .suspects = {} };
    for (std::size_t i = 0; i < kMaxSuspectRequests; ++i)
        report.suspects.push_back({ kPart, { kPart, kPart } });
    report.suspects[0].parts.resize(2 + kMaxSuspectParts - 2 * kMaxSuspectRequests, kPart);
    const SharedQuarantine shared{ { kPart, kMaxQuarantineTime }, true };
    return { { "crash report", report },
             { "innocent parts",
               InnocentParts{ std::vector<quarantine::PartKey>(kMaxInnocentParts, kPart) } },
             { "quarantined parts",
               QuarantinedParts{ std::vector<SharedQuarantine>(kMaxQuarantinedParts, shared) } } };
}

// Returns datagrams of the kinds about usage with the largest permitted content.
inline std::vector<std::pair<std::string, Datagram>> largestUsageDatagrams()
{
    constexpr auto kKey = std::numeric_limits<std::int64_t>::max();
    return { { "usage report", UsageReport{ std::string(96, 'x'), kKey,
                                            std::vector<usage::UsageEntry>(kMaxUsageEntries,
                                                                           { kKey, kMaxUsage }) } },
             { "usage balances",
               UsageBalances{ std::vector<usage::UsageBalance>(kMaxUsageBalances,
                                                               { kKey, -kMaxUsage, kMaxUsage, -1 }),
                              kKey } } };
}

} // namespace chervilfield::peers
