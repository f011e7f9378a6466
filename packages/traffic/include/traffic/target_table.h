#pragma once

#include "configuration/configuration.h"
#include "net/address.h"
#include "routing/types.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilfield::traffic {

/// What the traffic threads need to reach one target.
struct TargetInfo
{
    routing::TargetId id = 0;
    std::string name;
    net::Address address;
    std::string dataCentre;
};

/// The targets that one route leads to, in the order of the routing package's target spans.
struct RouteTargets
{
    const configuration::Pool *pool = nullptr; ///< First pool of the route that has targets.
    std::vector<TargetInfo> targets;
};

/// Returns the stable identity of a target, the hash of its name.
routing::TargetId targetId(std::string_view name);

/// Returns the targets of the first pool of `route` that has any; `pool` is null if none has.
RouteTargets resolveTargets(const configuration::Route &route);

/// The resolved targets of all routes of one configuration, made once per revision and shared by
/// the traffic threads.
class TargetTable
{
public:
    explicit TargetTable(configuration::ConfigurationPtr configuration);

    const configuration::Configuration &configuration() const { return *configuration_; }

    /// Returns the targets of a route of this table's configuration.
    const RouteTargets &targetsOf(const configuration::Route &route) const;

private:
    configuration::ConfigurationPtr configuration_;
    std::unordered_map<const configuration::Route *, RouteTargets> routes_;
};

using TargetTablePtr = std::shared_ptr<const TargetTable>;

} // namespace chervilfield::traffic
