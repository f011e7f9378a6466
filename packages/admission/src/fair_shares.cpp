#include "admission/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::admission {

namespace {

// Customers examined for idleness on each request. Two outpace the one that a request can add.
constexpr int kExaminedPerRequest = 2;

// Weights below this would let rounding decide; zero and negative weights are raised to it.
constexpr double kMinWeight = 1e-3;

} // namespace

std::optional<Refusal> FairShares::admit(std::uint64_t customer, double weight,
                                         std::uint64_t tokens, TimePoint now)
{
    forgetIdle(now);
    Customer &record = touch(customer, weight, now);
    const bool belowShare =
            record.used == 0 || static_cast<double>(record.used + tokens) <= share(record);
    const auto capacity = static_cast<double>(capacity_);
    const double limit =
            belowShare ? capacity : capacity * options_.lendableCapacityShare - reserved_;
    const bool free = used_ == 0 || static_cast<double>(used_ + tokens) <= limit;
    if (free) {
        record.used += tokens;
        used_ += tokens;
    } else if (belowShare) {
        record.refused = 1;
    }
    reserve(record);
    if (free)
        return std::nullopt;
    return Refusal{ .result = belowShare ? base::Result::Overloaded : base::Result::QuotaExceeded };
}

void FairShares::release(std::uint64_t customer, std::uint64_t tokens, TimePoint now)
{
    const auto place = places_.find(customer);
    if (place == places_.end())
        return;
    Customer &record = customers_[place->second];
    const std::uint64_t returned = std::min(record.used, tokens);
    decay(record, now);
    record.used -= returned;
    used_ -= returned;
    reserve(record);
}

double FairShares::remaining(TimePoint since, TimePoint now) const
{
    using Seconds = std::chrono::duration<double>;
    const Seconds passed = std::max(Seconds(now - since), Seconds(0));
    return std::exp(-passed / Seconds(options_.refusalTimeConstant));
}

void FairShares::decay(Customer &record, TimePoint now)
{
    // All records decay at the same rate, so their sum can be decayed on its own.
    if (reserved_ > 0)
        reserved_ *= remaining(reservedAt_, now);
    reservedAt_ = std::max(reservedAt_, now);
    if (record.refused > 0) {
        const double left = remaining(record.lastSeen, now);
        record.refused *= left;
        record.reserved *= left;
    }
    record.lastSeen = std::max(record.lastSeen, now);
}

void FairShares::reserve(Customer &record)
{
    const double unused = std::max(share(record) - static_cast<double>(record.used), 0.0);
    const double wanted = record.refused * unused;
    reserved_ = std::max(reserved_ + wanted - record.reserved, 0.0);
    record.reserved = wanted;
}

double FairShares::share(const Customer &record) const
{
    return static_cast<double>(capacity_) * record.weight / activeWeight_;
}

std::uint64_t FairShares::usedBy(std::uint64_t customer) const
{
    const auto place = places_.find(customer);
    return place == places_.end() ? 0 : customers_[place->second].used;
}

double FairShares::shareOf(std::uint64_t customer) const
{
    const auto place = places_.find(customer);
    if (place == places_.end())
        return 0;
    return share(customers_[place->second]);
}

std::size_t FairShares::memoryBytes() const
{
    // A node of the map holds a pair, a pointer and the allocator's header.
    constexpr std::size_t kNode = 16 + 2 * sizeof(void *);
    return sizeof(*this) + customers_.capacity() * sizeof(Customer) + places_.size() * kNode
           + places_.bucket_count() * sizeof(void *);
}

FairShares::Customer &FairShares::touch(std::uint64_t customer, double weight, TimePoint now)
{
    const auto [place, added] =
            places_.try_emplace(customer, static_cast<std::uint32_t>(customers_.size()));
    if (added)
        customers_.push_back({ .id = customer, .weight = 0 });
    Customer &record = customers_[place->second];
    const double newWeight = std::max(weight, kMinWeight);
    activeWeight_ += newWeight - record.weight;
    record.weight = newWeight;
    decay(record, now);
    return record;
}

void FairShares::forgetIdle(TimePoint now)
{
    for (int i = 0; i < kExaminedPerRequest && !customers_.empty(); ++i) {
        if (forgetPlace_ >= customers_.size())
            forgetPlace_ = 0;
        Customer &record = customers_[forgetPlace_];
        if (record.used > 0 || now - record.lastSeen <= options_.activityTimeout) {
            ++forgetPlace_;
            continue;
        }
        decay(record, now);
        record.refused = 0;
        reserve(record);
        activeWeight_ -= record.weight;
        places_.erase(record.id);
        if (forgetPlace_ + 1 != customers_.size()) {
            record = customers_.back();
            places_[record.id] = static_cast<std::uint32_t>(forgetPlace_);
        }
        customers_.pop_back();
    }
    if (customers_.empty()) {
        // Drops what rounding has left in the sums.
        activeWeight_ = 0;
        reserved_ = 0;
    }
}

} // namespace chervilfield::admission
