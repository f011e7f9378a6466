#pragma once

#include "net/http_message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>

namespace chervilfield::http {

enum class RequestPriority : std::uint8_t { Interactive, Batch };

/// What the headers of a caller's request say.
struct RequestContext
{
    std::string requestId;                   ///< From X-Request-Id; empty if the caller gave none.
    std::string apiKey;                      ///< From Authorization; empty if absent.
    std::optional<RequestPriority> priority; ///< From X-Priority.
    std::optional<std::chrono::milliseconds> timeLeft; ///< From X-Deadline-Ms.
    std::string lastEventId; ///< From Last-Event-ID; empty for a new request.
};

/// Longest request id that callers may choose, in bytes.
inline constexpr std::size_t kMaxRequestIdLength = 64;

/// Returns true if and only if `text` is 1 to 64 letters, digits, '.', '_' or '-'.
bool isRequestId(std::string_view text);

/// Reads the headers of a request. Sets `error` to `InvalidField` if one has a bad form.
RequestContext readContext(const net::Headers &headers, std::error_code &error);

} // namespace chervilfield::http
