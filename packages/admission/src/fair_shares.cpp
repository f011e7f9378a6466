#include "admission/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::admission {

namespace {

// Customers that each request examines for idleness. A request adds at most one customer, so
// examining two keeps the number of idle customers bounded.
constexpr int kEvictionChecksPerRequest = 2;

// Lower weights, zero and negative ones included, are raised to this value. Below it, rounding
// errors would determine the shares.
constexpr double kMinWeight = 1e-3;

} // namespace

std::optional<Refusal> FairShares::admit(std::uint64_t customer, double weight,
                                         std::uint64_t tokens, TimePoint now)
{
    evictIdle(now);
    Customer &record = activate(customer, weight, now);
    const bool isBelowShare = record.usedTokens == 0
                              || static_cast<double>(record.usedTokens + tokens) <= share(record);
    const auto capacity = static_cast<double>(capacity_);
    const double limit =
            isBelowShare ? capacity : capacity * options_.lendableCapacityShare - reservedTokens_;
    const bool hasCapacity = usedTokens_ == 0 || static_cast<double>(usedTokens_ + tokens) <= limit;
    if (hasCapacity) {
        record.usedTokens += tokens;
        usedTokens_ += tokens;
    } else if (isBelowShare) {
        record.refusalLevel = 1;
    }
    updateReservation(record);
    if (hasCapacity)
        return std::nullopt;
    return Refusal{ .result =
                            isBelowShare ? base::Result::Overloaded : base::Result::QuotaExceeded };
}

void FairShares::release(std::uint64_t customer, std::uint64_t tokens, TimePoint now)
{
    const auto entry = customerIndices_.find(customer);
    if (entry == customerIndices_.end())
        return;
    Customer &record = customers_[entry->second];
    const std::uint64_t releasedTokens = std::min(record.usedTokens, tokens);
    decay(record, now);
    record.usedTokens -= releasedTokens;
    usedTokens_ -= releasedTokens;
    updateReservation(record);
}

double FairShares::decayFactor(TimePoint since, TimePoint now) const
{
    using Seconds = std::chrono::duration<double>;
    const Seconds elapsed = std::max(Seconds(now - since), Seconds(0));
    return std::exp(-elapsed / Seconds(options_.refusalTimeConstant));
}

void FairShares::decay(Customer &record, TimePoint now)
{
    // All records decay at the same rate, so the sum can be decayed without visiting them.
    if (reservedTokens_ > 0)
        reservedTokens_ *= decayFactor(reservationsUpdatedAt_, now);
    reservationsUpdatedAt_ = std::max(reservationsUpdatedAt_, now);
    if (record.refusalLevel > 0) {
        const double factor = decayFactor(record.lastUpdateAt, now);
        record.refusalLevel *= factor;
        record.reservedTokens *= factor;
    }
    record.lastUpdateAt = std::max(record.lastUpdateAt, now);
}

void FairShares::updateReservation(Customer &record)
{
    const double unused = std::max(share(record) - static_cast<double>(record.usedTokens), 0.0);
    const double reservation = record.refusalLevel * unused;
    reservedTokens_ = std::max(reservedTokens_ + reservation - record.reservedTokens, 0.0);
    record.reservedTokens = reservation;
}

double FairShares::share(const Customer &record) const
{
    return static_cast<double>(capacity_) * record.weight / totalActiveWeight_;
}

std::uint64_t FairShares::usedTokensOf(std::uint64_t customer) const
{
    const auto entry = customerIndices_.find(customer);
    return entry == customerIndices_.end() ? 0 : customers_[entry->second].usedTokens;
}

double FairShares::shareOf(std::uint64_t customer) const
{
    const auto entry = customerIndices_.find(customer);
    if (entry == customerIndices_.end())
        return 0;
    return share(customers_[entry->second]);
}

std::size_t FairShares::memoryBytes() const
{
    // A node of the map consists of a pair, a pointer and the allocator's header.
    constexpr std::size_t kNodeBytes = 16 + 2 * sizeof(void *);
    return sizeof(*this) + customers_.capacity() * sizeof(Customer)
           + customerIndices_.size() * kNodeBytes
           + customerIndices_.bucket_count() * sizeof(void *);
}

FairShares::Customer &FairShares::activate(std::uint64_t customer, double weight, TimePoint now)
{
    const auto [entry, isNew] =
            customerIndices_.try_emplace(customer, static_cast<std::uint32_t>(customers_.size()));
    if (isNew)
        customers_.push_back({ .id = customer, .weight = 0 });
    Customer &record = customers_[entry->second];
    const double newWeight = std::max(weight, kMinWeight);
    totalActiveWeight_ += newWeight - record.weight;
    record.weight = newWeight;
    decay(record, now);
    return record;
}

void FairShares::evictIdle(TimePoint now)
{
    for (int i = 0; i < kEvictionChecksPerRequest && !customers_.empty(); ++i) {
        if (nextEvictionIndex_ >= customers_.size())
            nextEvictionIndex_ = 0;
        Customer &record = customers_[nextEvictionIndex_];
        if (record.usedTokens > 0 || now - record.lastUpdateAt <= options_.activityTimeout) {
            ++nextEvictionIndex_;
            continue;
        }
        decay(record, now);
        record.refusalLevel = 0;
        updateReservation(record);
        totalActiveWeight_ -= record.weight;
        customerIndices_.erase(record.id);
        if (nextEvictionIndex_ + 1 != customers_.size()) {
            record = customers_.back();
            customerIndices_[record.id] = static_cast<std::uint32_t>(nextEvictionIndex_);
        }
        customers_.pop_back();
    }
    if (customers_.empty()) {
        // Clears the rounding errors accumulated in the sums.
        totalActiveWeight_ = 0;
        reservedTokens_ = 0;
    }
}

} // namespace chervilfield::admission
