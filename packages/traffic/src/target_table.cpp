#include "traffic/target_table.h"

#include "base/hash.h"

namespace chervilfield::traffic {

routing::TargetId targetId(std::string_view name)
{
    return base::hash64(name);
}

RouteTargets resolveTargets(const configuration::Route &route)
{
    RouteTargets result;
    for (const configuration::ResolvedPool *pool : route.pools) {
        for (const configuration::Target *target : pool->targets) {
            const auto address = net::parseAddress(target->address);
            if (!address.has_value())
                continue;
            result.targets.push_back({ .id = targetId(target->name),
                                       .name = target->name,
                                       .address = *address,
                                       .dataCentre = target->dataCentre });
        }
        if (!result.targets.empty()) {
            result.pool = pool->pool;
            break;
        }
    }
    return result;
}

TargetTable::TargetTable(configuration::ConfigurationPtr configuration)
    : configuration_(std::move(configuration))
{
    for (const configuration::Route &route : configuration_->routes())
        routes_.emplace(&route, resolveTargets(route));
}

const RouteTargets &TargetTable::targetsOf(const configuration::Route &route) const
{
    return routes_.at(&route);
}

} // namespace chervilfield::traffic
