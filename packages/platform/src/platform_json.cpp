#include "platform_json.h"

#include <boost/json.hpp>

namespace chervilfield::platform {

namespace json = boost::json;

namespace {

/// Parses `text` and decodes it with `decode`, which throws on members of another type.
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
        // Boost.JSON reports missing members and other types by exceptions.
        return std::nullopt;
    }
}

std::string text(const json::value &value)
{
    return std::string(value.as_string());
}

std::string textOr(const json::object &object, std::string_view key, std::string_view fallback)
{
    const json::value *value = object.if_contains(key);
    return value == nullptr ? std::string(fallback) : text(*value);
}

TableRow decodeRow(const std::string &key, const json::value &value)
{
    const json::object &object = value.as_object();
    return { .key = key,
             .value = text(object.at("value")),
             .version = object.at("version").to_number<std::uint64_t>(),
             .writeId = text(object.at("writeId")) };
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
    Instance instance{ .name = text(object.at("name")),
                       .kind = decodeKind(textOr(object, "kind", "router")),
                       .address = text(object.at("address")),
                       .peerAddress = textOr(object, "peerAddress", ""),
                       .dataCentre = textOr(object, "dataCentre", ""),
                       .isLeaving = textOr(object, "state", "live") == "leaving" };
    if (const json::value *labels = object.if_contains("labels")) {
        for (const auto &label : labels->as_object())
            instance.labels.push_back({ std::string(label.key()), text(label.value()) });
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
            rows.push_back(decodeRow(platform::text(entry.at("key")), entry));
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
