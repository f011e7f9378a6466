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

/// An engine is a model back end; a service is a plain back end.
enum class TargetKind { Engine, Service };

/// Where the targets of a pool come from.
enum class TargetSource {
    Resources,    ///< `Target` resources of the configuration.
    InstanceList, ///< The platform's instance list.
};

enum class TrafficClass { Interactive, Batch };

/// SHA-256 of an API key. The key itself is never stored.
struct ApiKeyHash
{
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const ApiKeyHash &) const = default;
};

/// Returns the hash under which `Customer::apiKeyHash` stores `apiKey`.
ApiKeyHash hashApiKey(std::string_view apiKey);

/// A set of interchangeable targets, chosen by their labels.
struct Pool
{
    std::string name{};
    Labels labels{};          ///< Labels that intents select pools by.
    LabelSelector selector{}; ///< Selects targets by their labels.
    TargetKind kind = TargetKind::Engine;
    std::string model{};   ///< Engine pools only.
    std::string weights{}; ///< Version of the weights to load; engine pools only.
    std::string adapter{}; ///< Empty if none; engine pools only.
    /// Requests that one engine decodes at the same time; engine pools only.
    std::uint32_t batchSlots = 32;
    /// Prompt tokens that one engine computes per second without a cache hit; engine pools only.
    std::uint32_t prefillRate = 40'000;
    TargetSource source = TargetSource::Resources;

    bool operator==(const Pool &) const = default;
};

/// One engine or service process that requests can be sent to.
struct Target
{
    std::string name{};
    std::string address{}; ///< Numeric `a.b.c.d:port`.
    TargetKind kind = TargetKind::Engine;
    Labels labels{};
    std::string dataCentre{};
    bool checksFencing = false; ///< Whether the target refuses orders with an old fencing number.

    bool operator==(const Target &) const = default;
};

struct Customer
{
    std::string name{};
    ApiKeyHash apiKeyHash{};
    Labels labels{};
    std::uint32_t weight = 1; ///< Share of capacity under saturation, relative to others.

    bool operator==(const Customer &) const = default;
};

/// Connects requests to pools: requests of the selected customers for `model`, or under
/// `pathPrefix`, go to the selected pools. Exactly one of the two is set.
struct RoutingIntent
{
    std::string name{};
    std::string model{};
    std::string pathPrefix{};
    LabelSelector customers{};
    LabelSelector pools{};
    bool isIdempotent = true;
    TrafficClass trafficClass = TrafficClass::Interactive; ///< Unless the request states one.
    std::int32_t priority = 0; ///< 0 to 9, higher first; unless the request states one.
    std::chrono::milliseconds deadline{ 0 }; ///< 0 = none; unless the request states one.

    bool operator==(const RoutingIntent &) const = default;
};

using Resource = std::variant<Pool, Target, Customer, RoutingIntent>;

/// In the order of the alternatives of `Resource`.
enum class ResourceKind { Pool, Target, Customer, Intent };

/// Names one resource. Names are unique within their kind.
struct ResourceId
{
    ResourceKind kind = ResourceKind::Pool;
    std::string name{};

    auto operator<=>(const ResourceId &) const = default;
};

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
