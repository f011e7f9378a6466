#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::streams {

/// Identifier of one token event of a stream. It is sent in the `id:` field of the event, and a
/// caller that reconnects sends it back as `Last-Event-ID`.
struct EventId
{
    std::string requestId;    ///< Id of the request under which its caller knows it.
    std::string engine;       ///< Name or id of the engine that produced the token.
    std::string life;         ///< Life of the engine that produced the token.
    std::uint64_t offset = 0; ///< Position of the token in the complete answer, from 0.

    bool operator==(const EventId &) const = default;
};

/// Maximum length of a request id, engine or engine life in an event id, in bytes.
inline constexpr std::size_t kMaxIdPartLength = 128;

/// Maximum offset. JSON numbers are exact up to this value.
inline constexpr std::uint64_t kMaxOffset = (1ULL << 53U) - 1;

/// Returns true if and only if `text` may be a part of an event id: 1 to `kMaxIdPartLength`
/// characters, each a letter, a digit or one of `-._~:`. Request ids that callers supply must
/// satisfy it too.
bool isValidIdPart(std::string_view text);

/// Returns `<requestId>/<engine>/<life>/<offset>`. The parts must satisfy `isValidIdPart`.
std::string formatEventId(const EventId &id);

/// Parses a text that `formatEventId` returned. Any other text is rejected with `InvalidField`: it
/// must have exactly four parts and a decimal offset without sign or leading zeros.
std::optional<EventId> parseEventId(std::string_view text, std::error_code &error);

/// Returns the request id that is sent to an engine. It depends on the customer and the body, so
/// that neither another customer nor a different request with the same `X-Request-Id` reattaches to
/// the stream. A repeated request gets the same value at every instance.
std::string engineRequestId(std::string_view customer, std::string_view requestId,
                            std::string_view body);

} // namespace chervilfield::streams
