#pragma once

#include "usage/types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilfield::usage {

/// Returns the cost of a request in the unit of the limit. `statedTokens` are the tokens that the
/// request states; a missing, negative or non-finite value is replaced by the customer's default.
double requestCost(const fleet::UsageLimit &limit, std::optional<double> statedTokens);

/// Returns true if the limit has a positive and finite rate and burst. A customer with another
/// limit is not limited.
bool isLimited(const fleet::UsageLimit &limit);

/// Refusal of a request of a customer that has used up its limit.
struct UsageRefusal
{
    std::chrono::milliseconds retryAfter{ 0 }; ///< Time at which the request would be admitted.
    double balance = 0;                        ///< Estimated balance, for logs.
};

/// Limits of `UsageLimiter`.
struct UsageLimiterOptions
{
    /// Time without an answer to newer usage after which a balance is no longer used, if it was at
    /// least half of the burst.
    std::chrono::milliseconds maxSilence{ 500 };
    /// The same for a balance that was used up; in between, the time grows linearly. A scarce
    /// balance is sent every 100 ms, and little of it is left for instances without contact.
    std::chrono::milliseconds minSilence{ 250 };
    /// Time after which a balance is no longer used if newer ones do not include older usage of
    /// this instance, because its reports do not arrive.
    std::chrono::milliseconds maxUnincluded{ 1200 };
    /// Time for which a used customer remains in `UsageLimiter::totals()`.
    std::chrono::milliseconds recentUse{ 2000 };
    /// Largest share of the burst at which an instance admits requests again after the balance was
    /// used up. Each instance draws its own share below it. If all instances resumed at the same
    /// moment, they would overdraw the balance again before they hear of each other.
    double maxResumeShare = 0.6;
    /// Debt as a share of the burst from which this applies. A single request or a new aggregation
    /// point, which starts at 0, causes less debt than a customer far above its limit.
    double minResumeDebt = 0.1;
    /// Lower bound of the capacity of a local share, in time of its refill.
    std::chrono::milliseconds minLocalBurst{ 100 };
    /// Upper bound of the debt at the start of a local share, in time of its refill, unless one
    /// request costs more.
    std::chrono::milliseconds maxLocalDebt{ 2000 };
    std::chrono::milliseconds maxRetryAfter{ 30'000 };
};

/// Counters for metrics and logs. They never decrease.
struct UsageCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t refunded = 0;
    std::uint64_t admittedLocally = 0; ///< Part of `admitted` decided by the local share.
    std::uint64_t refusedLocally = 0;  ///< Part of `refused` decided by the local share.
    std::uint64_t ignoredBalances = 0; ///< Balances of unknown customers or with invalid values.
};

/// Decides at one instance whether a request is within the usage limit of its customer. The limit
/// applies to all instances together: the decision uses the last balance from the customer's
/// aggregation point and this instance's own usage since then. Without a recent balance it uses the
/// instance's share of the limit. Not safe for concurrent use.
class UsageLimiter
{
public:
    /// `startedAt` is the start of the process; `seed` selects the jitter of `retryAfter`.
    explicit UsageLimiter(Time startedAt, std::uint64_t seed = 0, UsageLimiterOptions options = {})
        : startedAt_(startedAt), random_(seed), options_(options)
    {
    }

    /// Charges the cost and returns no value if the customer has a positive balance. Otherwise
    /// refuses the request, which is not charged. Admits every request of a customer without a
    /// limit.
    std::optional<UsageRefusal> admit(const std::string &customer, const fleet::UsageLimit &limit,
                                      double cost, Time now);

    /// Takes back the charge of an admitted request that no target has run.
    void refund(const std::string &customer, const fleet::UsageLimit &limit, double cost, Time now);

    /// Returns the usage of the customers that were used recently.
    std::vector<UsageTotal> totals(Time now) const;

    /// Applies balances that have just been received. Those of customers that this instance has not
    /// served yet are kept until it does.
    void applyBalances(std::span<const UsageBalance> balances, Time now);

    /// Sets the number of instances that are live and of all instances that are known, which also
    /// includes those that may be cut off. Both are taken as at least 1.
    void setInstances(std::size_t live, std::size_t known);

    const UsageCounters &counters() const { return counters_; }

private:
    struct Balance
    {
        double balance = 0;
        double ratePerSecond = 0;
        double includedCost = 0;
        Time receivedAt{};
    };
    /// This instance's part of a limit, while it has no usable balance.
    struct LocalShare
    {
        double balance = 0;
        double capacity = 0;
        Time updatedAt{};
    };
    /// State of a customer in one unit.
    struct Account
    {
        CustomerKey key = 0;
        fleet::UsageLimit limit;
        double cost = 0;
        double refunded = 0;
        double largestCost = 0; ///< Largest cost of an admitted request.
        std::optional<Time> lastUsedAt;
        std::optional<Balance> balance;
        /// First usage after the last balance; its time of receipt if it did not include all usage.
        std::optional<Time> unansweredSince;
        /// Time of the first usage that balances should include by now, but do not.
        std::optional<Time> unincludedSince;
        std::optional<LocalShare> local;
        /// Share of the burst at which it admits again; set while it refuses.
        std::optional<double> resumeShare;
        Time nextReturnAt{}; ///< Time up to which refused callers have been told to return.
    };
    static constexpr std::size_t kUnits = 2;

    Account &account(const std::string &customer, const fleet::UsageLimit &limit);
    /// Returns true if the last balance of the account may still be used.
    bool hasUsableBalance(const Account &account, Time now) const;
    /// Starts or refills the local share, or ends it if there is a usable balance. Returns the
    /// estimated balance.
    double updateEstimate(Account &account, Time now) const;
    static double estimateFromBalance(const Account &account, Time now);
    LocalShare startLocalShare(const Account &account, Time now) const;
    /// Returns the time after which the caller should return. `missing` is the balance that is
    /// missing before this instance admits again.
    std::chrono::milliseconds retryAfter(Account &account, double missing, double cost, Time now);
    double nextRandom();

    Time startedAt_;
    std::uint64_t random_;
    UsageLimiterOptions options_;
    std::size_t liveInstances_ = 1;
    std::size_t knownInstances_ = 1;
    std::unordered_map<std::string, std::array<std::optional<Account>, kUnits>> accounts_;
    std::unordered_map<CustomerKey, Account *> accountsByKey_;
    /// Balances of customers that this instance has not served yet.
    std::unordered_map<CustomerKey, Balance> unusedBalances_;
    UsageCounters counters_;
};

} // namespace chervilfield::usage
