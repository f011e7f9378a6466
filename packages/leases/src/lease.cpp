#include "leases/lease.h"

#include "base/result.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilfield::leases {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

/// Returns the duration on a local clock after which at least `real` has passed.
milliseconds localUpperBound(milliseconds real, const ClockBounds &clocks)
{
    const double local = static_cast<double>(real.count()) * (1.0 + clocks.maxRateError);
    return milliseconds(static_cast<milliseconds::rep>(std::ceil(local)));
}

/// Returns the duration on a local clock within which at most `real` passes.
milliseconds localLowerBound(milliseconds real, const ClockBounds &clocks)
{
    const double local = static_cast<double>(real.count()) * (1.0 - clocks.maxRateError);
    return milliseconds(static_cast<milliseconds::rep>(std::floor(local)));
}

std::optional<milliseconds> findDuration(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    const std::int64_t *ms = value ? value->if_int64() : nullptr;
    if (!ms || *ms < 0)
        return std::nullopt;
    return milliseconds(*ms);
}

const json::string *findString(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value ? value->if_string() : nullptr;
}

} // namespace

std::string leaseKey(std::string_view engine)
{
    std::string key = "leases/";
    for (const char c : engine) {
        if (c == '/')
            key += "%2F";
        else if (c == '%')
            key += "%25";
        else
            key += c;
    }
    return key;
}

std::string encodeLease(const LeaseRow &row)
{
    return json::serialize(json::object{ { "holder", row.holder },
                                         { "fence", row.fence },
                                         { "durationMs", row.times.duration.count() },
                                         { "orderLifetimeMs", row.times.orderLifetime.count() },
                                         { "effectMs", row.times.effectDuration.count() },
                                         { "target", row.target } });
}

std::optional<LeaseRow> decodeLease(std::string_view text, std::error_code &error)
{
    boost::system::error_code parseError;
    const json::value value = json::parse(text, parseError);
    if (parseError || !value.is_object()) {
        error = base::Result::InvalidJson;
        return std::nullopt;
    }
    error = base::Result::InvalidField;
    const json::object &object = value.get_object();
    const json::string *holder = findString(object, "holder");
    const json::string *target = findString(object, "target");
    const json::value *fence = object.if_contains("fence");
    const auto duration = findDuration(object, "durationMs");
    const auto lifetime = findDuration(object, "orderLifetimeMs");
    const auto effectDuration = findDuration(object, "effectMs");
    if (!holder || !target || !fence || !fence->is_number() || !duration || !lifetime
        || !effectDuration)
        return std::nullopt;
    boost::system::error_code numberError;
    const auto number = fence->to_number<std::uint64_t>(numberError);
    if (numberError)
        return std::nullopt;
    error.clear();
    return LeaseRow{ .holder = std::string(*holder),
                     .fence = number,
                     .times = { *duration, *lifetime, *effectDuration },
                     .target = std::string(*target) };
}

Observation observe(const std::optional<Observation> &last, std::uint64_t version, SteadyTime now,
                    std::uint64_t era)
{
    // An older version is a stale read, because versions in an era of the store only increase.
    if (last && std::pair(era, version) <= std::pair(last->era, last->version))
        return *last;
    return { .version = version, .firstSeen = now, .era = era };
}

bool isFromEarlierEra(const std::optional<LeaseRow> &row, std::uint64_t era)
{
    return era > 0 && (!row || row->fence < firstFence(era));
}

milliseconds takeoverWait(const LeaseRow &row, FencingMode mode, const ClockBounds &clocks)
{
    milliseconds real = row.times.duration;
    if (mode == FencingMode::Ignored || row.times.effectDuration > milliseconds::zero())
        real += row.times.orderLifetime + clocks.maxWallOffset + row.times.effectDuration;
    return localUpperBound(real, clocks);
}

bool canTake(const LeaseRow &row, const Observation &observation, FencingMode mode,
             const ClockBounds &clocks, SteadyTime now)
{
    return row.holder.empty() || now - observation.firstSeen >= takeoverWait(row, mode, clocks);
}

LeaseRow takenRow(const std::optional<LeaseRow> &current, const LeaseRequest &request)
{
    return { .holder = request.holder,
             .fence = std::max(current ? current->fence + 1 : 1, request.minFence),
             .times = request.times,
             .target = request.target };
}

SteadyTime validUntil(const HeldLease &heldLease, const ClockBounds &clocks)
{
    return heldLease.sentAt + localLowerBound(heldLease.row.times.duration, clocks);
}

void recordRenewal(HeldLease &heldLease, std::uint64_t version, SteadyTime sentAt,
                   WallTime sentAtWall)
{
    heldLease.version = version;
    heldLease.sentAt = sentAt;
    heldLease.sentAtWall = sentAtWall;
}

std::optional<OrderGuard> authorize(HeldLease &heldLease, const ClockBounds &clocks, SteadyTime now,
                                    WallTime wallNow)
{
    if (now < heldLease.sentAt || now >= validUntil(heldLease, clocks))
        return std::nullopt;
    const LeaseTimes &times = heldLease.row.times;
    const WallTime latest = heldLease.sentAtWall + times.duration;
    const WallTime expires = std::min(wallNow, latest) + times.orderLifetime;
    // Counted from the end of the lease, because the order may be sent long after `now`.
    heldLease.busyUntil =
            validUntil(heldLease, clocks)
            + localUpperBound(times.orderLifetime + clocks.maxWallOffset + times.effectDuration,
                              clocks);
    return OrderGuard{ .fence = heldLease.row.fence, .expires = expires };
}

void recordOrdersSettled(HeldLease &heldLease)
{
    heldLease.busyUntil = SteadyTime();
}

std::optional<LeaseRow> releasedRow(const HeldLease &heldLease, SteadyTime now)
{
    if (now < heldLease.busyUntil)
        return std::nullopt;
    LeaseRow row = heldLease.row;
    row.holder.clear();
    row.target.clear();
    return row;
}

} // namespace chervilfield::leases
