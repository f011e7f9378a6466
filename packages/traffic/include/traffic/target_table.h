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

/// Identity and address of one target.
struct TargetInfo
{
    routing::TargetId id = 0;
    std::string name;
    net::Address address;
    std::string dataCentre;
};

/// Targets of one route, in the order in which they are passed to the routing package.
struct RouteTargets
{
    /// First pool of the route that has targets. Owned by the configuration.
    const configuration::Pool *pool = nullptr;
    std::vector<TargetInfo> targets;
};

/// Returns the stable id of a target: the hash of its name.
routing::TargetId targetId(std::string_view name);

/// Returns the targets of the first pool of `route` that has any; `pool` is null if none has.
/// Targets with an invalid address are left out.
RouteTargets resolveTargets(const configuration::Route &route);

/// Resolved targets of all routes of one configuration, built once per revision and shared by the
/// traffic threads.
class TargetTable
{
public:
    explicit TargetTable(configuration::ConfigurationPtr configuration);

    /// Returns the configuration, which lives as long as the table.
    const configuration::Configuration &configuration() const { return *configuration_; }

    /// Returns the targets of a route of this table's configuration.
    const RouteTargets &targetsOf(const configuration::Route &route) const;

private:
    configuration::ConfigurationPtr configuration_;
    std::unordered_map<const configuration::Route *, RouteTargets> routes_;
};

using TargetTablePtr = std::shared_ptr<const TargetTable>;

} // namespace chervilfield::traffic
