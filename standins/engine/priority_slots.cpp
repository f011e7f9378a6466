#include "engine/priority_slots.h"

namespace chervilfield::standins {

PrioritySlots::PrioritySlots(boost::asio::io_context &context, std::size_t slots)
    : context_(context), freeSlots_(slots)
{
}

void PrioritySlots::acquire(int priority, boost::asio::yield_context yield)
{
    if (freeSlots_ > 0) {
        --freeSlots_;
        return;
    }
    boost::asio::steady_timer slotTimer(context_, boost::asio::steady_timer::time_point::max());
    waiters_[{ priority, nextSequence_++ }] = &slotTimer;
    boost::system::error_code ignored;
    slotTimer.async_wait(yield[ignored]);
}

void PrioritySlots::release()
{
    if (waiters_.empty()) {
        ++freeSlots_;
        return;
    }
    // The slot passes directly to the first waiter, so that no later caller can take it first.
    const auto first = waiters_.begin();
    first->second->cancel();
    waiters_.erase(first);
}

} // namespace chervilfield::standins
