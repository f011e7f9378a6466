#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::streams {

/// Identifies one token event of a stream: the value of its `id:` field, which a caller returns as
/// `Last-Event-ID`.
struct EventId
{
    std::string requestId;
    std::string engine;
    std::string life;         ///< Life of the engine that produced the token.
    std::uint64_t offset = 0; ///< Position of the token in the whole answer, from 0.

    bool operator==(const EventId &) const = default;
};

/// Longest request id, engine name or engine life, in bytes.
inline constexpr std::size_t kMaxIdPartLength = 128;

/// Largest offset. JSON numbers are exact up to this value.
inline constexpr std::uint64_t kMaxOffset = (1ULL << 53U) - 1;

/// Returns true if and only if `text` may be a part of an event id: 1 to `kMaxIdPartLength`
/// characters out of letters, digits and `-._~:`. Request ids that callers supply are held to the
/// same rule.
bool isValidIdPart(std::string_view text);

/// Returns `<requestId>/<engine>/<life>/<offset>`. The parts satisfy `isValidIdPart`.
std::string formatEventId(const EventId &id);

/// Parses the text of `formatEventId` and nothing else: exactly four parts, and a decimal offset
/// without sign or leading zeros. Errors: `InvalidField`.
std::optional<EventId> parseEventId(std::string_view text, std::error_code &error);

/// Returns the request id under which an engine knows a request. It depends on the customer and on
/// the body, so that neither another customer nor a different request with the same `X-Request-Id`
/// reattaches to the stream. A repeated request gets the same value at every instance.
std::string engineRequestId(std::string_view customer, std::string_view requestId,
                            std::string_view body);

} // namespace chervilfield::streams
