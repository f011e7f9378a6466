#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilfield::relay {

/// One complete event of a stream, as it was received.
struct RawEvent
{
    std::string bytes;               ///< Includes the blank line that ends the event.
    std::optional<std::uint64_t> id; ///< Set if the event has an `id` field with a number.
};

/// Splits the body of a server-sent event stream into complete events without changing a byte.
class EventSplitter
{
public:
    /// Appends received bytes, which may end anywhere within an event.
    void feed(std::string_view bytes) { buffer_.append(bytes); }

    /// Returns the next complete event, or no value until more bytes arrive.
    std::optional<RawEvent> next();

    /// Returns true if and only if the bytes fed so far end within an event.
    bool hasPartialEvent() const { return !buffer_.empty(); }

    /// Returns the number of bytes that do not belong to an event returned so far.
    std::size_t pendingBytes() const { return buffer_.size(); }

private:
    std::string buffer_;
    std::size_t searchedBytes_ = 0; ///< Bytes of `buffer_` in which no event ends.
};

} // namespace chervilfield::relay
