#pragma once

#include "configuration/change.h"
#include "configuration/resources.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chervilfield::configuration {

/// Resources of one revision. Revisions share unchanged resources, so that a change of one of
/// 42,000 customers copies only pointers.
struct ResourceSet
{
    std::vector<std::shared_ptr<const Pool>> pools;
    std::vector<std::shared_ptr<const Target>> targets;
    std::vector<std::shared_ptr<const Customer>> customers;
    std::vector<std::shared_ptr<const RoutingIntent>> intents;
};

/// A pool with the configured targets that have its kind and match its selector. Targets of the
/// instance list are not included.
struct ResolvedPool
{
    const Pool *pool = nullptr;
    std::vector<const Target *> targets; ///< In ascending order of their names.
};

/// An intent with the pools that it selects. An intent for a model selects engine pools of the
/// model; an intent for a path prefix selects service pools.
struct Route
{
    const RoutingIntent *intent = nullptr;
    std::vector<const ResolvedPool *> pools; ///< In ascending order of their names.
};

/// Immutable snapshot of all resources at one revision, indexed for the lookups of each request.
/// The returned pointers are valid for the lifetime of the snapshot, so callers must hold its
/// `shared_ptr` while they use them.
class Configuration
{
public:
    /// Creates the empty configuration of revision 0.
    Configuration() = default;
    /// Creates a snapshot of `resources`, which may be in any order. Names must be unique within a
    /// kind.
    Configuration(RevisionNumber revision, ResourceSet resources);
    Configuration(const Configuration &) = delete;
    Configuration &operator=(const Configuration &) = delete;

    RevisionNumber revision() const { return revision_; }

    /// Returns the customer whose API key has the given hash, or null.
    const Customer *findCustomer(const ApiKeyHash &apiKeyHash) const;

    /// Returns the route of requests of `customer` for `model`, or null. Of several matching
    /// intents, the one with the most requirements on customers takes precedence, then the first by
    /// name.
    const Route *findModelRoute(std::string_view model, const Customer &customer) const;

    /// Returns the route of requests of `customer` for `path`, which has no query, or null. The
    /// longest prefix takes precedence, then the rules of `findModelRoute` apply. A prefix matches
    /// only whole segments: `/orders` matches `/orders/7` but not `/ordersheet`.
    const Route *findPathRoute(std::string_view path, const Customer &customer) const;

    /// Returns the pool called `name` with its targets, or null.
    const ResolvedPool *findPool(std::string_view name) const;

    /// Returns a copy of the resource, or no value if it does not exist.
    std::optional<Resource> findResource(const ResourceId &id) const;

    /// Returns all resources, in ascending order of their names within a kind.
    const ResourceSet &resources() const { return resources_; }
    /// Returns all pools, in ascending order of their names.
    std::span<const ResolvedPool> pools() const { return pools_; }
    /// Returns the routes of all intents, in the order in which lookups try them.
    std::span<const Route> routes() const { return routes_; }

private:
    void resolvePools();
    void resolveRoutes();

    RevisionNumber revision_ = 0;
    ResourceSet resources_;
    std::vector<ResolvedPool> pools_;
    std::vector<Route> routes_;                 ///< In the order in which lookups try them.
    std::vector<std::uint32_t> customersByKey_; ///< Indexes of customers, sorted by API key hash.
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Returns a copy of `base` with `changes` applied, as revision `number`.
ConfigurationPtr apply(const Configuration &base, RevisionNumber number,
                       const ResourceChanges &changes);

/// Result of applying log entries to a configuration.
struct FoldResult
{
    ConfigurationPtr configuration; ///< The base itself if no entry continues it.
    bool hasGap = false; ///< True if an entry was skipped because an earlier one is missing.
};

/// Applies `entries`, which must be in ascending order, to `base` up to the first gap. Skips
/// entries that `base` already contains.
FoldResult fold(const ConfigurationPtr &base, std::span<const Revision> entries);

/// Kind of a difference between two configurations.
enum class DifferenceKind { Added, Changed, Removed };

/// Difference of one resource between two configurations.
struct Difference
{
    ResourceId id;
    DifferenceKind kind = DifferenceKind::Added;
    std::optional<Resource> before; ///< No value if the resource was added.
    std::optional<Resource> after;  ///< No value if the resource was removed.
};

/// Returns the differences between two configurations, sorted by kind and name.
std::vector<Difference> diff(const Configuration &before, const Configuration &after);

} // namespace chervilfield::configuration
