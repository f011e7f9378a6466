#include "net/event_stream.h"

#include <utility>

namespace chervilfield::net {

void appendEvent(const ServerSentEvent &event, std::string &out)
{
    if (!event.id.empty())
        out.append("id: ").append(event.id).append("\n");
    if (!event.type.empty())
        out.append("event: ").append(event.type).append("\n");
    std::string_view rest = event.data;
    while (true) {
        const std::size_t end = rest.find('\n');
        out.append("data: ").append(rest.substr(0, end)).append("\n");
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    out.append("\n");
}

std::vector<ServerSentEvent> EventStreamParser::feed(std::string_view bytes)
{
    std::vector<ServerSentEvent> events;
    buffer_.append(bytes);
    std::size_t start = 0;
    for (std::size_t end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n', start)) {
        std::string_view line(buffer_.data() + start, end - start);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        consumeLine(line, events);
        start = end + 1;
    }
    buffer_.erase(0, start);
    return events;
}

void EventStreamParser::consumeLine(std::string_view line, std::vector<ServerSentEvent> &events)
{
    if (line.empty()) {
        if (hasData_)
            events.push_back(std::exchange(current_, {}));
        current_ = {};
        hasData_ = false;
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value =
            colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "id") {
        current_.id = value;
    } else if (field == "event") {
        current_.type = value;
    } else if (field == "data") {
        if (hasData_)
            current_.data += '\n';
        current_.data += value;
        hasData_ = true;
    }
}

} // namespace chervilfield::net
