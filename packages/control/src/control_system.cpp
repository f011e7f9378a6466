#include "control/control_system.h"

#include "internal/actor_system.h"

#include <caf/atom.hpp>

namespace chervilfield::control {

namespace {

caf::actor_system_config &configure(caf::actor_system_config &config)
{
    config.set("scheduler.max-threads", 1);
    // With the default policy, work stealing, idle workers poll. With work sharing they sleep.
    config.set("scheduler.policy", caf::atom("sharing"));
    return config;
}

} // namespace

ControlSystem::Implementation::Implementation() : system(configure(config)) {}

ControlSystem::ControlSystem() : implementation_(std::make_unique<Implementation>()) {}

ControlSystem::~ControlSystem() = default;

} // namespace chervilfield::control
