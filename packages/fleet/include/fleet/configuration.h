#pragma once

#include "net/address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What an entry instance knows about the deployment that it serves: routes, pools, customers and
/// targets, as plain values without any format of the platform.
namespace chervilfield::fleet {

/// How often the work of a request may be run.
enum class RequestKind {
    Idempotent,    ///< Any number of times.
    NonIdempotent, ///< At most once.
    Stream,        ///< A stream of events; at most once unless the route is resumable.
};

/// A pool that serves a route, with its share of the requests.
struct PoolShare
{
    std::string pool;
    double weight = 1;
};

/// Requests of one host whose path begins with a prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    std::vector<PoolShare> pools;
    std::chrono::milliseconds timeout{ 0 };      ///< Longest time that a caller is kept waiting.
    std::chrono::milliseconds latencyGoal{ 0 };  ///< To the whole answer, or to the first event.
    std::chrono::milliseconds eventGapGoal{ 0 }; ///< Longest pause between events.
    int priority = 0;                            ///< 0 is served first.
    std::uint32_t maxTargets = 1;                ///< Targets that one request may be sent to.
    bool allowsAnonymous = false;
    bool isResumable = false;
};

/// Properties that all engines of a pool share.
struct EngineTraits
{
    std::uint32_t slots = 1;         ///< Requests that run at the same time.
    std::uint64_t cacheTokens = 0;   ///< Memory for running requests and cached prefixes.
    std::uint64_t bytesPerToken = 0; ///< Size of the cached state of one token.
};

/// A shared store of cached prefixes. No request is routed to it.
struct CacheStore
{
    net::Address address;
    std::string dataCentre;
};

/// Targets that are interchangeable for the routes that name them.
struct Pool
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< Per target, from all callers together; 0 if unknown.
    std::optional<EngineTraits> engine;
    std::optional<CacheStore> store;
};

struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Replaces the priority of the route.
    bool isolatesCache = false;  ///< Shares no cached prefix with other customers.
};

/// Limits on what callers may send. Zero leaves the limit of the settings.
struct CallerLimits
{
    std::uint64_t maxHeadBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    std::chrono::milliseconds headTimeout{ 0 };
    std::chrono::milliseconds idleTimeout{ 0 };
};

/// One accepted configuration, complete.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    std::vector<Customer> customers;
    CallerLimits limits;
};

enum class TargetState { Ready, Draining };

/// One run of a target, as it registered itself.
struct Target
{
    std::string id;
    std::uint64_t key = 0; ///< Hash of `id`, set by the view.
    std::string pool;
    net::Address address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    TargetState state = TargetState::Ready;
    std::uint64_t startedAt = 0; ///< Unix milliseconds; tells two runs under one id apart.
    std::map<std::string, std::uint64_t> weights; ///< Version by model.
};

/// Weights that a model should have everywhere.
struct ModelWeights
{
    std::string model;
    std::uint64_t version = 0;
};

} // namespace chervilfield::fleet
