#pragma once

#include "usage/types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilfield::usage {

/// Limit of a customer that is aggregated at this instance.
struct LedgerLimit
{
    CustomerKey customer = 0;
    fleet::UsageLimit limit;
    /// Balance of a new bucket; a positive value counts as 0. It passes on the debt that this
    /// instance has learned from the previous aggregation point.
    double initialBalance = 0;
    /// True if the balance at the previous aggregation point was scarce when it was last known.
    bool wasScarce = false;
};

/// Parameters of `UsageLedger`.
struct UsageLedgerOptions
{
    /// Time for which a new bucket sends no balance unless it is scarce. At its usual load, the
    /// balance has risen above the cost of several requests by then.
    std::chrono::milliseconds warmUp{ 300 };
    /// Time without a call from which this instance counts as having been frozen. The reports of
    /// the usage of that time are still to come, so its refill is not capped at the burst, and no
    /// balance is sent, until `warmUp` has passed.
    std::chrono::milliseconds minPause{ 400 };
    /// Time after which a reporter is forgotten.
    std::chrono::minutes reporterLifetime{ 10 };
    std::size_t maxReporters = 1024;
    /// Lower bound of a balance, in time of its refill. It limits the effect of a wrong report; a
    /// larger debt would matter only for windows of more than this time.
    std::chrono::seconds maxDebt{ 10 };
    /// Age of the usage in a balance when an instance uses it: intervals of reports and balances,
    /// and the time between the threads of both instances.
    std::chrono::milliseconds informationDelay{ 600 };
};

/// Balances of the customers that one instance aggregates, as token buckets that are charged with
/// the usage that the instances report. Not safe for concurrent use.
class UsageLedger
{
public:
    explicit UsageLedger(UsageLedgerOptions options = {}) : options_(options) {}

    /// Replaces the limits. A customer that was aggregated here before keeps its balance, capped at
    /// the new burst. The balance of a new one starts at most at 0, so that a new aggregation point
    /// never grants a second burst.
    void setLimits(std::span<const LedgerLimit> limits, Time now);

    /// Sets the share of the known instances that is live. The others may be serving their local
    /// share, so the balances are refilled at this share of the rate.
    void setLiveShare(double share, Time now);

    /// Charges the usage that an instance has reported since its last report. The first value of a
    /// counter only sets its base. If two successive entries have the same key, the first one is
    /// the base: the usage up to it was charged by another aggregation point, for example while
    /// this instance was frozen. Such usage is charged too, but never into debt. Reports of an
    /// earlier life are ignored; the first one of a new life replaces the counters.
    void record(const std::string &reporter, std::uint64_t life,
                std::span<const UsageEntry> entries, Time now);

    /// Returns the customers whose balance is scarce: below half of the burst, or consumed faster
    /// than it is refilled. All instances need to know it.
    std::vector<CustomerKey> scarceCustomers(Time now) const;

    /// Returns the life of a reporter in its last report; 0 if there is none.
    std::uint64_t reporterLife(const std::string &reporter) const;

    /// Returns the balance for a receiver, or no value if the customer is not aggregated here or
    /// its bucket is too new. `includedCost` is negative if the receiver has reported no usage of
    /// the customer in the given life.
    std::optional<UsageBalance> balance(CustomerKey customer, const std::string &receiver,
                                        Time now) const;

    /// Forgets the reporters that have not reported for `reporterLifetime`.
    void expire(Time now);

private:
    /// Usage reported recently, in slots of 50 ms.
    struct RecentUsage
    {
        struct Slot
        {
            std::int64_t index = -1;
            double sum = 0;
            double largest = 0;
        };
        std::array<Slot, 6> slots;
    };
    struct Bucket
    {
        fleet::UsageLimit limit;
        double balance = 0;
        Time updatedAt{};
        Time startedAt{};
        bool wasScarce = false;
        Time::duration pause{ 0 }; ///< Time for which this instance was frozen before `startedAt`.
        RecentUsage recent;
    };
    struct Reporter
    {
        std::uint64_t life = 0;
        Time lastReportAt{};
        std::unordered_map<CustomerKey, double> counters; ///< By key of a customer or its refunds.
    };

    /// Records a call at `now`, and the pause before it.
    void noticePause(Time now);
    double capacity(const Bucket &bucket, Time now) const;
    double currentBalance(const Bucket &bucket, Time now) const;
    double refillRate(const Bucket &bucket) const;
    void refill(Bucket &bucket, Time now) const;
    /// Charges a cost, or refunds a negative one.
    void charge(Bucket &bucket, double cost, Time now) const;
    /// Charges a cost as far as the balance is positive.
    void chargeToZero(Bucket &bucket, double cost, Time now) const;
    /// Returns the usage per second, without the largest report of each slot: a few large requests
    /// at the same time do not show that the customer uses more than its rate.
    static double recentRate(const Bucket &bucket, Time now);
    bool isScarce(const Bucket &bucket, Time now) const;
    /// Returns true if the balance of the bucket may be sent.
    bool isWarm(const Bucket &bucket, Time now) const;

    UsageLedgerOptions options_;
    double liveShare_ = 1;
    Time activeAt_{}; ///< Time of the last call.
    std::unordered_map<CustomerKey, Bucket> buckets_;
    std::unordered_map<CustomerKey, CustomerKey> customersByRefundKey_;
    std::map<std::string, Reporter> reporters_;
};

} // namespace chervilfield::usage
