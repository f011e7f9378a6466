#pragma once

#include <functional>
#include <utility>

namespace chervilfield::net {

/// Allows a handler to abort the network operation for which a coroutine of the same thread waits.
/// Not thread-safe.
class Cancellation
{
public:
    /// Aborts the operation in progress and every later operation that receives this object.
    void cancel()
    {
        isCancelled_ = true;
        if (abort_)
            abort_();
    }

    /// Returns true once `cancel()` has been called.
    bool cancelled() const { return isCancelled_; }

    /// Sets the function that aborts the operation in progress, or an empty one if there is none.
    void setAbort(std::function<void()> abort) { abort_ = std::move(abort); }

private:
    bool isCancelled_ = false;
    std::function<void()> abort_;
};

} // namespace chervilfield::net
