#pragma once

#include "fleet/configuration.h"
#include "fleet/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilfield::fleet {

/// A row of the store that was ignored because its content is invalid.
struct RejectedRow
{
    std::string table;
    std::string key;
    std::string reason;
};

/// The deployment as read from the rows of the store.
struct Deployment
{
    std::shared_ptr<const Configuration> configuration; ///< Null if there is none yet.
    std::vector<Target> targets;
    std::map<std::string, std::uint64_t> desiredWeights; ///< Desired version by model.
    std::vector<RejectedRow> rejectedRows;
};

/// Replicas of the store's tables by table name.
using TableReplicas = std::map<std::string, TableReplica>;

/// Tables of the platform's store that describe the deployment, and the function that decodes them.
struct DeploymentSchema
{
    std::vector<std::string> tables; ///< Names of the tables that describe the deployment.
    std::string targetTable;         ///< Name of the table in which targets register.
    /// Decodes the rows of the tables. Lists invalid rows in `Deployment::rejectedRows`. Returns
    /// `previous`, which may be null, as the configuration if its row has not changed.
    std::function<Deployment(const TableReplicas &,
                             const std::shared_ptr<const Configuration> &previous)>
            readDeployment;
};

} // namespace chervilfield::fleet
