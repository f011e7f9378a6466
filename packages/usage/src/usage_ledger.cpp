#include "usage/usage_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilfield::usage {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kSlotTime{ 50 };

std::int64_t slotIndex(Time now)
{
    return now.time_since_epoch() / kSlotTime;
}

} // namespace

void UsageLedger::setLimits(std::span<const LedgerLimit> limits, Time now)
{
    std::unordered_map<CustomerKey, Bucket> next;
    customersByRefundKey_.clear();
    for (const LedgerLimit &entry : limits) {
        customersByRefundKey_[refundKey(entry.customer)] = entry.customer;
        const auto previous = buckets_.find(entry.customer);
        Bucket bucket;
        if (previous != buckets_.end()) {
            bucket = previous->second;
            refill(bucket, now);
            bucket.balance = std::min(bucket.balance, entry.limit.burst);
        } else {
            bucket.balance =
                    std::isfinite(entry.initialBalance) ? std::min(entry.initialBalance, 0.0) : 0;
            bucket.updatedAt = now;
            bucket.startedAt = now;
            bucket.wasScarce = entry.wasScarce;
        }
        bucket.limit = entry.limit;
        next.emplace(entry.customer, bucket);
    }
    buckets_ = std::move(next);
    for (auto &[name, reporter] : reporters_) {
        std::erase_if(reporter.counters, [this](const auto &item) {
            return !buckets_.contains(item.first) && !customersByRefundKey_.contains(item.first);
        });
    }
}

void UsageLedger::setLiveShare(double share, Time now)
{
    noticePause(now);
    share = std::isfinite(share) ? std::clamp(share, 0.0, 1.0) : 1;
    if (share == liveShare_)
        return;
    for (auto &[key, bucket] : buckets_)
        refill(bucket, now);
    liveShare_ = share;
}

void UsageLedger::record(const std::string &reporterName, std::uint64_t life,
                         std::span<const UsageEntry> entries, Time now)
{
    noticePause(now);
    auto found = reporters_.find(reporterName);
    if (found == reporters_.end()) {
        if (reporters_.size() >= options_.maxReporters)
            return;
        found = reporters_.emplace(reporterName, Reporter{ .life = life }).first;
    }
    Reporter &reporter = found->second;
    if (life < reporter.life)
        return;
    if (life > reporter.life) {
        reporter.life = life;
        reporter.counters.clear();
    }
    reporter.lastReportAt = now;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const UsageEntry &entry = entries[i];
        if (!std::isfinite(entry.cost) || entry.cost < 0)
            continue;
        const auto refunded = customersByRefundKey_.find(entry.customer);
        const bool isRefund = refunded != customersByRefundKey_.end();
        const auto bucket = buckets_.find(isRefund ? refunded->second : entry.customer);
        if (bucket == buckets_.end())
            continue;
        const auto [counter, isNew] = reporter.counters.emplace(entry.customer, entry.cost);
        if (isNew || entry.cost <= counter->second)
            continue;
        const double delta = entry.cost - counter->second;
        counter->second = entry.cost;
        const bool isBase = i + 1 < entries.size() && entries[i + 1].customer == entry.customer;
        if (!isBase)
            charge(bucket->second, isRefund ? -delta : delta, now);
        else if (!isRefund)
            chargeToZero(bucket->second, delta, now);
    }
}

void UsageLedger::noticePause(Time now)
{
    const Time previous = std::exchange(activeAt_, now);
    if (previous == Time{} || now - previous < options_.minPause)
        return;
    for (auto &[key, bucket] : buckets_) {
        bucket.startedAt = now;
        bucket.wasScarce = false;
        bucket.pause = now - previous;
        refill(bucket, now);
    }
}

void UsageLedger::charge(Bucket &bucket, double cost, Time now) const
{
    refill(bucket, now);
    const double floor =
            -bucket.limit.ratePerSecond * Seconds(options_.maxDebt).count() - bucket.limit.burst;
    bucket.balance = std::clamp(bucket.balance - cost, floor, capacity(bucket, now));
    if (cost <= 0)
        return;
    const std::int64_t index = slotIndex(now);
    RecentUsage::Slot &slot =
            bucket.recent.slots[static_cast<std::size_t>(index) % bucket.recent.slots.size()];
    if (slot.index != index)
        slot = { .index = index };
    slot.sum += cost;
    slot.largest = std::max(slot.largest, cost);
}

void UsageLedger::chargeToZero(Bucket &bucket, double cost, Time now) const
{
    refill(bucket, now);
    if (bucket.balance > 0)
        bucket.balance = std::max(0.0, bucket.balance - cost);
}

double UsageLedger::refillRate(const Bucket &bucket) const
{
    return bucket.limit.ratePerSecond * liveShare_;
}

double UsageLedger::capacity(const Bucket &bucket, Time now) const
{
    const bool isWarmingUp = now - bucket.startedAt < options_.warmUp;
    return bucket.limit.burst
           + (isWarmingUp ? refillRate(bucket) * Seconds(bucket.pause).count() : 0);
}

double UsageLedger::currentBalance(const Bucket &bucket, Time now) const
{
    const double elapsed = std::max(0.0, Seconds(now - bucket.updatedAt).count());
    return std::min(capacity(bucket, now), bucket.balance + refillRate(bucket) * elapsed);
}

void UsageLedger::refill(Bucket &bucket, Time now) const
{
    bucket.balance = currentBalance(bucket, now);
    bucket.updatedAt = std::max(bucket.updatedAt, now);
}

double UsageLedger::recentRate(const Bucket &bucket, Time now)
{
    const auto slotCount = static_cast<std::int64_t>(bucket.recent.slots.size());
    double sum = 0;
    for (const RecentUsage::Slot &slot : bucket.recent.slots) {
        if (slot.index > slotIndex(now) - slotCount)
            sum += slot.sum - slot.largest;
    }
    return sum / (Seconds(kSlotTime).count() * static_cast<double>(slotCount));
}

bool UsageLedger::isScarce(const Bucket &bucket, Time now) const
{
    return currentBalance(bucket, now) < bucket.limit.burst / 2
           || recentRate(bucket, now) > refillRate(bucket);
}

bool UsageLedger::isWarm(const Bucket &bucket, Time now) const
{
    return bucket.wasScarce || now - bucket.startedAt >= options_.warmUp
           || recentRate(bucket, now) > refillRate(bucket);
}

std::vector<CustomerKey> UsageLedger::scarceCustomers(Time now) const
{
    std::vector<CustomerKey> result;
    for (const auto &[key, bucket] : buckets_) {
        if (isScarce(bucket, now) && isWarm(bucket, now))
            result.push_back(key);
    }
    return result;
}

std::uint64_t UsageLedger::reporterLife(const std::string &reporter) const
{
    const auto found = reporters_.find(reporter);
    return found == reporters_.end() ? 0 : found->second.life;
}

std::optional<UsageBalance> UsageLedger::balance(CustomerKey customer, const std::string &receiver,
                                                 Time now) const
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end() || !isWarm(found->second, now))
        return std::nullopt;
    const Bucket &bucket = found->second;
    // While the customer uses more than its rate, instances would admit requests until they hear
    // that the balance is used up. The usage of this time is subtracted ahead.
    const double excess = std::max(0.0, recentRate(bucket, now) - refillRate(bucket));
    UsageBalance result{ .customer = customer,
                         .balance = std::min(currentBalance(bucket, now), bucket.limit.burst)
                                    - excess * Seconds(options_.informationDelay).count(),
                         .ratePerSecond = refillRate(bucket),
                         .includedCost = -1 };
    const auto reporter = reporters_.find(receiver);
    if (reporter == reporters_.end())
        return result;
    const auto &counters = reporter->second.counters;
    if (const auto cost = counters.find(customer); cost != counters.end()) {
        const auto refunded = counters.find(refundKey(customer));
        result.includedCost =
                std::max(0.0, cost->second - (refunded == counters.end() ? 0 : refunded->second));
    }
    return result;
}

void UsageLedger::expire(Time now)
{
    std::erase_if(reporters_, [&](const auto &item) {
        return now - item.second.lastReportAt > options_.reporterLifetime;
    });
}

} // namespace chervilfield::usage
