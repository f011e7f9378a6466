#pragma once

#include "scheduling/types.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace chervilfield::scheduling {

/// Parameters that tell a flood of one customer from its usual load.
struct CustomerLoadOptions
{
    /// Time constant of the current rate: short against floods, which last 5 to 8 s.
    Seconds currentTimeConstant{ 2 };
    /// Time constant of the usual rate, long against floods. A lasting growth becomes usual within
    /// a few of it, because requests up to the limit count.
    Seconds usualTimeConstant{ 60 };
    /// Multiple of the usual rate beyond which requests are excess; customers that vary by half of
    /// their mean stay below it.
    double floodFactor = 2;
    /// Further requests within `currentTimeConstant` that are not excess, so that a few chance
    /// arrivals of a rare customer are not a flood.
    double toleratedRequests = 4;
    std::size_t maxCustomers = 1024; ///< Further customers never flood.
};

/// Finds the requests by which a customer exceeds its usual rate by far while the others do not.
/// The usual rate is that of the customer itself, so that a large customer is not taken for a
/// flood; unlike `admission::FairShares`, it needs neither weights nor a capacity of this instance.
/// A customer that is first seen during its flood counts as usual. Not safe for concurrent use.
class CustomerLoad
{
public:
    explicit CustomerLoad(CustomerLoadOptions options = {}) : options_(options) {}

    /// Records the arrival of a request. Returns true if it is in excess of what the customer may
    /// send without being served last.
    bool recordArrival(const std::string &customer, Time now);

    /// Returns the number of customers that are remembered.
    std::size_t size() const { return customers_.size(); }

private:
    /// Arrivals without excess.
    struct Arrivals
    {
        double current = 0; ///< Decayed with `currentTimeConstant`.
        double usual = 0;   ///< Decayed with `usualTimeConstant`.
        Time firstAt{};
        Time updatedAt{};
    };

    void decay(Arrivals &arrivals, Time now) const;
    /// Returns the value that `Arrivals::current` has at the usual rate.
    double expected(const Arrivals &arrivals, Time now) const;
    void evictIdle(Time now);

    CustomerLoadOptions options_;
    Arrivals all_;
    std::unordered_map<std::string, Arrivals> customers_;
};

} // namespace chervilfield::scheduling
