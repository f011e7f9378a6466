#include "engine/priority_slots.h"

namespace chervilfield::standins {

PrioritySlots::PrioritySlots(boost::asio::io_context &context, std::size_t slots)
    : context_(context), free_(slots)
{
}

void PrioritySlots::acquire(int priority, boost::asio::yield_context yield)
{
    if (free_ > 0) {
        --free_;
        return;
    }
    boost::asio::steady_timer turn(context_, boost::asio::steady_timer::time_point::max());
    waiters_[{ priority, nextSequence_++ }] = &turn;
    boost::system::error_code ignored;
    turn.async_wait(yield[ignored]);
}

void PrioritySlots::release()
{
    if (waiters_.empty()) {
        ++free_;
        return;
    }
    // The slot passes to the first waiter without becoming free.
    const auto first = waiters_.begin();
    first->second->cancel();
    waiters_.erase(first);
}

} // namespace chervilfield::standins
