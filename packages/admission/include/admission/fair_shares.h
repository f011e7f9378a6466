#pragma once

#include "admission/types.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace chervilfield::admission {

/// Options of the division of capacity between customers.
struct FairShareOptions
{
    /// Share of the capacity up to which unused shares are lent. The rest is kept for customers
    /// below their share, who would otherwise wait until lent work ends.
    double lendableCapacityShare = 0.95;
    /// Time after its last request for which a customer counts as active.
    std::chrono::milliseconds activityTimeout{ 2'000 };
    /// Time constant with which the refusal of a customer below its share decays. Until then the
    /// unused part of its share is not lent.
    std::chrono::milliseconds refusalTimeConstant{ 500 };
};

/// Divides one daemon's capacity between the active customers by weight. Work is counted in tokens.
/// While capacity is free, any customer may use it; when it is scarce, a customer above its share
/// is refused before one below it.
class FairShares
{
public:
    FairShares() = default;
    explicit FairShares(FairShareOptions options) : options_(options) {}

    /// Sets the capacity in tokens of work in progress.
    void setCapacity(std::uint64_t tokens) { capacity_ = tokens; }

    /// Admits `tokens` of work of `customer` and counts it as in use, or returns the reason for the
    /// refusal: `QuotaExceeded` if the customer is above its share, otherwise `Overloaded`. A
    /// customer without work in progress counts as below its share whatever the request's size. The
    /// refusal has no retry time.
    std::optional<Refusal> admit(std::uint64_t customer, double weight, std::uint64_t tokens,
                                 TimePoint now);

    /// Releases the work of an admitted request that has ended or was not dispatched.
    void release(std::uint64_t customer, std::uint64_t tokens, TimePoint now);

    /// Returns the tokens of all work in progress.
    std::uint64_t usedTokens() const { return usedTokens_; }
    /// Returns the tokens of the customer's work in progress, 0 if the customer is not active.
    std::uint64_t usedTokensOf(std::uint64_t customer) const;

    /// Returns the customer's share in tokens, 0 if the customer is not active.
    double shareOf(std::uint64_t customer) const;

    /// Returns the number of customers that are not evicted yet, including idle ones.
    std::size_t activeCustomerCount() const { return customers_.size(); }
    /// Returns an estimate of the memory that this object occupies.
    std::size_t memoryBytes() const;

private:
    struct Customer
    {
        std::uint64_t id = 0;
        std::uint64_t usedTokens = 0;
        TimePoint lastUpdateAt{};
        double weight = 1;
        double refusalLevel = 0;   ///< 1 after a refusal below the share, decaying to 0.
        double reservedTokens = 0; ///< Unused share that is not lent, as of `lastUpdateAt`.
    };

    Customer &activate(std::uint64_t customer, double weight, TimePoint now);
    /// Evicts idle customers. Each call examines a bounded number of them.
    void evictIdle(TimePoint now);
    /// Returns the factor by which refusals decay from `since` to `now`.
    double decayFactor(TimePoint since, TimePoint now) const;
    void decay(Customer &record, TimePoint now);
    /// Recomputes the tokens that are not lent because the customer was refused below its share.
    void updateReservation(Customer &record);
    double share(const Customer &record) const;

    FairShareOptions options_{};
    std::uint64_t capacity_ = 0;
    std::uint64_t usedTokens_ = 0;
    double totalActiveWeight_ = 0;
    double reservedTokens_ = 0; ///< Sum over all customers, as of `reservationsUpdatedAt_`.
    TimePoint reservationsUpdatedAt_{};
    std::vector<Customer> customers_;
    /// Index into `customers_` by customer id.
    std::unordered_map<std::uint64_t, std::uint32_t> customerIndices_;
    std::size_t nextEvictionIndex_ = 0; ///< Index of the customer to be examined next.
};

} // namespace chervilfield::admission
