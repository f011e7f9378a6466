#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilfield::relay {

/// One complete event of a stream, as it was received.
struct RawEvent
{
    std::string bytes; ///< With the blank line that ends it.
    std::optional<std::uint64_t> id;
};

/// Cuts the body of an event stream into complete events without changing a byte.
class EventSplitter
{
public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }

    /// Returns the next complete event, or no value until more bytes arrive.
    std::optional<RawEvent> next();

    /// Returns true if and only if the bytes end within an event.
    bool hasPartialEvent() const { return !buffer_.empty(); }

private:
    std::string buffer_;
};

} // namespace chervilfield::relay
