#include "request_memory.h"

#include <algorithm>
#include <utility>

namespace chervilfield::net::detail {

namespace {

// Each search reads all holders, so it is not repeated for each of many waiting requests.
constexpr std::chrono::milliseconds kReclaimInterval{ 20 };

MemoryHolder *costliest(std::list<MemoryHolder> &holders, MemoryHolder::Time now)
{
    MemoryHolder *result = nullptr;
    double maxCost = 0;
    for (MemoryHolder &holder : holders) {
        const double cost = holdingCost(holder, now);
        if (cost > maxCost) {
            maxCost = cost;
            result = &holder;
        }
    }
    return result;
}

} // namespace

double holdingCost(const MemoryHolder &holder, MemoryHolder::Time now)
{
    if (holder.state == HolderState::Serving || holder.isReclaimed || !holder.close
        || now - holder.since < RequestMemory::kMinHoldTime)
        return 0;
    constexpr double kServedShare = 0.25;
    const std::chrono::duration<double> age = now - holder.since;
    return static_cast<double>(holder.bytes) * age.count() * (holder.hasServed ? kServedShare : 1);
}

std::size_t RequestMemory::usedBytes() const
{
    const std::lock_guard lock(mutex_);
    return usedBytes_;
}

bool RequestMemory::reclaimOne(Time now)
{
    const std::lock_guard lock(mutex_);
    MemoryHolder *holder = costliest(holders_, now);
    if (holder == nullptr)
        return false;
    holder->isReclaimed = true;
    holder->close();
    return true;
}

void RequestMemory::reclaim(std::size_t bytes, const MemoryHolder &requester, Time now)
{
    if (now < nextReclaim_)
        return;
    nextReclaim_ = now + kReclaimInterval;
    std::size_t expected = 0;
    for (const MemoryHolder &holder : holders_)
        expected += holder.isReclaimed ? holder.bytes : 0;
    // A requester that costs more than the others would only free memory for itself.
    const double ownCost = holdingCost(requester, now);
    while (expected < bytes) {
        MemoryHolder *holder = costliest(holders_, now);
        if (holder == nullptr || holder == &requester || holdingCost(*holder, now) <= ownCost)
            return;
        expected += holder->bytes;
        holder->isReclaimed = true;
        holder->close();
    }
}

RequestLease::RequestLease(RequestMemory &memory, std::function<void()> close) : memory_(memory)
{
    const std::lock_guard lock(memory_.mutex_);
    memory_.holders_.push_front({ .close = std::move(close) });
    holder_ = memory_.holders_.begin();
}

RequestLease::~RequestLease()
{
    const std::lock_guard lock(memory_.mutex_);
    memory_.usedBytes_ -= holder_->bytes;
    memory_.holders_.erase(holder_);
}

bool RequestLease::resize(std::size_t bytes, RequestMemory::Time now)
{
    const std::lock_guard lock(memory_.mutex_);
    const std::size_t others = memory_.usedBytes_ - holder_->bytes;
    const std::size_t limit =
            bytes <= memory_.smallBytes_ ? memory_.capacityBytes_ : memory_.capacityBytes_ / 4 * 3;
    if (bytes > holder_->bytes && (others > limit || bytes > limit - others)) {
        memory_.reclaim(others + bytes - limit, *holder_, now);
        return false;
    }
    memory_.usedBytes_ = others + bytes;
    holder_->bytes = bytes;
    return true;
}

void RequestLease::setState(HolderState state, RequestMemory::Time now)
{
    const std::lock_guard lock(memory_.mutex_);
    holder_->hasServed = holder_->hasServed || holder_->state == HolderState::Serving;
    holder_->state = state;
    holder_->since = now;
}

bool RequestLease::isReclaimed() const
{
    const std::lock_guard lock(memory_.mutex_);
    return holder_->isReclaimed;
}

} // namespace chervilfield::net::detail
