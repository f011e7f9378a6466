#pragma once

#include <memory>

namespace chervilfield::control {

/// Actor system that runs all control actors of a daemon on one scheduler thread. Must outlive the
/// objects that own actors. The destructor waits until all actors have terminated.
class ControlSystem
{
public:
    ControlSystem();
    ~ControlSystem();
    ControlSystem(const ControlSystem &) = delete;
    ControlSystem &operator=(const ControlSystem &) = delete;

    /// Wraps the CAF actor system. Defined in `internal/actor_system.h`, for this package only.
    struct Implementation;
    Implementation &implementation() { return *implementation_; }

private:
    std::unique_ptr<Implementation> implementation_;
};

} // namespace chervilfield::control
