#pragma once

#include "base/time_line.h"
#include "control/configuration_control.h"
#include "control/configuration_log.h"
#include "net/http_server.h"

#include <string>

namespace chervilfield::daemon {

/// What the administration API needs. The referenced objects outlive the handler.
struct AdminContext
{
    control::ConfigurationControl &configuration;
    control::ConfigurationLog &log;
    base::TimeLine &timeLine;
    std::string instance;
};

/// Returns the handler of the administration address.
net::Handler makeAdminHandler(const AdminContext &context);

} // namespace chervilfield::daemon
