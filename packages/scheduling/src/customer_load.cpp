#include "scheduling/customer_load.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::scheduling {

namespace {

// Decayed arrivals below which a customer is forgotten: one, three time constants ago.
constexpr double kIdleArrivals = 0.05;

} // namespace

void CustomerLoad::decay(Arrivals &arrivals, Time now) const
{
    if (arrivals.firstAt == Time{}) {
        arrivals.firstAt = now;
        arrivals.updatedAt = now;
    }
    const Seconds elapsed = std::max(Seconds(0), Seconds(now - arrivals.updatedAt));
    arrivals.current *= std::exp(-(elapsed / options_.currentTimeConstant));
    arrivals.usual *= std::exp(-(elapsed / options_.usualTimeConstant));
    arrivals.updatedAt = now;
}

double CustomerLoad::expected(const Arrivals &arrivals, Time now) const
{
    // A sum that decays with time constant T reaches rate x T x (1 - exp(-age / T)).
    const Seconds age = std::max(Seconds(0), Seconds(now - arrivals.firstAt));
    const auto reached = [age](Seconds timeConstant) {
        return timeConstant.count() * -std::expm1(-(age / timeConstant));
    };
    const double usual = reached(options_.usualTimeConstant);
    return usual > 0 ? arrivals.usual * reached(options_.currentTimeConstant) / usual
                     : arrivals.usual;
}

bool CustomerLoad::recordArrival(const std::string &customer, Time now)
{
    auto found = customers_.find(customer);
    if (found == customers_.end()) {
        if (customers_.size() >= options_.maxCustomers)
            evictIdle(now);
        if (customers_.size() >= options_.maxCustomers)
            return false;
        found = customers_.try_emplace(customer).first;
    }
    Arrivals &own = found->second;
    decay(all_, now);
    decay(own, now);
    // If all customers send more than usual, none of them floods.
    const double othersExpected = expected(all_, now) - expected(own, now);
    const double othersGrowth =
            othersExpected > 0 ? std::max(1.0, (all_.current - own.current) / othersExpected) : 1;
    const double limit =
            options_.floodFactor * othersGrowth * expected(own, now) + options_.toleratedRequests;
    if (own.current + 1 > limit)
        return true;
    for (Arrivals *arrivals : { &all_, &own }) {
        arrivals->current += 1;
        arrivals->usual += 1;
    }
    return false;
}

void CustomerLoad::evictIdle(Time now)
{
    for (auto &[customer, arrivals] : customers_)
        decay(arrivals, now);
    std::erase_if(customers_, [](const auto &entry) { return entry.second.usual < kIdleArrivals; });
}

} // namespace chervilfield::scheduling
