#pragma once

#include "base/boot_clock.h"
#include "fleet/configuration.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilfield::fleet {

/// A desired weights version.
struct DesiredVersion
{
    std::uint64_t version = 0;
    /// Latest known time at which the operator had not set the version yet.
    base::BootClock::time_point setAfter{};
    /// True if `setAfter` is an assumption because the version was set before this instance
    /// started.
    bool isAssumed = false;
};

/// Desired weights versions by model, in ascending order.
using WeightsHistory = std::map<std::string, std::vector<DesiredVersion>>;

namespace detail {

/// Look-up tables of a configuration, which must outlive them.
struct ConfigurationIndex
{
    /// Routes by host, in descending order of prefix length.
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost;
    std::unordered_map<std::string_view, const Customer *> customersByKey;
    std::string sharedCacheScope; ///< Scope of all requests but those of isolated customers.
};

} // namespace detail

/// Immutable snapshot of the deployment, indexed for use by the traffic threads.
class View
{
public:
    View() = default;
    /// `weights` are the desired versions, which the operator sets. `storeVersion` is the store
    /// version of the snapshot. Shares the index of `previous`, which may
    /// be null, if that has the same configuration.
    View(std::shared_ptr<const Configuration> configuration, std::vector<Target> targets,
         WeightsHistory weights, std::uint64_t storeVersion, const View *previous = nullptr);

    /// Returns true if a configuration is known.
    bool isComplete() const { return configuration_ != nullptr; }

    /// Returns the configuration. Must be called only if the view is complete.
    const Configuration &configuration() const { return *configuration_; }

    /// Returns the configuration, or null if none is known.
    const std::shared_ptr<const Configuration> &sharedConfiguration() const
    {
        return configuration_;
    }

    /// Returns the route on `host` with the longest prefix that matches `path`, or null. Ignores
    /// the port and the case of `host`.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the customer with the API key `key`, or null.
    const Customer *findCustomer(std::string_view key) const;

    /// Returns the scope of cached prefixes for the requests of `customer`, which is one of this
    /// view, or null for anonymous requests. Isolated customers have scopes of their own. The
    /// others share one, which differs between configurations whose isolated customers differ: the
    /// scope of another configuration may have prompts of a customer that is isolated in this one.
    /// Must be called only if the view is complete.
    std::string cacheScope(const Customer *customer) const;

    /// Returns the pool called `name`, or null.
    const Pool *findPool(std::string_view name) const;

    const std::vector<Target> &targets() const { return targets_; }

    /// Returns the target whose id has the hash `key`, or null.
    const Target *findTarget(std::uint64_t key) const;

    /// Returns the indexes into `targets()` of the ready targets of a pool.
    std::span<const std::size_t> readyTargets(const std::string &pool) const;

    /// Returns the desired weights version of `model`, 0 if there is none.
    std::uint64_t desiredWeights(const std::string &model) const;

    /// Returns the latest known time at which no desired version of `model` was later than
    /// `version`, or no value if there is no later one.
    std::optional<base::BootClock::time_point> replacedAt(const std::string &model,
                                                          std::uint64_t version) const;

    std::uint64_t storeVersion() const { return storeVersion_; }

private:
    std::shared_ptr<const Configuration> configuration_;
    std::vector<Target> targets_;
    WeightsHistory weights_;
    std::uint64_t storeVersion_ = 0;
    std::shared_ptr<const detail::ConfigurationIndex> index_; ///< Null without a configuration.
    std::unordered_map<std::string, std::vector<std::size_t>> readyByPool_;
    std::unordered_map<std::uint64_t, std::size_t> targetsByKey_;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace chervilfield::fleet
