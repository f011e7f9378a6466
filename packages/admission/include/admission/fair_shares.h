#pragma once

#include "admission/types.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace chervilfield::admission {

struct FairShareOptions
{
    /// Part of the capacity up to which idle shares are lent. The rest is kept for customers below
    /// their share, who would otherwise wait until lent work ends.
    double lendableCapacityShare = 0.95;
    std::chrono::milliseconds activityTimeout{
        2'000
    }; ///< A customer counts this long after a request.
    /// Time constant with which the refusal of a customer below its share is forgotten. Until then
    /// the unused part of its share is not lent.
    std::chrono::milliseconds refusalTimeConstant{ 500 };
};

/// Weighted shares of one daemon's capacity between the customers that are active now. Work is
/// counted in tokens. While capacity is free, any customer may use it; when it is scarce, a
/// customer above its share is refused before one below it.
class FairShares
{
public:
    FairShares() = default;
    explicit FairShares(FairShareOptions options) : options_(options) {}

    /// Sets the capacity in tokens of work in progress.
    void setCapacity(std::uint64_t tokens) { capacity_ = tokens; }

    /// Admits `tokens` of work of `customer` and counts it as in use, or returns the reason for the
    /// refusal: `QuotaExceeded` if the customer is above its share, otherwise `Overloaded`. A
    /// customer without work in progress counts as below its share whatever the request's size.
    std::optional<Refusal> admit(std::uint64_t customer, double weight, std::uint64_t tokens,
                                 TimePoint now);

    /// Returns the work of an admitted request that ended or was not dispatched.
    void release(std::uint64_t customer, std::uint64_t tokens, TimePoint now);

    std::uint64_t used() const { return used_; }
    std::uint64_t usedBy(std::uint64_t customer) const;

    /// Returns the customer's share in tokens, 0 if it is not active.
    double shareOf(std::uint64_t customer) const;

    std::size_t activeCustomerCount() const { return customers_.size(); }
    std::size_t memoryBytes() const;

private:
    struct Customer
    {
        std::uint64_t id = 0;
        std::uint64_t used = 0;
        TimePoint lastSeen{};
        double weight = 1;
        double refused = 0;  ///< 1 when refused below the share, decaying.
        double reserved = 0; ///< Unused share that is not lent, as of lastSeen.
    };

    Customer &touch(std::uint64_t customer, double weight, TimePoint now);
    void forgetIdle(TimePoint now);
    double remaining(TimePoint since, TimePoint now) const;
    void decay(Customer &record, TimePoint now);
    void reserve(Customer &record);
    double share(const Customer &record) const;

    FairShareOptions options_{};
    std::uint64_t capacity_ = 0;
    std::uint64_t used_ = 0;
    double activeWeight_ = 0;
    double reserved_ = 0; ///< Sum over customers, as of reservedAt_.
    TimePoint reservedAt_{};
    std::vector<Customer> customers_;
    std::unordered_map<std::uint64_t, std::uint32_t>
            places_; ///< Customer id to place in customers_.
    std::size_t forgetPlace_ = 0;
};

} // namespace chervilfield::admission
