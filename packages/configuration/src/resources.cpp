#include "configuration/change.h"
#include "configuration/resources.h"

#include <openssl/sha.h>

namespace chervilfield::configuration {

ApiKeyHash hashApiKey(std::string_view apiKey)
{
    ApiKeyHash hash;
    // OpenSSL takes unsigned characters.
    SHA256(reinterpret_cast<const unsigned char *>(apiKey.data()), apiKey.size(),
           hash.bytes.data());
    return hash;
}

ResourceId idOf(const Resource &resource)
{
    return { static_cast<ResourceKind>(resource.index()),
             std::visit([](const auto &value) { return value.name; }, resource) };
}

std::string_view toString(ResourceKind kind)
{
    switch (kind) {
    case ResourceKind::Pool:
        return "pool";
    case ResourceKind::Target:
        return "target";
    case ResourceKind::Customer:
        return "customer";
    case ResourceKind::Intent:
        break;
    }
    return "intent";
}

std::string_view toString(TargetKind kind)
{
    return kind == TargetKind::Engine ? "engine" : "service";
}

std::string_view toString(TargetSource source)
{
    return source == TargetSource::Resources ? "resources" : "instance-list";
}

std::string_view toString(TrafficClass trafficClass)
{
    return trafficClass == TrafficClass::Interactive ? "interactive" : "batch";
}

std::string toString(const ResourceId &id)
{
    return std::string(toString(id.kind)) + "/" + id.name;
}

Revision toRevision(const Change &change)
{
    return { .number = change.baseRevision + 1,
             .writeId = change.writeId,
             .changes = change.changes };
}

} // namespace chervilfield::configuration
