#include "peers/usage_exchange.h"

#include "base/hash.h"
#include "usage/usage_limiter.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace chervilfield::peers {

using std::chrono::milliseconds;
using usage::CustomerKey;
using usage::Time;
using usage::UsageBalance;
using usage::UsageEntry;

namespace {

// The interval of the ticks varies. An interval that has almost passed counts as passed, because
// the next tick would come much too late.
constexpr milliseconds kTickTolerance{ 15 };
// An older balance says nothing about the present one. A failed aggregation point is detected
// within a few seconds.
constexpr std::chrono::seconds kMaxBalanceAge{ 5 };
// Peers that are no members send reports until their membership is known here.
constexpr std::size_t kMaxPeers = 1024;
// Upper bounds of the encoded size with the headers of UDP and IPv6.
constexpr double kBalancesHeaderBytes = 72;
constexpr double kBalanceBytes = 35;
constexpr double kReportHeaderBytes = 85;
constexpr double kReportEntryBytes = 19;

bool hasPassed(const std::optional<Time> &since, milliseconds interval, Time now)
{
    return !since || now - *since >= interval - kTickTolerance;
}

// Returns the aggregation point of the customer: the candidate with the highest score.
const membership::Member *chooseAggregator(CustomerKey customer,
                                           std::span<const membership::Member *const> candidates)
{
    const auto best =
            std::ranges::max_element(candidates, {}, [customer](const membership::Member *member) {
                return std::pair(base::combineHash(customer, base::hash64(member->name)),
                                 std::string_view(member->name));
            });
    return best == candidates.end() ? nullptr : *best;
}

// Returns the live members with the widest link.
std::vector<const membership::Member *>
aggregationCandidates(const std::vector<membership::Member> &members)
{
    std::vector<const membership::Member *> candidates;
    std::uint32_t widest = 0;
    for (const membership::Member &member : members) {
        if (!membership::canTakeWork(member) || member.linkMbps < widest)
            continue;
        if (member.linkMbps > widest)
            candidates.clear();
        widest = member.linkMbps;
        candidates.push_back(&member);
    }
    return candidates;
}

} // namespace

UsageExchange::UsageExchange(std::string self, std::uint64_t life, Send send,
                             UsageExchangeOptions options, usage::UsageLedgerOptions ledgerOptions)
    : self_(std::move(self)), life_(life), send_(std::move(send)), options_(options),
      ledger_(ledgerOptions), availableBytes_(options.maxBalanceBurstBytes)
{
}

usage::LedgerLimit UsageExchange::ledgerLimit(CustomerKey key, const Customer &customer, Time now)
{
    usage::LedgerLimit limit{ .customer = key, .limit = customer.limit };
    if (!customer.lastBalance)
        return limit;
    // Since the last balance, the instances have probably used their local shares, which together
    // take the whole refill. Debt is therefore not reduced by the refill of this time.
    const auto age = now - customer.lastBalanceAt;
    if (age > kMaxBalanceAge)
        return limit;
    limit.initialBalance = std::min(0.0, customer.lastBalance->balance);
    limit.wasScarce = customer.lastBalance->balance < customer.limit.burst / 2;
    return limit;
}

void UsageExchange::assign(const std::vector<membership::Member> &members,
                           const std::vector<LimitedCustomer> &limits, Time now)
{
    std::map<std::string, Peer> peers;
    std::vector<std::string> newPeers;
    for (const membership::Member &member : members) {
        if (member.name == self_)
            continue;
        Peer &peer = peers[member.name];
        if (const auto previous = peers_.find(member.name); previous != peers_.end())
            peer = std::move(previous->second);
        else
            newPeers.push_back(member.name);
        peer.address = member.peerAddress;
        peer.isLive = member.state != membership::MemberState::Dead;
    }
    peers_ = std::move(peers);

    const auto candidates = aggregationCandidates(members);
    std::vector<usage::LedgerLimit> ledgerLimits;
    std::vector<CustomerKey> takenOver;
    std::set<CustomerKey> limited;
    for (const LimitedCustomer &entry : limits) {
        if (!usage::isLimited(entry.limit))
            continue;
        const CustomerKey key = usage::customerKey(entry.customer, entry.limit.unit);
        limited.insert(key);
        Customer &customer = customers_[key];
        customer.limit = entry.limit;
        const membership::Member *aggregator = chooseAggregator(key, candidates);
        const std::string name = aggregator == nullptr ? std::string() : aggregator->name;
        const std::uint64_t life = aggregator == nullptr ? 0 : aggregator->life;
        if (std::tie(name, life) != std::tie(customer.aggregator, customer.aggregatorLife)) {
            customer.aggregator = name;
            customer.aggregatorLife = life;
            customer.isKnownToAggregator = false;
            customer.baseCost = std::max(0.0, customer.total.cost - customer.total.debt);
            customer.baseRefunded = customer.total.refunded;
            customer.hasBalance = false;
            if (name == self_)
                takenOver.push_back(key);
        }
        if (name == self_)
            ledgerLimits.push_back(ledgerLimit(key, customer, now));
    }
    // The totals of a customer are kept while it has no limit: the counters of the limiter continue
    // when it gets one again.
    for (auto &[key, customer] : customers_) {
        if (!limited.contains(key)) {
            customer.aggregator.clear();
            customer.aggregatorLife = 0;
        }
    }
    ledger_.setLimits(ledgerLimits, now);
    counters_.takeovers += takenOver.size();
    // An instance without a balance uses its share, which may be less than one request. All
    // instances get a first balance, before they serve the customers.
    for (auto &[name, peer] : peers_)
        addPending(peer, takenOver);
    std::vector<CustomerKey> aggregated;
    aggregated.reserve(ledgerLimits.size());
    for (const usage::LedgerLimit &limit : ledgerLimits)
        aggregated.push_back(limit.customer);
    for (const std::string &name : newPeers)
        addPending(peers_[name], aggregated);
}

void UsageExchange::addPending(Peer &peer, const std::vector<CustomerKey> &customers)
{
    if (!peer.isLive)
        return;
    for (const CustomerKey customer : customers) {
        if (std::ranges::find(peer.pending, customer) == peer.pending.end())
            peer.pending.push_back(customer);
    }
}

void UsageExchange::receive(const std::string &address, const UsageReport &report, Time now)
{
    if (report.sender == self_) {
        ++counters_.ignoredMessages;
        return;
    }
    auto found = peers_.find(report.sender);
    if (found == peers_.end()) {
        if (peers_.size() >= kMaxPeers) {
            ++counters_.ignoredMessages;
            return;
        }
        found = peers_.emplace(report.sender, Peer{ .address = address }).first;
    }
    ledger_.record(report.sender, report.life, report.entries, now);
    std::vector<CustomerKey> reported;
    for (const UsageEntry &entry : report.entries) {
        const auto customer = customers_.find(entry.customer);
        if (customer != customers_.end() && customer->second.aggregator == self_)
            reported.push_back(entry.customer);
    }
    found->second.isLive = true;
    found->second.hasReported = true;
    addPending(found->second, reported);
}

void UsageExchange::receive(const std::string &address, const UsageBalances &balances, Time now)
{
    for (const UsageBalance &balance : balances.balances) {
        const auto found = customers_.find(balance.customer);
        const auto peer =
                found == customers_.end() ? peers_.end() : peers_.find(found->second.aggregator);
        if (peer == peers_.end() || peer->second.address != address) {
            ++counters_.ignoredMessages;
            continue;
        }
        Customer &customer = found->second;
        customer.lastBalance = balance;
        customer.lastBalanceAt = now;
        deliver(customer, balance, balances.receiverLife == life_);
    }
}

void UsageExchange::deliver(Customer &customer, UsageBalance balance, bool isOwnLife)
{
    customer.hasBalance = true;
    customer.isKnownToAggregator = isOwnLife && balance.includedCost >= 0;
    if (!customer.isKnownToAggregator)
        balance.includedCost = customer.baseCost - customer.baseRefunded;
    else if (balance.includedCost == customer.sentCost - customer.sentRefunded) {
        customer.baseCost = customer.sentCost;
        customer.baseRefunded = customer.sentRefunded;
    }
    received_[balance.customer] = balance;
}

void UsageExchange::tick(std::span<const usage::UsageTotal> totals, std::size_t live,
                         std::size_t known, Time now)
{
    const auto liveCount = static_cast<double>(std::max<std::size_t>(live, 1));
    const auto knownCount = static_cast<double>(std::max<std::size_t>(known, 1));
    ledger_.setLiveShare(liveCount / std::max(liveCount, knownCount), now);
    ledger_.expire(now);
    report(totals, now);
    deliverOwnBalances(totals, now);
    sendBalances(now);
}

bool UsageExchange::isReportDue(const Customer &customer, Time now) const
{
    const bool hasChanged = customer.total.cost != customer.sentCost
                            || customer.total.refunded != customer.sentRefunded;
    if (!hasChanged || customer.aggregator == self_)
        return hasChanged || hasPassed(customer.sentAt, options_.repeatInterval, now);
    const auto peer = peers_.find(customer.aggregator);
    return peer != peers_.end() && hasPassed(peer->second.reportedAt, options_.reportInterval, now);
}

std::vector<UsageEntry> UsageExchange::takeEntries(CustomerKey key, Customer &customer, Time now)
{
    std::vector<UsageEntry> entries;
    const usage::UsageTotal &total = customer.total;
    if (!customer.isKnownToAggregator)
        entries.push_back({ key, customer.baseCost });
    entries.push_back({ key, total.cost });
    if (total.refunded > 0) {
        if (!customer.isKnownToAggregator || total.refunded != customer.baseRefunded)
            entries.push_back({ usage::refundKey(key), customer.baseRefunded });
        entries.push_back({ usage::refundKey(key), total.refunded });
    }
    customer.sentCost = total.cost;
    customer.sentRefunded = total.refunded;
    customer.sentAt = now;
    return entries;
}

void UsageExchange::report(std::span<const usage::UsageTotal> totals, Time now)
{
    std::map<std::string, std::vector<UsageEntry>> entriesByAggregator;
    const auto flush = [&](const std::string &aggregator, std::vector<UsageEntry> &entries) {
        sendReport(aggregator, entries, now);
        entries.clear();
    };
    for (const usage::UsageTotal &total : totals) {
        const auto found = customers_.find(total.customer);
        if (found == customers_.end())
            continue;
        Customer &customer = found->second;
        customer.total = total;
        if (customer.aggregator.empty() || !isReportDue(customer, now))
            continue;
        const auto taken = takeEntries(total.customer, customer, now);
        auto &entries = entriesByAggregator[customer.aggregator];
        // The entries of a customer stay together, so that its cost and refunds match.
        if (entries.size() + taken.size() > kMaxUsageEntries)
            flush(customer.aggregator, entries);
        entries.insert(entries.end(), taken.begin(), taken.end());
    }
    for (auto &[aggregator, entries] : entriesByAggregator)
        flush(aggregator, entries);
}

void UsageExchange::sendReport(const std::string &aggregator,
                               const std::vector<UsageEntry> &entries, Time now)
{
    if (aggregator == self_) {
        ledger_.record(self_, life_, entries, now);
        return;
    }
    const auto peer = peers_.find(aggregator);
    if (peer == peers_.end())
        return;
    peer->second.reportedAt = now;
    ++counters_.sentReports;
    counters_.sentBytes += static_cast<std::uint64_t>(
            kReportHeaderBytes + kReportEntryBytes * static_cast<double>(entries.size()));
    send_(peer->second.address, UsageReport{ .sender = self_, .life = life_, .entries = entries });
}

void UsageExchange::deliverOwnBalances(std::span<const usage::UsageTotal> totals, Time now)
{
    const auto deliverOwn = [&](CustomerKey key, Customer &customer) {
        if (const auto balance = ledger_.balance(key, self_, now))
            deliver(customer, *balance, true);
    };
    for (const usage::UsageTotal &total : totals) {
        const auto found = customers_.find(total.customer);
        if (found != customers_.end() && found->second.aggregator == self_)
            deliverOwn(total.customer, found->second);
    }
    for (auto &[key, customer] : customers_) {
        if (customer.aggregator == self_ && !customer.hasBalance)
            deliverOwn(key, customer);
    }
}

void UsageExchange::sendBalances(Time now)
{
    if (lastTickAt_) {
        const std::chrono::duration<double> elapsed = now - *lastTickAt_;
        availableBytes_ = std::min(options_.maxBalanceBurstBytes,
                                   availableBytes_
                                           + options_.maxBalanceBytesPerSecond
                                                     * std::max(0.0, elapsed.count()));
    }
    lastTickAt_ = now;
    const auto scarce = ledger_.scarceCustomers(now);
    // Instances that serve the customers need the balances first.
    if (!sendPending(scarce, true, now) || !sendPending(scarce, false, now))
        return;
    if (scarce.empty() || peers_.empty())
        return;
    auto peer = peers_.lower_bound(nextPeer_);
    for (std::size_t i = 0; i < peers_.size(); ++i, ++peer) {
        if (peer == peers_.end())
            peer = peers_.begin();
        if (!peer->second.isLive
            || !hasPassed(peer->second.answeredAt, options_.scarceInterval, now))
            continue;
        if (!sendBalancesTo(peer->first, peer->second, scarce, now)) {
            nextPeer_ = peer->first;
            return;
        }
    }
}

bool UsageExchange::sendPending(const std::vector<CustomerKey> &scarce, bool hasReported, Time now)
{
    const auto interval = scarce.empty() ? options_.replyInterval : options_.scarceInterval;
    for (auto &item : peers_) {
        Peer &peer = item.second;
        if (peer.pending.empty() || peer.hasReported != hasReported
            || !hasPassed(peer.answeredAt, interval, now))
            continue;
        auto customers = peer.pending;
        std::ranges::copy_if(scarce, std::back_inserter(customers), [&](CustomerKey customer) {
            return std::ranges::find(peer.pending, customer) == peer.pending.end();
        });
        if (!sendBalancesTo(item.first, peer, customers, now))
            return false;
    }
    return true;
}

bool UsageExchange::sendBalancesTo(const std::string &name, Peer &peer,
                                   const std::vector<CustomerKey> &customers, Time now)
{
    UsageBalances message{ .balances = {}, .receiverLife = ledger_.reporterLife(name) };
    const double bytes =
            kBalancesHeaderBytes + kBalanceBytes * static_cast<double>(customers.size());
    if (availableBytes_ < std::min(bytes, options_.maxBalanceBurstBytes)) {
        ++counters_.delayedBalances;
        return false;
    }
    const auto send = [&] {
        const double size =
                kBalancesHeaderBytes + kBalanceBytes * static_cast<double>(message.balances.size());
        availableBytes_ -= size;
        counters_.sentBytes += static_cast<std::uint64_t>(size);
        ++counters_.sentBalances;
        send_(peer.address, message);
        message.balances.clear();
    };
    peer.pending.clear();
    peer.hasReported = false;
    for (const CustomerKey customer : customers) {
        if (const auto balance = ledger_.balance(customer, name, now))
            message.balances.push_back(*balance);
        else if (const auto found = customers_.find(customer);
                 found != customers_.end() && found->second.aggregator == self_)
            peer.pending.push_back(customer); // Its bucket is too new.
        if (message.balances.size() == kMaxUsageBalances)
            send();
    }
    if (!message.balances.empty())
        send();
    peer.answeredAt = now;
    return true;
}

std::vector<UsageBalance> UsageExchange::takeBalances()
{
    std::vector<UsageBalance> result;
    result.reserve(received_.size());
    for (const auto &[key, balance] : received_)
        result.push_back(balance);
    received_.clear();
    return result;
}

std::size_t UsageExchange::aggregatedCustomers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            customers_, [this](const auto &item) { return item.second.aggregator == self_; }));
}

} // namespace chervilfield::peers
