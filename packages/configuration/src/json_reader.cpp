#include "json_reader.h"

#include <algorithm>
#include <charconv>

namespace chervilfield::configuration {

namespace {

bool parseHex(std::string_view text, ApiKeyHash &out)
{
    if (text.size() != 2 * out.bytes.size())
        return false;
    for (std::size_t i = 0; i < out.bytes.size(); ++i) {
        const char *digits = text.data() + 2 * i;
        const auto [end, error] = std::from_chars(digits, digits + 2, out.bytes[i], 16);
        if (error != std::errc() || end != digits + 2)
            return false;
    }
    return true;
}

} // namespace

ObjectReader::ObjectReader(const boost::json::value &value, std::string subject,
                           std::vector<ValidationError> &errors)
    : object_(value.if_object()), subject_(std::move(subject)), errors_(errors)
{
    if (object_ == nullptr)
        addError("", "expected an object, found " + serialize(value).substr(0, 32));
}

void ObjectReader::addError(std::string_view field, std::string message)
{
    errors_.push_back({ subject_, std::string(field), std::move(message) });
}

const boost::json::value *ObjectReader::find(std::string_view key, Presence presence)
{
    readKeys_.push_back(key);
    if (object_ == nullptr)
        return nullptr;
    const boost::json::value *value = object_->if_contains(key);
    if (value == nullptr && presence == Presence::Required)
        addError(key, "expected a value, found none");
    return value;
}

void ObjectReader::read(std::string_view key, std::string &out, Presence presence)
{
    const boost::json::value *value = find(key, presence);
    if (value == nullptr)
        return;
    if (const boost::json::string *text = value->if_string())
        out = std::string(*text);
    else
        addError(key, "expected a string, found " + serialize(*value).substr(0, 32));
}

void ObjectReader::read(std::string_view key, bool &out)
{
    const boost::json::value *value = find(key, Presence::Optional);
    if (value == nullptr)
        return;
    if (const bool *flag = value->if_bool())
        out = *flag;
    else
        addError(key, "expected true or false, found " + serialize(*value).substr(0, 32));
}

void ObjectReader::read(std::string_view key, Labels &out)
{
    const boost::json::value *value = find(key, Presence::Optional);
    if (value == nullptr)
        return;
    if (!value->is_object()) {
        addError(key, "expected an object of strings, found " + serialize(*value).substr(0, 32));
        return;
    }
    for (const auto &member : value->get_object()) {
        if (const boost::json::string *text = member.value().if_string())
            out.push_back({ std::string(member.key()), std::string(*text) });
        else
            addError(std::string(key) + "." + std::string(member.key()),
                     "expected a string, found " + serialize(member.value()).substr(0, 32));
    }
    sortLabels(out);
}

void ObjectReader::read(std::string_view key, LabelSelector &out)
{
    std::string text;
    read(key, text);
    std::string error;
    if (auto selector = parseSelector(text, error))
        out = std::move(*selector);
    else
        addError(key, error);
}

void ObjectReader::read(std::string_view key, ApiKeyHash &out)
{
    std::string text;
    const std::size_t errorCount = errors_.size();
    read(key, text, Presence::Required);
    if (errors_.size() == errorCount && !parseHex(text, out))
        addError(key, "expected 64 hexadecimal digits, found " + std::to_string(text.size())
                              + " characters");
}

const boost::json::array &ObjectReader::readArray(std::string_view key)
{
    static const boost::json::array empty;
    const boost::json::value *value = find(key, Presence::Optional);
    if (value == nullptr)
        return empty;
    if (const boost::json::array *entries = value->if_array())
        return *entries;
    addError(key, "expected an array, found " + serialize(*value).substr(0, 32));
    return empty;
}

void ObjectReader::reportUnreadMembers()
{
    if (object_ == nullptr)
        return;
    for (const auto &member : *object_) {
        if (std::ranges::find(readKeys_, std::string_view(member.key())) == readKeys_.end())
            addError(member.key(), "expected a known member, found an unknown one");
    }
}

} // namespace chervilfield::configuration
