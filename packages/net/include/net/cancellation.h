#pragma once

#include <functional>
#include <utility>

namespace chervilfield::net {

/// Lets another handler of the same thread abort the network operation that a coroutine waits for.
class Cancellation
{
public:
    /// Aborts the operation in progress, and each later one that is given this object.
    void cancel()
    {
        cancelled_ = true;
        if (abort_)
            abort_();
    }

    bool cancelled() const { return cancelled_; }

    /// Sets the function that aborts the operation in progress; an empty one if there is none.
    void setAbort(std::function<void()> abort) { abort_ = std::move(abort); }

private:
    bool cancelled_ = false;
    std::function<void()> abort_;
};

} // namespace chervilfield::net
