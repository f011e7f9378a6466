#pragma once

#include "net/address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Description of the deployment that an entry instance serves: routes, pools, customers and
/// targets. The types are independent of the data formats of the platform.
namespace chervilfield::fleet {

/// Kind of a request, which determines how often it may be executed.
enum class RequestKind {
    Idempotent,    ///< Any number of times.
    NonIdempotent, ///< At most once.
    Stream,        ///< A stream of events; at most once unless the route is resumable.
};

/// A pool that serves a route, and its weight in the split of the requests.
struct PoolShare
{
    std::string pool;
    double weight = 1;
};

/// Rules for requests to one host whose path begins with a prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Prefix of the path; begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    std::vector<PoolShare> pools;
    std::chrono::milliseconds timeout{ 0 };      ///< Maximum time that a caller waits.
    std::chrono::milliseconds latencyGoal{ 0 };  ///< Time to the whole answer or the first event.
    std::chrono::milliseconds eventGapGoal{ 0 }; ///< Maximum time between two events.
    int priority = 0;                            ///< 0 is the highest priority.
    std::uint32_t maxTargets = 1;                ///< Maximum number of targets tried per request.
    bool allowsAnonymous = false;                ///< True if no API key is required.
    bool isResumable = false; ///< True if a target can continue a stream after a given event.
};

/// Properties that all engines of a pool share.
struct EngineTraits
{
    std::uint32_t slots = 1;       ///< Maximum number of requests that run concurrently.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and cached prefixes, in tokens.
    std::uint64_t bytesPerToken = 0; ///< Size of the cached state of one token.
};

/// A shared store of cached prefixes. Targets use it; requests of callers are never routed to it.
struct CacheStore
{
    net::Address address;
    std::string dataCentre;
};

/// A group of interchangeable targets that serves one or more routes.
struct Pool
{
    std::string name;
    /// Maximum number of connections per target, from all callers together; 0 if unknown.
    std::uint32_t maxConnections = 0;
    std::optional<EngineTraits> engine;
    std::optional<CacheStore> store;
};

/// Unit in which a usage limit counts requests.
enum class CostUnit {
    Requests, ///< Each request costs 1.
    Tokens,   ///< A request costs its prompt tokens plus its maximum number of output tokens.
};

/// Limit on the usage of a customer, over all instances together: a token bucket that holds `burst`
/// and is refilled by `ratePerSecond`, both in `unit`.
struct UsageLimit
{
    double ratePerSecond = 0;
    double burst = 0;
    CostUnit unit = CostUnit::Requests;
    double defaultTokens = 0; ///< Cost of a request that does not state its tokens.
    bool operator==(const UsageLimit &) const = default;
};

/// A customer with its API keys.
struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Overrides the priority of the route.
    bool isolatesCache = false;  ///< True if cached prefixes are not shared with other customers.
    std::optional<UsageLimit> usageLimit; ///< No value if the usage is not limited.
    /// Reason why the stated usage limit is invalid; empty if it is valid or not stated.
    std::string invalidUsageLimit{};
};

/// Limits on the requests of callers. A value of 0 keeps the limit of the settings.
struct CallerLimits
{
    std::uint64_t maxHeadBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    std::chrono::milliseconds headTimeout{ 0 };
    std::chrono::milliseconds idleTimeout{ 0 };
};

/// One accepted version of the whole configuration.
struct Configuration
{
    std::uint64_t version = 0;
    std::uint64_t storeVersion = 0; ///< Version of the store's row that holds it; 0 if unknown.
    std::vector<Route> routes;
    std::vector<Pool> pools;
    std::vector<Customer> customers;
    CallerLimits limits;
};

/// State of a target. Draining targets get no new requests.
enum class TargetState { Ready, Draining };

/// One run of a target, with the properties that it registered.
struct Target
{
    std::string id;
    std::uint64_t key = 0; ///< Hash of `id`; set by `View`.
    std::string pool;
    net::Address address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    TargetState state = TargetState::Ready;
    std::uint64_t startedAt = 0; ///< Start of the run in Unix milliseconds; differs between runs.
    std::map<std::string, std::uint64_t> weights; ///< Version by model.
};

/// Desired weights version of a model on all targets.
struct ModelWeights
{
    std::string model;
    std::uint64_t version = 0;
};

} // namespace chervilfield::fleet
