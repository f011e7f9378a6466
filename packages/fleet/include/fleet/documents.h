#pragma once

#include "fleet/configuration.h"
#include "fleet/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilfield::fleet {

/// A row whose content names nothing that can be used.
struct RejectedRow
{
    std::string table;
    std::string key;
    std::string reason;
};

/// What the rows of the store say about the deployment.
struct Deployment
{
    std::shared_ptr<const Configuration> configuration; ///< Null if there is none yet.
    std::vector<Target> targets;
    std::map<std::string, std::uint64_t> desiredWeights; ///< Named version by model.
    std::vector<RejectedRow> rejectedRows;
};

/// Copies of the store's tables, by name.
using TableReplicas = std::map<std::string, TableReplica>;

/// How the platform lays out the deployment in its store.
struct DeploymentSchema
{
    std::vector<std::string> tables; ///< Those that describe the deployment.
    std::string targetTable;         ///< The one in which targets register.
    std::function<Deployment(const TableReplicas &)> readDeployment;
};

} // namespace chervilfield::fleet
