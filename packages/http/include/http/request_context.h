#pragma once

#include "net/http_message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>

namespace chervilfield::http {

/// Priority that a caller gives its request.
enum class RequestPriority : std::uint8_t { Interactive, Batch };

/// Values from the headers of a caller's request.
struct RequestContext
{
    std::string requestId;                   ///< Value of X-Request-Id; empty if absent.
    std::string apiKey;                      ///< Bearer token of Authorization; empty if none.
    std::optional<RequestPriority> priority; ///< Value of X-Priority.
    /// Value of X-Deadline-Ms: time that the caller still waits.
    std::optional<std::chrono::milliseconds> timeLeft;
    std::string lastEventId; ///< Value of Last-Event-ID; empty for a new request.
};

/// Maximum length in bytes of a request id that a caller chooses.
inline constexpr std::size_t kMaxRequestIdLength = 64;

/// Returns true if and only if `text` is 1 to 64 letters, digits, '.', '_' or '-'.
bool isRequestId(std::string_view text);

/// Reads the headers of a request. Sets `error` to `InvalidField` if a value is malformed.
RequestContext readContext(const net::Headers &headers, std::error_code &error);

} // namespace chervilfield::http
