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

/// The resources of one revision. Entries are shared between revisions, so that a change to one of
/// 42,000 customers copies pointers only.
struct ResourceSet
{
    std::vector<std::shared_ptr<const Pool>> pools;
    std::vector<std::shared_ptr<const Target>> targets;
    std::vector<std::shared_ptr<const Customer>> customers;
    std::vector<std::shared_ptr<const RoutingIntent>> intents;
};

/// A pool and those of the configured targets that have its kind and match its selector, by name.
/// Targets of the instance list are not included.
struct ResolvedPool
{
    const Pool *pool = nullptr;
    std::vector<const Target *> targets;
};

/// An intent and the pools it selects, by name. A model intent selects engine pools of its model;
/// a path intent selects service pools.
struct Route
{
    const RoutingIntent *intent = nullptr;
    std::vector<const ResolvedPool *> pools;
};

/// Immutable snapshot of all resources at one revision, with the look-ups that each request needs.
/// Pointers that it returns are valid as long as the snapshot; hold the `shared_ptr` meanwhile.
class Configuration
{
public:
    /// The empty configuration of revision 0.
    Configuration() = default;
    /// `resources` may be in any order; names must be unique within their kind.
    Configuration(RevisionNumber revision, ResourceSet resources);
    Configuration(const Configuration &) = delete;
    Configuration &operator=(const Configuration &) = delete;

    RevisionNumber revision() const { return revision_; }

    /// Returns the customer whose API key has this hash, or a null pointer.
    const Customer *findCustomer(const ApiKeyHash &apiKeyHash) const;

    /// Returns the route of requests of `customer` for `model`, or a null pointer. Of several
    /// matching intents, the one with the most customer requirements wins, then the first by name.
    const Route *findModelRoute(std::string_view model, const Customer &customer) const;

    /// Returns the route of requests of `customer` for `path` (without a query), or a null pointer.
    /// The longest prefix wins, then the rule of `findModelRoute` applies. A prefix matches whole
    /// segments: `/orders` matches `/orders/7` but not `/ordersheet`.
    const Route *findPathRoute(std::string_view path, const Customer &customer) const;

    /// Returns the pool with this name and its targets, or a null pointer.
    const ResolvedPool *findPool(std::string_view name) const;

    /// Returns a copy of the resource, or nothing.
    std::optional<Resource> findResource(const ResourceId &id) const;

    /// All resources, in ascending order of their names within a kind.
    const ResourceSet &resources() const { return resources_; }
    std::span<const ResolvedPool> pools() const { return pools_; }
    std::span<const Route> routes() const { return routes_; }

private:
    void resolvePools();
    void resolveRoutes();

    RevisionNumber revision_ = 0;
    ResourceSet resources_;
    std::vector<ResolvedPool> pools_;
    std::vector<Route> routes_;                 ///< In the order in which look-ups try them.
    std::vector<std::uint32_t> customersByKey_; ///< Indexes into customers, by API key hash.
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Returns `base` with `changes` applied under the revision `number`.
ConfigurationPtr apply(const Configuration &base, RevisionNumber number,
                       const ResourceChanges &changes);

/// Result of folding log entries into a configuration.
struct FoldResult
{
    ConfigurationPtr configuration; ///< `base` itself if no entry continues it.
    bool hasGap = false; ///< Whether an entry was left out because one before it is missing.
};

/// Applies those of `entries` (in ascending order) that continue `base` without a gap. Entries that
/// `base` already contains are skipped.
FoldResult fold(const ConfigurationPtr &base, std::span<const Revision> entries);

enum class DifferenceKind { Added, Changed, Removed };

/// How one resource differs between two configurations.
struct Difference
{
    ResourceId id;
    DifferenceKind kind = DifferenceKind::Added;
    std::optional<Resource> before;
    std::optional<Resource> after;
};

/// Returns the resources that differ, by kind and name.
std::vector<Difference> diff(const Configuration &before, const Configuration &after);

} // namespace chervilfield::configuration
