#pragma once

#include <memory>

namespace chervilfield::control {

/// The actor system that runs all control actors of a daemon on one scheduler thread. It must
/// outlive the objects that own actors; the destructor waits until all actors have ended.
class ControlSystem
{
public:
    ControlSystem();
    ~ControlSystem();
    ControlSystem(const ControlSystem &) = delete;
    ControlSystem &operator=(const ControlSystem &) = delete;

    /// For the actors of this package; defined in `internal/actor_system.h`.
    struct Implementation;
    Implementation &implementation() { return *implementation_; }

private:
    std::unique_ptr<Implementation> implementation_;
};

} // namespace chervilfield::control
