#include "fleet/view.h"

#include "base/hash.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace chervilfield::fleet {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

// Returns the same scope for the same set of isolated customers, whatever their order.
std::string makeSharedCacheScope(const std::vector<Customer> &customers)
{
    std::vector<std::string_view> isolatedCustomers;
    for (const Customer &customer : customers) {
        if (customer.isolatesCache)
            isolatedCustomers.push_back(customer.name);
    }
    std::ranges::sort(isolatedCustomers);
    std::uint64_t hash = 0;
    for (const std::string_view name : isolatedCustomers)
        hash = base::hash64(name, hash);
    return "shared/" + base::toHex(hash);
}

std::shared_ptr<const detail::ConfigurationIndex> makeIndex(const Configuration &configuration)
{
    auto index = std::make_shared<detail::ConfigurationIndex>();
    for (const Route &route : configuration.routes)
        index->routesByHost[normalizedHost(route.host)].push_back(&route);
    for (auto &[host, routes] : index->routesByHost) {
        std::ranges::stable_sort(
                routes, [](auto a, auto b) { return a->prefix.size() > b->prefix.size(); });
    }
    for (const Customer &customer : configuration.customers) {
        // An empty key would match credentials that contain none.
        for (const std::string &key : customer.keys) {
            if (!key.empty())
                index->customersByKey.emplace(key, &customer);
        }
    }
    index->sharedCacheScope = makeSharedCacheScope(configuration.customers);
    return index;
}

} // namespace

View::View(std::shared_ptr<const Configuration> configuration, std::vector<Target> targets,
           WeightsHistory weights, std::uint64_t storeVersion, const View *previous)
    : configuration_(std::move(configuration)), targets_(std::move(targets)),
      weights_(std::move(weights)), storeVersion_(storeVersion)
{
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        targets_[i].key = base::hash64(targets_[i].id);
        targetsByKey_.emplace(targets_[i].key, i);
        if (targets_[i].state == TargetState::Ready)
            readyByPool_[targets_[i].pool].push_back(i);
    }
    if (configuration_ == nullptr)
        return;
    const bool isSame = previous != nullptr && previous->configuration_ == configuration_;
    index_ = isSame ? previous->index_ : makeIndex(*configuration_);
}

const Target *View::findTarget(std::uint64_t key) const
{
    const auto found = targetsByKey_.find(key);
    return found == targetsByKey_.end() ? nullptr : &targets_[found->second];
}

const Route *View::findRoute(std::string_view host, std::string_view path) const
{
    if (index_ == nullptr)
        return nullptr;
    const auto routes = index_->routesByHost.find(normalizedHost(host));
    if (routes == index_->routesByHost.end())
        return nullptr;
    const auto match = std::ranges::find_if(
            routes->second, [path](const Route *route) { return path.starts_with(route->prefix); });
    return match == routes->second.end() ? nullptr : *match;
}

const Customer *View::findCustomer(std::string_view key) const
{
    if (index_ == nullptr)
        return nullptr;
    const auto found = index_->customersByKey.find(key);
    return found == index_->customersByKey.end() ? nullptr : found->second;
}

std::string View::cacheScope(const Customer *customer) const
{
    const bool isIsolated = customer != nullptr && customer->isolatesCache;
    return isIsolated ? "customer/" + customer->name : index_->sharedCacheScope;
}

const Pool *View::findPool(std::string_view name) const
{
    if (configuration_ == nullptr)
        return nullptr;
    const auto found = std::ranges::find(configuration_->pools, name, &Pool::name);
    return found == configuration_->pools.end() ? nullptr : &*found;
}

std::span<const std::size_t> View::readyTargets(const std::string &pool) const
{
    const auto found = readyByPool_.find(pool);
    return found == readyByPool_.end() ? std::span<const std::size_t>() : found->second;
}

std::uint64_t View::desiredWeights(const std::string &model) const
{
    const auto found = weights_.find(model);
    return found == weights_.end() || found->second.empty() ? 0 : found->second.back().version;
}

std::optional<base::BootClock::time_point> View::replacedAt(const std::string &model,
                                                            std::uint64_t version) const
{
    const auto found = weights_.find(model);
    if (found == weights_.end())
        return std::nullopt;
    const auto newer =
            std::ranges::find_if(found->second, [version](const DesiredVersion &desired) {
                return desired.version > version;
            });
    return newer == found->second.end() ? std::nullopt : std::optional(newer->setAfter);
}

} // namespace chervilfield::fleet
