#pragma once

#include "membership/member.h"
#include "peers/datagram.h"
#include "usage/usage_ledger.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilfield::peers {

/// Usage limit of a customer by the customer's name.
struct LimitedCustomer
{
    std::string customer;
    fleet::UsageLimit limit;
};

/// Parameters of `UsageExchange`.
struct UsageExchangeOptions
{
    /// Minimum time between two reports to one aggregation point.
    std::chrono::milliseconds reportInterval{ 50 };
    /// Time after which the usage of a recently used customer is reported again.
    std::chrono::milliseconds repeatInterval{ 500 };
    /// Minimum time between two scarce balances to one instance.
    std::chrono::milliseconds scarceInterval{ 100 };
    /// Minimum time between two other balances to one reporter.
    std::chrono::milliseconds replyInterval{ 250 };
    /// Maximum rate of bytes of all balances, with the headers of UDP and IP.
    double maxBalanceBytesPerSecond = 64'000;
    /// Maximum number of bytes of balances that are sent at once.
    double maxBalanceBurstBytes = 16'000;
};

/// Counters for metrics and logs. They never decrease.
struct UsageExchangeCounters
{
    std::uint64_t sentReports = 0;
    std::uint64_t sentBalances = 0;    ///< Datagrams.
    std::uint64_t sentBytes = 0;       ///< Estimate that includes the headers of UDP and IP.
    std::uint64_t delayedBalances = 0; ///< Balances that had to wait for the byte limit.
    std::uint64_t ignoredMessages = 0; ///< Messages that are not from an aggregation point.
    std::uint64_t takeovers = 0;       ///< Customers whose aggregation moved to this instance.
};

/// Exchanges the usage of customers with the other instances through one aggregation point per
/// customer. Reports the usage of this instance, keeps the balances of the customers that are
/// aggregated here and collects the balances that other aggregation points send. All functions run
/// on one thread.
class UsageExchange
{
public:
    /// Sends a datagram to a numeric "ip:port" address.
    using Send = std::function<void(const std::string &address, const Datagram &)>;

    /// `self` and `life` are the member name and the life of this instance.
    UsageExchange(std::string self, std::uint64_t life, Send send,
                  UsageExchangeOptions options = {}, usage::UsageLedgerOptions ledgerOptions = {});

    /// Replaces the members and the limited customers, and chooses the aggregation point of each
    /// customer among the live members with the widest link. Ignores limits that are not positive
    /// and finite. Must be called when the members or the configuration have changed.
    void assign(const std::vector<membership::Member> &members,
                const std::vector<LimitedCustomer> &limits, usage::Time now);

    /// Charges a report from the instance at `address`.
    void receive(const std::string &address, const UsageReport &report, usage::Time now);
    /// Stores balances from the aggregation point at `address`.
    void receive(const std::string &address, const UsageBalances &balances, usage::Time now);

    /// Sends the reports and balances that are due. `totals` is the usage of this instance by
    /// `usage::UsageLimiter::totals()`; `live` and `known` are the numbers of instances. Must be
    /// called every 50 ms.
    void tick(std::span<const usage::UsageTotal> totals, std::size_t live, std::size_t known,
              usage::Time now);

    /// Returns the balances that have arrived since the previous call, for
    /// `usage::UsageLimiter::applyBalances()`.
    std::vector<usage::UsageBalance> takeBalances();

    /// Returns the number of customers that are aggregated at this instance.
    std::size_t aggregatedCustomers() const;

    const UsageExchangeCounters &counters() const { return counters_; }

private:
    struct Customer
    {
        fleet::UsageLimit limit;
        std::string aggregator; ///< Member name; empty if no member is live.
        std::uint64_t aggregatorLife = 0;
        /// Last total of this instance.
        usage::UsageTotal total;
        /// Values that the balances of the aggregation point account for already. They are sent
        /// before the current ones until it has answered.
        double baseCost = 0;
        double baseRefunded = 0;
        bool isKnownToAggregator = false;
        bool hasBalance = false; ///< The aggregation point has sent one.
        double sentCost = 0;
        double sentRefunded = 0;
        std::optional<usage::Time> sentAt;
        /// Last balance from another instance.
        std::optional<usage::UsageBalance> lastBalance;
        usage::Time lastBalanceAt{};
    };
    struct Peer
    {
        std::string address;
        bool isLive = false;
        std::optional<usage::Time> reportedAt; ///< Time of the last report to it.
        std::optional<usage::Time> answeredAt; ///< Time of the last balances to it.
        /// Customers that it has reported since its last balances, or of which it needs a first
        /// one.
        std::vector<usage::CustomerKey> pending;
        bool hasReported = false; ///< It has reported usage since its last balances.
    };

    /// Returns the limit of a customer that is aggregated here from now on or already.
    static usage::LedgerLimit ledgerLimit(usage::CustomerKey key, const Customer &customer,
                                          usage::Time now);
    bool isReportDue(const Customer &customer, usage::Time now) const;
    /// Returns the entries to send and records them as sent.
    static std::vector<usage::UsageEntry> takeEntries(usage::CustomerKey key, Customer &customer,
                                                      usage::Time now);
    void report(std::span<const usage::UsageTotal> totals, usage::Time now);
    void sendReport(const std::string &aggregator, const std::vector<usage::UsageEntry> &entries,
                    usage::Time now);
    static void addPending(Peer &peer, const std::vector<usage::CustomerKey> &customers);
    void sendBalances(usage::Time now);
    /// Sends the balances that peers wait for, to those that have reported usage or to the others.
    /// Returns false if the byte limit did not permit all.
    bool sendPending(const std::vector<usage::CustomerKey> &scarce, bool hasReported,
                     usage::Time now);
    /// Sends balances to a peer. Returns false if the byte limit does not permit it.
    bool sendBalancesTo(const std::string &name, Peer &peer,
                        const std::vector<usage::CustomerKey> &customers, usage::Time now);
    /// Stores the balances of the customers that are aggregated here for this instance.
    void deliverOwnBalances(std::span<const usage::UsageTotal> totals, usage::Time now);
    void deliver(Customer &customer, usage::UsageBalance balance, bool isOwnLife);

    std::string self_;
    std::uint64_t life_;
    Send send_;
    UsageExchangeOptions options_;
    usage::UsageLedger ledger_;
    std::unordered_map<usage::CustomerKey, Customer> customers_;
    std::map<std::string, Peer> peers_; ///< All known instances but this one, by name.
    std::string nextPeer_;              ///< First peer of the next round of scarce balances.
    double availableBytes_;
    std::optional<usage::Time> lastTickAt_;
    std::unordered_map<usage::CustomerKey, usage::UsageBalance> received_;
    UsageExchangeCounters counters_;
};

} // namespace chervilfield::peers
