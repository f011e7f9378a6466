#pragma once

#include <cstddef>
#include <set>

namespace chervilfield::base {

/// Memory that several operations may use together. Each operation holds a `MemoryReservation`. Not
/// thread-safe.
class MemoryBudget
{
public:
    /// `exemptBytes` of each reservation do not count, so that small operations never lack memory
    /// because of large ones.
    MemoryBudget(std::size_t capacityBytes, std::size_t exemptBytes)
        : capacityBytes_(capacityBytes), exemptBytes_(exemptBytes)
    {
    }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Returns the sum of all reservations without their exempt bytes.
    std::size_t usedBytes() const { return usedBytes_; }

private:
    friend class MemoryReservation;

    std::size_t capacityBytes_;
    std::size_t exemptBytes_;
    std::size_t usedBytes_ = 0;
    std::multiset<std::size_t> reservations_; ///< Counted bytes of each reservation.
};

/// Answer to a request for memory.
enum class MemoryGrant {
    Granted,
    Wait,    ///< Larger reservations use the memory.
    Refused, ///< No reservation is larger than this one.
};

/// Memory of one operation, which is returned to the budget at the end of the object.
class MemoryReservation
{
public:
    /// `budget` must outlive the object.
    explicit MemoryReservation(MemoryBudget &budget);
    ~MemoryReservation();
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// Changes the size of the reservation. If the budget does not suffice, the size stays. Since
    /// only the largest reservation is refused, waiting ends once that one has been released.
    MemoryGrant resize(std::size_t bytes);

private:
    MemoryBudget &budget_;
    std::multiset<std::size_t>::iterator counted_; ///< Element of `budget_.reservations_`.
};

} // namespace chervilfield::base
