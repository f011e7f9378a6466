#include "configuration/configuration.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <tuple>

namespace chervilfield::configuration {

namespace {

template<typename T>
using SharedResources = std::vector<std::shared_ptr<const T>>;

constexpr auto kNameOf = [](const auto &entry) -> const std::string & { return entry->name; };

/// Returns the resource called `name`, or null. `entries` must be sorted by name.
template<typename T>
const T *findByName(const SharedResources<T> &entries, std::string_view name)
{
    const auto found = std::ranges::lower_bound(entries, name, {}, kNameOf);
    return found != entries.end() && (*found)->name == name ? found->get() : nullptr;
}

/// Calls `visitor` for each kind of resource, with its member of `ResourceSet`.
template<typename Visitor>
void forEachKind(Visitor visitor)
{
    visitor(&ResourceSet::pools, ResourceKind::Pool);
    visitor(&ResourceSet::targets, ResourceKind::Target);
    visitor(&ResourceSet::customers, ResourceKind::Customer);
    visitor(&ResourceSet::intents, ResourceKind::Intent);
}

/// Applies the changes of resources of one kind. Merges sorted lists, so that the cost is linear in
/// the number of resources even if all of them change.
template<typename T>
void applyToKind(SharedResources<T> &entries, ResourceKind kind, const ResourceChanges &changes)
{
    SharedResources<T> upserts;
    for (const Resource &resource : changes.upserts) {
        if (const T *value = std::get_if<T>(&resource))
            upserts.push_back(std::make_shared<const T>(*value));
    }
    std::vector<std::string_view> replacedNames;
    for (const auto &upsert : upserts)
        replacedNames.push_back(upsert->name);
    for (const ResourceId &id : changes.deletes) {
        if (id.kind == kind)
            replacedNames.push_back(id.name);
    }
    if (replacedNames.empty())
        return;
    std::ranges::sort(replacedNames);
    std::ranges::sort(upserts, {}, kNameOf);
    std::erase_if(entries, [&](const auto &entry) {
        return std::ranges::binary_search(replacedNames, std::string_view(entry->name));
    });
    SharedResources<T> merged;
    merged.reserve(entries.size() + upserts.size());
    std::ranges::merge(entries, upserts, std::back_inserter(merged), {}, kNameOf, kNameOf);
    entries = std::move(merged);
}

void applyChanges(ResourceSet &resources, const ResourceChanges &changes)
{
    forEachKind(
            [&](auto member, ResourceKind kind) { applyToKind(resources.*member, kind, changes); });
}

bool selects(const RoutingIntent &intent, const Pool &pool)
{
    const bool hasMatchingKind =
            intent.model.empty() ? pool.kind == TargetKind::Service
                                 : pool.kind == TargetKind::Engine && pool.model == intent.model;
    return hasMatchingKind && matches(intent.pools, pool.labels);
}

/// Returns true if lookups try `first` before `second`.
bool isTriedBefore(const Route &first, const Route &second)
{
    const auto rank = [](const RoutingIntent &intent) {
        // Negative sizes put longer prefixes and more requirements first.
        return std::make_tuple(-static_cast<std::ptrdiff_t>(intent.pathPrefix.size()),
                               std::string_view(intent.model),
                               -static_cast<std::ptrdiff_t>(intent.customers.requirements.size()),
                               std::string_view(intent.name));
    };
    return rank(*first.intent) < rank(*second.intent);
}

/// Returns true if `prefix` matches `path` up to the end of a segment.
bool isPathUnder(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix)
           && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

/// Appends the differences between two lists of one kind, which must be sorted by name.
template<typename T>
void diffKind(const SharedResources<T> &before, const SharedResources<T> &after, ResourceKind kind,
              std::vector<Difference> &result)
{
    auto oldEntry = before.begin();
    auto newEntry = after.begin();
    while (oldEntry != before.end() || newEntry != after.end()) {
        const bool isRemoved =
                newEntry == after.end()
                || (oldEntry != before.end() && (*oldEntry)->name < (*newEntry)->name);
        const bool isAdded =
                !isRemoved && (oldEntry == before.end() || (*newEntry)->name < (*oldEntry)->name);
        if (isRemoved) {
            result.push_back({ .id = { kind, (*oldEntry)->name },
                               .kind = DifferenceKind::Removed,
                               .before = **oldEntry,
                               .after = std::nullopt });
        } else if (isAdded) {
            result.push_back({ .id = { kind, (*newEntry)->name },
                               .kind = DifferenceKind::Added,
                               .before = std::nullopt,
                               .after = **newEntry });
        } else if (*oldEntry != *newEntry && **oldEntry != **newEntry) {
            result.push_back({ .id = { kind, (*oldEntry)->name },
                               .kind = DifferenceKind::Changed,
                               .before = **oldEntry,
                               .after = **newEntry });
        }
        if (!isAdded)
            ++oldEntry;
        if (!isRemoved)
            ++newEntry;
    }
}

} // namespace

Configuration::Configuration(RevisionNumber revision, ResourceSet resources)
    : revision_(revision), resources_(std::move(resources)),
      customersByKey_(resources_.customers.size())
{
    forEachKind([&](auto member, ResourceKind) {
        auto &entries = resources_.*member;
        if (!std::ranges::is_sorted(entries, {}, kNameOf))
            std::ranges::sort(entries, {}, kNameOf);
    });
    std::iota(customersByKey_.begin(), customersByKey_.end(), 0U);
    std::ranges::sort(customersByKey_, {}, [&](std::uint32_t index) -> const ApiKeyHash & {
        return resources_.customers[index]->apiKeyHash;
    });
    resolvePools();
    resolveRoutes();
}

void Configuration::resolvePools()
{
    pools_.reserve(resources_.pools.size());
    for (const auto &pool : resources_.pools) {
        ResolvedPool resolved{ .pool = pool.get(), .targets = {} };
        if (pool->source == TargetSource::Resources) {
            for (const auto &target : resources_.targets) {
                if (target->kind == pool->kind && matches(pool->selector, target->labels))
                    resolved.targets.push_back(target.get());
            }
        }
        pools_.push_back(std::move(resolved));
    }
}

void Configuration::resolveRoutes()
{
    routes_.reserve(resources_.intents.size());
    for (const auto &intent : resources_.intents) {
        Route route{ .intent = intent.get(), .pools = {} };
        for (const ResolvedPool &pool : pools_) {
            if (selects(*intent, *pool.pool))
                route.pools.push_back(&pool);
        }
        routes_.push_back(std::move(route));
    }
    std::ranges::sort(routes_, isTriedBefore);
}

const Customer *Configuration::findCustomer(const ApiKeyHash &apiKeyHash) const
{
    const auto hashOf = [&](std::uint32_t index) -> const ApiKeyHash & {
        return resources_.customers[index]->apiKeyHash;
    };
    const auto found = std::ranges::lower_bound(customersByKey_, apiKeyHash, {}, hashOf);
    return found != customersByKey_.end() && hashOf(*found) == apiKeyHash
                   ? resources_.customers[*found].get()
                   : nullptr;
}

const Route *Configuration::findModelRoute(std::string_view model, const Customer &customer) const
{
    if (model.empty())
        return nullptr;
    const auto modelOf = [](const Route &route) { return std::string_view(route.intent->model); };
    // Path routes come first and have an empty model, so the whole list is sorted by model.
    auto route = std::ranges::lower_bound(routes_, model, {}, modelOf);
    for (; route != routes_.end() && route->intent->model == model; ++route) {
        if (matches(route->intent->customers, customer.labels))
            return &*route;
    }
    return nullptr;
}

const Route *Configuration::findPathRoute(std::string_view path, const Customer &customer) const
{
    const auto found = std::ranges::find_if(routes_, [&](const Route &route) {
        const RoutingIntent &intent = *route.intent;
        return !intent.pathPrefix.empty() && isPathUnder(path, intent.pathPrefix)
               && matches(intent.customers, customer.labels);
    });
    return found == routes_.end() ? nullptr : &*found;
}

const ResolvedPool *Configuration::findPool(std::string_view name) const
{
    const auto nameOf = [](const ResolvedPool &pool) { return std::string_view(pool.pool->name); };
    const auto found = std::ranges::lower_bound(pools_, name, {}, nameOf);
    return found != pools_.end() && nameOf(*found) == name ? &*found : nullptr;
}

std::optional<Resource> Configuration::findResource(const ResourceId &id) const
{
    std::optional<Resource> result;
    forEachKind([&](auto member, ResourceKind kind) {
        if (kind != id.kind)
            return;
        if (const auto *found = findByName(resources_.*member, id.name))
            result = *found;
    });
    return result;
}

ConfigurationPtr apply(const Configuration &base, RevisionNumber number,
                       const ResourceChanges &changes)
{
    ResourceSet resources = base.resources();
    applyChanges(resources, changes);
    return std::make_shared<const Configuration>(number, std::move(resources));
}

FoldResult fold(const ConfigurationPtr &base, std::span<const Revision> entries)
{
    ResourceSet resources;
    RevisionNumber revision = base->revision();
    for (const Revision &entry : entries) {
        if (entry.number <= revision)
            continue;
        if (entry.number != revision + 1)
            break;
        if (revision == base->revision())
            resources = base->resources();
        applyChanges(resources, entry.changes);
        revision = entry.number;
    }
    const bool hasGap = !entries.empty() && entries.back().number > revision;
    if (revision == base->revision())
        return { base, hasGap };
    return { std::make_shared<const Configuration>(revision, std::move(resources)), hasGap };
}

std::vector<Difference> diff(const Configuration &before, const Configuration &after)
{
    std::vector<Difference> result;
    forEachKind([&](auto member, ResourceKind kind) {
        diffKind(before.resources().*member, after.resources().*member, kind, result);
    });
    return result;
}

} // namespace chervilfield::configuration
