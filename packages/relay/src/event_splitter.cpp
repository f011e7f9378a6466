#include "relay/event_splitter.h"

#include "base/numbers.h"

#include <algorithm>

namespace chervilfield::relay {

namespace {

constexpr std::size_t kMaxBlankLineBytes = 4; ///< Including the end of the line before.

/// Returns the position after the first event, or `npos` if no event is complete. The terminating
/// blank line may use LF or CRLF, and does not begin before `from`.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    const std::size_t lfBlankLine = text.find("\n\n", from);
    const std::size_t crlfBlankLine = text.find("\r\n\r\n", from);
    if (lfBlankLine < crlfBlankLine)
        return lfBlankLine + 2;
    return crlfBlankLine == std::string_view::npos ? std::string_view::npos : crlfBlankLine + 4;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view kField = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(kField))
            continue;
        line.remove_prefix(kField.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        std::uint64_t id = 0;
        if (base::parseDecimal(line, id))
            return id;
    }
    return std::nullopt;
}

} // namespace

std::optional<RawEvent> EventSplitter::next()
{
    const std::size_t end = endOfEvent(buffer_, searchedBytes_);
    if (end == std::string_view::npos) {
        searchedBytes_ = buffer_.size() - std::min(buffer_.size(), kMaxBlankLineBytes - 1);
        return std::nullopt;
    }
    searchedBytes_ = 0;
    RawEvent event{ .bytes = buffer_.substr(0, end), .id = {} };
    buffer_.erase(0, end);
    event.id = eventId(event.bytes);
    return event;
}

} // namespace chervilfield::relay
