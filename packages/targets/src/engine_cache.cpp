#include "targets/engine_cache.h"

#include "base/numbers.h"
#include "base/result.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <string>
#include <string_view>

namespace chervilfield::targets {

namespace json = boost::json;
using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

constexpr int kHttpOk = 200;
constexpr std::size_t kHashDigits = 16;

bool readNumber(const json::object &object, std::string_view name, std::uint64_t &value)
{
    const json::value *field = object.if_contains(name);
    if (field == nullptr)
        return false;
    if (const auto *number = field->if_int64(); number != nullptr && *number >= 0) {
        value = static_cast<std::uint64_t>(*number);
        return true;
    }
    const auto *number = field->if_uint64();
    if (number != nullptr)
        value = *number;
    return number != nullptr;
}

bool readHash(const json::value *field, std::uint64_t &value)
{
    const auto *text = field == nullptr ? nullptr : field->if_string();
    return text != nullptr && text->size() == kHashDigits
           && base::parseHex(std::string_view(text->data(), text->size()), value);
}

// Event numbers start at 1, so the next one is at least 1.
template<typename Response>
bool readPosition(const json::object &object, Response &response)
{
    return readNumber(object, "life", response.life)
           && readNumber(object, "next", response.nextNumber) && response.nextNumber >= 1;
}

bool readChange(const json::value &value, CacheChange &change)
{
    const auto *object = value.if_object();
    if (object == nullptr || !readNumber(*object, "number", change.number))
        return false;
    const json::value *stored = object->if_contains("stored");
    if (stored == nullptr || !stored->is_bool())
        return false;
    change.isStored = stored->get_bool();
    return readHash(object->if_contains("block"), change.block);
}

const json::array *findArray(const json::object &object, std::string_view name)
{
    const json::value *field = object.if_contains(name);
    return field == nullptr ? nullptr : field->if_array();
}

std::optional<CacheEvents> parseEvents(const json::object &object, std::uint64_t firstNumber)
{
    CacheEvents result;
    const json::array *events = findArray(object, "events");
    if (events == nullptr || !readPosition(object, result))
        return std::nullopt;
    result.events.reserve(events->size());
    std::uint64_t minNumber = firstNumber;
    for (const json::value &value : *events) {
        CacheChange change;
        if (!readChange(value, change) || change.number < minNumber
            || change.number >= result.nextNumber)
            return std::nullopt;
        minNumber = change.number + 1;
        result.events.push_back(change);
    }
    return result;
}

std::optional<CacheSnapshot> parseSnapshot(const json::object &object)
{
    CacheSnapshot result;
    const json::array *blocks = findArray(object, "blocks");
    if (blocks == nullptr || !readPosition(object, result))
        return std::nullopt;
    result.blocks.reserve(blocks->size());
    for (const json::value &value : *blocks) {
        std::uint64_t block = 0;
        if (!readHash(&value, block))
            return std::nullopt;
        result.blocks.push_back(block);
    }
    return result;
}

std::optional<json::object> fetchObject(net::HttpClient &client, const net::Address &engine,
                                        const std::string &path, milliseconds timeout,
                                        const yield_context &yield, std::error_code &error)
{
    const auto response = client.send(engine, { .target = path }, timeout, yield, error);
    if (!response.has_value())
        return std::nullopt;
    boost::system::error_code parseError;
    json::value value = json::parse(response->body, parseError);
    if (response->status != kHttpOk || parseError || !value.is_object()) {
        error = base::Result::TargetFailed;
        return std::nullopt;
    }
    return std::move(value.as_object());
}

} // namespace

std::optional<CacheEvents> fetchCacheEvents(net::HttpClient &client, const net::Address &engine,
                                            std::uint64_t firstNumber, milliseconds timeout,
                                            const yield_context &yield, std::error_code &error)
{
    const auto object =
            fetchObject(client, engine, "/v1/cache/events?from=" + std::to_string(firstNumber),
                        timeout, yield, error);
    if (!object.has_value())
        return std::nullopt;
    auto events = parseEvents(*object, firstNumber);
    if (!events.has_value())
        error = base::Result::TargetFailed;
    return events;
}

std::optional<CacheSnapshot> fetchCacheSnapshot(net::HttpClient &client, const net::Address &engine,
                                                milliseconds timeout, const yield_context &yield,
                                                std::error_code &error)
{
    const auto object = fetchObject(client, engine, "/v1/cache/snapshot", timeout, yield, error);
    if (!object.has_value())
        return std::nullopt;
    auto snapshot = parseSnapshot(*object);
    if (!snapshot.has_value())
        error = base::Result::TargetFailed;
    return snapshot;
}

} // namespace chervilfield::targets
