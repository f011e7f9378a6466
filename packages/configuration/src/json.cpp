#include "configuration/json.h"

#include "json_reader.h"

#include <boost/json.hpp>

namespace chervilfield::configuration {

namespace json = boost::json;

namespace {

using Errors = std::vector<ValidationError>;

std::string toHex(const ApiKeyHash &hash)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : hash.bytes) {
        text += kDigits[byte >> 4U];
        text += kDigits[byte & 0xfU];
    }
    return text;
}

json::object encode(const Labels &labels)
{
    json::object result;
    for (const Label &label : labels)
        result[label.key] = label.value;
    return result;
}

json::object encodeFields(const Pool &pool)
{
    return { { "resource", "pool" },
             { "name", pool.name },
             { "labels", encode(pool.labels) },
             { "selector", toString(pool.selector) },
             { "kind", toString(pool.kind) },
             { "model", pool.model },
             { "weights", pool.weights },
             { "adapter", pool.adapter },
             { "batchSlots", pool.batchSlots },
             { "prefillRate", pool.prefillRate },
             { "source", toString(pool.source) } };
}

json::object encodeFields(const Target &target)
{
    return { { "resource", "target" },
             { "name", target.name },
             { "address", target.address },
             { "kind", toString(target.kind) },
             { "labels", encode(target.labels) },
             { "dataCentre", target.dataCentre },
             { "checksFencing", target.checksFencing } };
}

json::object encodeFields(const Customer &customer)
{
    return { { "resource", "customer" },
             { "name", customer.name },
             { "apiKeyHash", toHex(customer.apiKeyHash) },
             { "labels", encode(customer.labels) },
             { "weight", customer.weight } };
}

json::object encodeFields(const RoutingIntent &intent)
{
    json::object result{ { "resource", "intent" }, { "name", intent.name } };
    if (intent.pathPrefix.empty())
        result["model"] = intent.model;
    else
        result["pathPrefix"] = intent.pathPrefix;
    result["customers"] = toString(intent.customers);
    result["pools"] = toString(intent.pools);
    result["idempotent"] = intent.isIdempotent;
    result["trafficClass"] = toString(intent.trafficClass);
    result["priority"] = intent.priority;
    result["deadlineMs"] = intent.firstTokenTimeout.count();
    return result;
}

json::object encode(const Resource &resource)
{
    return std::visit([](const auto &value) { return encodeFields(value); }, resource);
}

json::object encode(const ResourceId &id)
{
    return { { "resource", toString(id.kind) }, { "name", id.name } };
}

void encodeInto(json::object &result, const ResourceChanges &changes)
{
    json::array upserts;
    for (const Resource &resource : changes.upserts)
        upserts.push_back(encode(resource));
    json::array deletes;
    for (const ResourceId &id : changes.deletes)
        deletes.push_back(encode(id));
    result["upserts"] = std::move(upserts);
    result["deletes"] = std::move(deletes);
}

json::object encode(const Revision &revision)
{
    json::object result{ { "revision", revision.number }, { "writeId", revision.writeId } };
    encodeInto(result, revision.changes);
    return result;
}

void decodeFields(ObjectReader &reader, Pool &pool)
{
    reader.read("labels", pool.labels);
    reader.read("selector", pool.selector);
    reader.readChoice("kind", pool.kind, { TargetKind::Engine, TargetKind::Service });
    reader.read("model", pool.model);
    reader.read("weights", pool.weights);
    reader.read("adapter", pool.adapter);
    reader.readInteger("batchSlots", pool.batchSlots);
    reader.readInteger("prefillRate", pool.prefillRate);
    reader.readChoice("source", pool.source,
                      { TargetSource::Resources, TargetSource::InstanceList });
}

void decodeFields(ObjectReader &reader, Target &target)
{
    reader.read("address", target.address, ObjectReader::Presence::Required);
    reader.readChoice("kind", target.kind, { TargetKind::Engine, TargetKind::Service });
    reader.read("labels", target.labels);
    reader.read("dataCentre", target.dataCentre, ObjectReader::Presence::Required);
    reader.read("checksFencing", target.checksFencing);
}

void decodeFields(ObjectReader &reader, Customer &customer)
{
    reader.read("apiKeyHash", customer.apiKeyHash);
    reader.read("labels", customer.labels);
    reader.readInteger("weight", customer.weight);
}

void decodeFields(ObjectReader &reader, RoutingIntent &intent)
{
    reader.read("model", intent.model);
    reader.read("pathPrefix", intent.pathPrefix);
    reader.read("customers", intent.customers);
    reader.read("pools", intent.pools);
    reader.read("idempotent", intent.isIdempotent);
    reader.readChoice("trafficClass", intent.trafficClass,
                      { TrafficClass::Interactive, TrafficClass::Batch });
    reader.readInteger("priority", intent.priority);
    std::int64_t deadlineMs = 0;
    reader.readInteger("deadlineMs", deadlineMs);
    intent.firstTokenTimeout = std::chrono::milliseconds(deadlineMs);
}

ResourceId decodeId(ObjectReader &reader)
{
    ResourceId id;
    reader.readChoice("resource", id.kind,
                      { ResourceKind::Pool, ResourceKind::Target, ResourceKind::Customer,
                        ResourceKind::Intent },
                      ObjectReader::Presence::Required);
    reader.read("name", id.name, ObjectReader::Presence::Required);
    return id;
}

template<typename T>
Resource decodeAs(ObjectReader &reader, const std::string &name)
{
    T value;
    value.name = name;
    decodeFields(reader, value);
    return value;
}

/// Returns the subject of errors in an element of a list: "<what> <index> (<name>)".
std::string describeEntry(std::string_view what, std::size_t index, const json::value &value)
{
    std::string subject = std::string(what) + " " + std::to_string(index);
    if (const json::object *object = value.if_object()) {
        const json::value *name = object->if_contains("name");
        if (name != nullptr && name->is_string())
            subject += " (" + std::string(name->get_string()) + ")";
    }
    return subject;
}

Resource decodeResource(const json::value &value, std::string subject, Errors &errors)
{
    const std::size_t errorCount = errors.size();
    ObjectReader reader(value, std::move(subject), errors);
    const ResourceId id = decodeId(reader);
    // Without a known kind, the remaining members cannot be decoded.
    if (errors.size() != errorCount)
        return {};
    Resource result;
    switch (id.kind) {
    case ResourceKind::Pool:
        result = decodeAs<Pool>(reader, id.name);
        break;
    case ResourceKind::Target:
        result = decodeAs<Target>(reader, id.name);
        break;
    case ResourceKind::Customer:
        result = decodeAs<Customer>(reader, id.name);
        break;
    case ResourceKind::Intent:
        result = decodeAs<RoutingIntent>(reader, id.name);
        break;
    }
    reader.reportUnreadMembers();
    return result;
}

std::vector<Resource> decodeResources(const json::array &values, Errors &errors)
{
    std::vector<Resource> result;
    for (std::size_t i = 0; i < values.size(); ++i)
        result.push_back(
                decodeResource(values[i], describeEntry("resource", i, values[i]), errors));
    return result;
}

std::vector<ResourceId> decodeDeletes(const json::array &values, Errors &errors)
{
    std::vector<ResourceId> result;
    for (std::size_t i = 0; i < values.size(); ++i) {
        ObjectReader reader(values[i], describeEntry("delete", i, values[i]), errors);
        result.push_back(decodeId(reader));
        reader.reportUnreadMembers();
    }
    return result;
}

ResourceChanges decodeChanges(ObjectReader &reader, std::string_view upsertsKey, Errors &errors)
{
    ResourceChanges changes;
    changes.upserts = decodeResources(reader.readArray(upsertsKey), errors);
    changes.deletes = decodeDeletes(reader.readArray("deletes"), errors);
    return changes;
}

Revision decodeRevision(const json::value &value, std::string subject, Errors &errors)
{
    Revision revision;
    ObjectReader reader(value, std::move(subject), errors);
    reader.readInteger("revision", revision.number, ObjectReader::Presence::Required);
    reader.read("writeId", revision.writeId, ObjectReader::Presence::Required);
    revision.changes = decodeChanges(reader, "upserts", errors);
    reader.reportUnreadMembers();
    return revision;
}

/// Parses `text` as JSON and decodes it. Returns no value if there is any error.
template<typename Decode>
auto parseWith(std::string_view text, Errors &errors, Decode decode)
        -> std::optional<std::decay_t<std::invoke_result_t<Decode, const json::value &>>>
{
    const std::size_t errorCount = errors.size();
    json::error_code error;
    const json::value value = json::parse({ text.data(), text.size() }, error);
    if (error) {
        errors.push_back({ "document", "", "expected JSON, found: " + error.message() });
        return std::nullopt;
    }
    auto result = decode(value);
    if (errors.size() != errorCount)
        return std::nullopt;
    return result;
}

/// Moves resources of any kind into the list of their kind.
ResourceSet toResourceSet(std::vector<Resource> resources)
{
    ResourceSet set;
    for (Resource &resource : resources) {
        if (auto *pool = std::get_if<Pool>(&resource))
            set.pools.push_back(std::make_shared<const Pool>(std::move(*pool)));
        else if (auto *target = std::get_if<Target>(&resource))
            set.targets.push_back(std::make_shared<const Target>(std::move(*target)));
        else if (auto *customer = std::get_if<Customer>(&resource))
            set.customers.push_back(std::make_shared<const Customer>(std::move(*customer)));
        else if (auto *intent = std::get_if<RoutingIntent>(&resource))
            set.intents.push_back(std::make_shared<const RoutingIntent>(std::move(*intent)));
    }
    return set;
}

template<typename T>
void encodeAll(json::array &result, const std::vector<std::shared_ptr<const T>> &entries)
{
    for (const auto &entry : entries)
        result.push_back(encodeFields(*entry));
}

std::string_view toString(DifferenceKind kind)
{
    switch (kind) {
    case DifferenceKind::Added:
        return "added";
    case DifferenceKind::Changed:
        return "changed";
    case DifferenceKind::Removed:
        break;
    }
    return "removed";
}

} // namespace

std::string toJson(const Resource &resource)
{
    return serialize(encode(resource));
}

std::string toJson(const Change &change)
{
    json::object result{ { "ifRevision", change.baseRevision }, { "writeId", change.writeId } };
    encodeInto(result, change.changes);
    return serialize(result);
}

std::string toJson(const Revision &revision)
{
    return serialize(encode(revision));
}

std::string toJson(std::span<const Revision> revisions)
{
    json::array result;
    for (const Revision &revision : revisions)
        result.push_back(encode(revision));
    return serialize(result);
}

std::string toJson(const Configuration &configuration)
{
    json::array resources;
    encodeAll(resources, configuration.resources().pools);
    encodeAll(resources, configuration.resources().targets);
    encodeAll(resources, configuration.resources().customers);
    encodeAll(resources, configuration.resources().intents);
    return serialize(json::object{ { "revision", configuration.revision() },
                                   { "resources", std::move(resources) } });
}

std::string toJson(std::span<const Difference> differences)
{
    json::array result;
    for (const Difference &difference : differences) {
        json::object entry = encode(difference.id);
        entry["difference"] = toString(difference.kind);
        if (difference.before)
            entry["before"] = encode(*difference.before);
        if (difference.after)
            entry["after"] = encode(*difference.after);
        result.push_back(std::move(entry));
    }
    return serialize(result);
}

std::string toJson(std::span<const ValidationError> errors)
{
    json::array result;
    for (const ValidationError &error : errors) {
        result.push_back(json::object{ { "subject", error.subject },
                                       { "field", error.field },
                                       { "message", error.message } });
    }
    return serialize(result);
}

std::optional<Change> parseChange(std::string_view text, Errors &errors)
{
    return parseWith(text, errors, [&](const json::value &value) {
        Change change;
        ObjectReader reader(value, "change", errors);
        reader.readInteger("ifRevision", change.baseRevision, ObjectReader::Presence::Required);
        reader.read("writeId", change.writeId, ObjectReader::Presence::Required);
        change.changes = decodeChanges(reader, "upserts", errors);
        reader.reportUnreadMembers();
        return change;
    });
}

std::optional<Revision> parseRevision(std::string_view text, Errors &errors)
{
    return parseWith(text, errors, [&](const json::value &value) {
        return decodeRevision(value, "revision", errors);
    });
}

std::optional<std::vector<Revision>> parseRevisions(std::string_view text, Errors &errors)
{
    return parseWith(text, errors, [&](const json::value &value) {
        std::vector<Revision> revisions;
        if (const json::array *values = value.if_array()) {
            for (std::size_t i = 0; i < values->size(); ++i) {
                revisions.push_back(
                        decodeRevision((*values)[i], "revision " + std::to_string(i), errors));
            }
        } else {
            errors.push_back({ "document", "", "expected an array of revisions" });
        }
        return revisions;
    });
}

ConfigurationPtr parseConfiguration(std::string_view text, Errors &errors)
{
    const auto parsed = parseWith(text, errors, [&](const json::value &value) {
        RevisionNumber revision = 0;
        ObjectReader reader(value, "configuration", errors);
        reader.readInteger("revision", revision, ObjectReader::Presence::Required);
        auto resources = decodeResources(reader.readArray("resources"), errors);
        reader.reportUnreadMembers();
        return std::make_shared<const Configuration>(revision, toResourceSet(std::move(resources)));
    });
    return parsed.value_or(nullptr);
}

std::optional<ResourceChanges> parseResources(std::string_view text, Errors &errors)
{
    return parseWith(text, errors, [&](const json::value &value) {
        ResourceChanges changes;
        const json::object *object = value.if_object();
        if (const json::array *values = value.if_array()) {
            changes.upserts = decodeResources(*values, errors);
        } else if (object != nullptr && object->contains("resource")) {
            changes.upserts.push_back(decodeResource(value, "resource", errors));
        } else {
            ObjectReader reader(value, "document", errors);
            changes = decodeChanges(reader, "resources", errors);
            reader.reportUnreadMembers();
        }
        return changes;
    });
}

} // namespace chervilfield::configuration
