#include "base/memory_budget.h"

namespace chervilfield::base {

MemoryReservation::MemoryReservation(MemoryBudget &budget)
    : budget_(budget), counted_(budget.reservations_.insert(0))
{
}

MemoryReservation::~MemoryReservation()
{
    budget_.usedBytes_ -= *counted_;
    budget_.reservations_.erase(counted_);
}

MemoryGrant MemoryReservation::resize(std::size_t bytes)
{
    const std::size_t current = *counted_;
    const std::size_t counted = bytes > budget_.exemptBytes_ ? bytes - budget_.exemptBytes_ : 0;
    if (counted == current)
        return MemoryGrant::Granted;
    if (counted > current && counted - current > budget_.capacityBytes_ - budget_.usedBytes_) {
        return current >= *budget_.reservations_.rbegin() ? MemoryGrant::Refused
                                                          : MemoryGrant::Wait;
    }
    budget_.usedBytes_ = budget_.usedBytes_ - current + counted;
    budget_.reservations_.erase(counted_);
    counted_ = budget_.reservations_.insert(counted);
    return MemoryGrant::Granted;
}

} // namespace chervilfield::base
