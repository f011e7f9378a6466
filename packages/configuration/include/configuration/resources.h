#pragma once

#include "configuration/labels.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace chervilfield::configuration {

/// Kind of a target. An engine serves a language model; a service serves any other requests.
enum class TargetKind { Engine, Service };

/// Source of the targets of a pool.
enum class TargetSource {
    Resources,    ///< `Target` resources of the configuration.
    InstanceList, ///< Instance list of the platform.
};

/// Traffic class of a request.
enum class TrafficClass { Interactive, Batch };

/// SHA-256 hash of an API key. The key itself is never stored.
struct ApiKeyHash
{
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const ApiKeyHash &) const = default;
};

/// Returns the hash of `apiKey` as stored in `Customer::apiKeyHash`.
ApiKeyHash hashApiKey(std::string_view apiKey);

/// A group of interchangeable targets, selected by their labels.
struct Pool
{
    std::string name{};
    Labels labels{};          ///< Labels by which intents select the pool.
    LabelSelector selector{}; ///< Selects the targets of the pool by their labels.
    TargetKind kind = TargetKind::Engine;
    std::string model{};   ///< Engine pools only.
    std::string weights{}; ///< Desired version of the weights; engine pools only.
    std::string adapter{}; ///< Empty if there is none; engine pools only.
    /// Maximum number of requests that one engine decodes concurrently; engine pools only.
    std::uint32_t batchSlots = 32;
    /// Prompt tokens that one engine computes per second without cache hits; engine pools only.
    std::uint32_t prefillRate = 40'000;
    TargetSource source = TargetSource::Resources;

    bool operator==(const Pool &) const = default;
};

/// An engine or service process that serves requests.
struct Target
{
    std::string name{};
    std::string address{}; ///< Numeric IPv4 address and port, `a.b.c.d:port`.
    TargetKind kind = TargetKind::Engine;
    Labels labels{};
    std::string dataCentre{};
    bool checksFencing = false; ///< True if the target refuses orders with a stale fencing token.

    bool operator==(const Target &) const = default;
};

/// A customer, identified by its API key.
struct Customer
{
    std::string name{};
    ApiKeyHash apiKeyHash{};
    Labels labels{};
    /// Share of the capacity under saturation, relative to the other customers.
    std::uint32_t weight = 1;

    bool operator==(const Customer &) const = default;
};

/// Routes the requests of the selected customers to the selected pools. Applies to requests for
/// `model` or to paths under `pathPrefix`; exactly one of the two is set.
struct RoutingIntent
{
    std::string name{};
    std::string model{};
    std::string pathPrefix{};
    LabelSelector customers{};
    LabelSelector pools{};
    bool isIdempotent = true; ///< True if a request may be executed more than once.
    /// Traffic class of requests that state none.
    TrafficClass trafficClass = TrafficClass::Interactive;
    /// Priority of requests that state none, 0 to 9; higher values go first.
    std::int32_t priority = 0;
    /// Maximum time to the first token of requests that state no deadline; 0 means none. In JSON it
    /// is the member `deadlineMs`.
    std::chrono::milliseconds firstTokenTimeout{ 0 };

    bool operator==(const RoutingIntent &) const = default;
};

using Resource = std::variant<Pool, Target, Customer, RoutingIntent>;

/// Kind of a resource. The order is that of the alternatives of `Resource`.
enum class ResourceKind { Pool, Target, Customer, Intent };

/// Identifies a resource. Names are unique within a kind.
struct ResourceId
{
    ResourceKind kind = ResourceKind::Pool;
    std::string name{};

    auto operator<=>(const ResourceId &) const = default;
};

/// Returns the kind and the name of a resource.
ResourceId idOf(const Resource &resource);

/// Returns "pool", "target", "customer" or "intent".
std::string_view toString(ResourceKind kind);
/// Returns "engine" or "service".
std::string_view toString(TargetKind kind);
/// Returns "resources" or "instance-list".
std::string_view toString(TargetSource source);
/// Returns "interactive" or "batch".
std::string_view toString(TrafficClass trafficClass);
/// Returns "<kind>/<name>".
std::string toString(const ResourceId &id);

} // namespace chervilfield::configuration
