#include "traffic/event_id.h"

#include "http/request_context.h"

#include <charconv>

namespace chervilfield::traffic {

namespace {

// Splits off the part before the next slash.
std::string_view takePart(std::string_view &rest)
{
    const std::string_view part = rest.substr(0, rest.find('/'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    return part;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::string toString(const EventId &id)
{
    return id.requestId + '/' + id.engine + '/' + std::to_string(id.life) + '/'
           + std::to_string(id.offset);
}

std::optional<EventId> parseEventId(std::string_view text)
{
    EventId id;
    id.requestId = takePart(text);
    id.engine = takePart(text);
    const auto life = parseNumber(takePart(text));
    const auto offset = parseNumber(text);
    if (!http::isRequestId(id.requestId) || id.engine.empty() || !life || !offset)
        return std::nullopt;
    id.life = *life;
    id.offset = *offset;
    return id;
}

} // namespace chervilfield::traffic
