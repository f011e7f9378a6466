#include "platform_json.h"

#include <boost/json.hpp>

namespace chervilfield::platform {

namespace json = boost::json;

namespace {

/// Parses `text` and decodes it with `decode`, which throws if a member is missing or has the wrong
/// type.
template<typename Decode>
auto parseWith(std::string_view text, Decode decode)
        -> std::optional<std::decay_t<std::invoke_result_t<Decode, const json::value &>>>
{
    json::error_code error;
    const json::value value = json::parse({ text.data(), text.size() }, error);
    if (error)
        return std::nullopt;
    try {
        return decode(value);
    } catch (const std::exception &) {
        // Boost.JSON throws on missing members and wrong types.
        return std::nullopt;
    }
}

std::string toString(const json::value &value)
{
    return std::string(value.as_string());
}

std::string stringOr(const json::object &object, std::string_view key, std::string_view fallback)
{
    const json::value *value = object.if_contains(key);
    return value == nullptr ? std::string(fallback) : toString(*value);
}

TableRow decodeRow(const std::string &key, const json::value &value)
{
    const json::object &object = value.as_object();
    return { .key = key,
             .value = toString(object.at("value")),
             .version = object.at("version").to_number<std::uint64_t>(),
             .writeId = toString(object.at("writeId")) };
}

InstanceKind decodeKind(const std::string &kind)
{
    if (kind == "engine")
        return InstanceKind::Engine;
    return kind == "service" ? InstanceKind::Service : InstanceKind::Router;
}

Instance decodeInstance(const json::value &value)
{
    const json::object &object = value.as_object();
    Instance instance{ .name = toString(object.at("name")),
                       .kind = decodeKind(stringOr(object, "kind", "router")),
                       .address = toString(object.at("address")),
                       .peerAddress = stringOr(object, "peerAddress", ""),
                       .dataCentre = stringOr(object, "dataCentre", ""),
                       .isLeaving = stringOr(object, "state", "live") == "leaving" };
    if (const json::value *labels = object.if_contains("labels")) {
        for (const auto &label : labels->as_object())
            instance.labels.push_back({ std::string(label.key()), toString(label.value()) });
    }
    return instance;
}

} // namespace

std::string encodeWrite(const TableWrite &write)
{
    return serialize(json::object{ { "value", write.value },
                                   { "ifVersion", write.ifVersion },
                                   { "writeId", write.writeId } });
}

std::optional<TableRow> parseRow(const std::string &key, std::string_view text)
{
    return parseWith(text, [&](const json::value &value) { return decodeRow(key, value); });
}

std::optional<std::vector<TableRow>> parseRows(std::string_view text)
{
    return parseWith(text, [](const json::value &value) {
        std::vector<TableRow> rows;
        for (const json::value &entry : value.at("rows").as_array())
            rows.push_back(decodeRow(platform::toString(entry.at("key")), entry));
        return rows;
    });
}

std::optional<std::vector<Instance>> parseInstances(std::string_view text)
{
    return parseWith(text, [](const json::value &value) {
        std::vector<Instance> instances;
        for (const json::value &entry : value.at("instances").as_array())
            instances.push_back(decodeInstance(entry));
        return instances;
    });
}

} // namespace chervilfield::platform
