#pragma once

#include "base/boot_clock.h"
#include "fleet/configuration.h"

#include <cstdint>
#include <string_view>

/// Limits on the usage of customers over all instances together. Uses no sockets; the current time
/// is always passed in.
namespace chervilfield::usage {

using Time = base::BootClock::time_point;

/// Hash of a customer's name and of the unit of its limit. A limit whose unit changes therefore
/// starts a new bucket.
using CustomerKey = std::uint64_t;

/// Returns the key of a customer. The value is the same in all processes and releases.
CustomerKey customerKey(std::string_view customer, fleet::CostUnit unit);

/// Returns the key under which the refunds of a customer are reported. Costs and refunds are
/// separate counters that never decrease, so that reports may arrive in any order.
CustomerKey refundKey(CustomerKey customer);

/// Usage of a customer by one instance in the current life of its process.
struct UsageTotal
{
    CustomerKey customer = 0;
    double cost = 0;     ///< Cost of all requests that were admitted.
    double refunded = 0; ///< Part of `cost` that was refunded.
    /// Cost admitted beyond the local share of the instance, 0 while it has a balance. A new
    /// aggregation point charges it, because its predecessor may not have heard of it.
    double debt = 0;
    bool operator==(const UsageTotal &) const = default;
};

/// One cumulative counter of a report.
struct UsageEntry
{
    CustomerKey customer = 0; ///< Key of a customer or of its refunds.
    double cost = 0;
    bool operator==(const UsageEntry &) const = default;
};

/// Balance of a customer as its aggregation point sends it to an instance.
struct UsageBalance
{
    CustomerKey customer = 0;
    double balance = 0;
    double ratePerSecond = 0; ///< Current refill rate of the balance.
    /// Cost less refunds of the receiver that the balance includes.
    double includedCost = 0;
    bool operator==(const UsageBalance &) const = default;
};

} // namespace chervilfield::usage
