#pragma once

#include "control/control_system.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

namespace chervilfield::control {

/// CAF actor system with its configuration, which must outlive it.
struct ControlSystem::Implementation
{
    Implementation();

    caf::actor_system_config config;
    caf::actor_system system;
};

} // namespace chervilfield::control
