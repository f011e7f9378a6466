#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::net {

/// A server-sent event as defined by the WHATWG HTML standard. `retry` fields are ignored, and an
/// event without an `id` field does not take the id of the previous one.
struct ServerSentEvent
{
    std::string id;   ///< Empty if the event has none.
    std::string type; ///< Empty for the default type "message".
    std::string data;
};

/// Appends the wire format of `event` to `out`, including the blank line that ends the event.
void appendEvent(const ServerSentEvent &event, std::string &out);

/// Incremental parser for a stream of server-sent events. Lines must end with LF or CR LF.
class EventStreamParser
{
public:
    /// Consumes the next bytes of the stream and returns the events that they complete, in order.
    std::vector<ServerSentEvent> feed(std::string_view bytes);

private:
    void consumeLine(std::string_view line, std::vector<ServerSentEvent> &events);

    std::string buffer_;      ///< Bytes of the incomplete last line.
    ServerSentEvent current_; ///< Fields of the incomplete last event.
    bool hasData_ = false;
};

} // namespace chervilfield::net
