#include "streams/event_id.h"

#include "base/hash.h"
#include "base/result.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace chervilfield::streams {

namespace {

bool isIdCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
           || std::string_view("-._~:").find(c) != std::string_view::npos;
}

std::optional<std::uint64_t> parseOffset(std::string_view text)
{
    std::uint64_t offset = 0;
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, offset);
    const bool isCanonical = text == "0" || !text.starts_with('0');
    if (error != std::errc() || position != end || !isCanonical || offset > kMaxOffset)
        return std::nullopt;
    return offset;
}

} // namespace

bool isValidIdPart(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxIdPartLength
           && std::ranges::all_of(text, isIdCharacter);
}

std::string formatEventId(const EventId &id)
{
    return id.requestId + '/' + id.engine + '/' + id.life + '/' + std::to_string(id.offset);
}

std::optional<EventId> parseEventId(std::string_view text, std::error_code &error)
{
    error = base::Result::InvalidField;
    std::array<std::string_view, 3> parts;
    for (std::string_view &part : parts) {
        const std::size_t slash = text.find('/');
        if (slash == std::string_view::npos)
            return std::nullopt;
        part = text.substr(0, slash);
        text.remove_prefix(slash + 1);
        if (!isValidIdPart(part))
            return std::nullopt;
    }
    const std::optional<std::uint64_t> offset = parseOffset(text);
    if (!offset)
        return std::nullopt;
    error.clear();
    return EventId{ .requestId = std::string(parts[0]),
                    .engine = std::string(parts[1]),
                    .life = std::string(parts[2]),
                    .offset = *offset };
}

std::string engineRequestId(std::string_view customer, std::string_view requestId,
                            std::string_view body)
{
    const std::uint64_t scope = base::combineHash(base::hash64(customer), base::hash64(body));
    return std::string(requestId) + ':' + base::toHex(scope);
}

} // namespace chervilfield::streams
