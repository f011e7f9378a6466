#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::net {

/// One server-sent event as defined by the WHATWG HTML standard; `retry` fields are ignored.
struct ServerSentEvent
{
    std::string id;
    std::string type; ///< Empty for the default type "message".
    std::string data;
};

/// Appends the wire form of `event`, including the blank line that ends it, to `out`.
void appendEvent(const ServerSentEvent &event, std::string &out);

/// Incremental parser of a stream of server-sent events. Feed it the bytes as they arrive.
class EventStreamParser
{
public:
    /// Returns the events that `bytes` completes, in order.
    std::vector<ServerSentEvent> feed(std::string_view bytes);

private:
    void consumeLine(std::string_view line, std::vector<ServerSentEvent> &events);

    std::string buffer_;
    ServerSentEvent current_;
    bool hasData_ = false;
};

} // namespace chervilfield::net
