#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>

namespace chervilfield::net::detail {

/// Use of a connection, which decides whether its memory may be reclaimed.
enum class HolderState {
    Idle,      ///< No byte of a request has arrived.
    Receiving, ///< The head or the body of a request is being read.
    Serving,   ///< The request is handled or its response is written. Its memory is not reclaimed.
};

struct MemoryHolder
{
    using Time = std::chrono::steady_clock::time_point;

    std::size_t bytes = 0;
    HolderState state = HolderState::Idle;
    Time since{};                ///< Start of the state.
    bool hasServed = false;      ///< Whether the connection has had a response.
    bool isReclaimed = false;    ///< Whether the connection is being closed to free its memory.
    std::function<void()> close; ///< Called with a lock held; must only post the work.
};

/// Returns the cost of a holder in bytes times seconds, or 0 if its memory must not be reclaimed.
/// Large requests that make little progress cost most. Connections that have been useful cost less
/// than those that never sent a request.
double holdingCost(const MemoryHolder &holder, MemoryHolder::Time now);

/// Memory that the connections of a server may use together for heads, bodies, trailers and read
/// buffers. Requests up to `smallBytes` may use all of it, larger ones three quarters, so that
/// small requests get through while large ones are refused. All bytes count, because thousands of
/// connections with an exempt amount each could exceed any budget. Thread-safe.
class RequestMemory
{
public:
    using Time = MemoryHolder::Time;

    RequestMemory(std::size_t capacityBytes, std::size_t smallBytes)
        : capacityBytes_(capacityBytes), smallBytes_(smallBytes)
    {
    }

    std::size_t usedBytes() const;

    /// Closes the costliest connection that is not served, so that another one can take its place.
    /// Returns false if all have been in their state for less than `kMinHoldTime`.
    bool reclaimOne(Time now);

    /// Time in a state for which a holder is not reclaimed, so that requests that arrive at an
    /// ordinary pace are not closed.
    static constexpr std::chrono::milliseconds kMinHoldTime{ 1000 };

private:
    friend class RequestLease;

    void reclaim(std::size_t bytes, const MemoryHolder &requester, Time now);

    std::size_t capacityBytes_;
    std::size_t smallBytes_;
    mutable std::mutex mutex_;
    std::size_t usedBytes_ = 0;
    std::list<MemoryHolder> holders_;
    Time nextReclaim_{};
};

/// Memory of one connection, which is returned at the end of the object.
class RequestLease
{
public:
    RequestLease(RequestMemory &memory, std::function<void()> close);
    ~RequestLease();
    RequestLease(const RequestLease &) = delete;
    RequestLease &operator=(const RequestLease &) = delete;

    /// Changes the size. Returns false and keeps the old size if the memory does not suffice; the
    /// costliest connections are then closed, so that a later call can succeed.
    bool resize(std::size_t bytes, RequestMemory::Time now);

    void setState(HolderState state, RequestMemory::Time now);
    bool isReclaimed() const;

private:
    RequestMemory &memory_;
    std::list<MemoryHolder>::iterator holder_;
};

} // namespace chervilfield::net::detail
