#pragma once

#include "base/result.h"
#include "net/http_message.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace chervilfield::http {

/// Content of an error response.
struct ErrorReport
{
    base::Result code = base::Result::Internal;
    base::WorkStatus work = base::WorkStatus::NotRun;
    std::string_view detail;    ///< Replaces the standard message of the code if not empty.
    std::string_view requestId; ///< Left out of the response if empty.
    std::optional<std::chrono::seconds> retryAfter; ///< Value of Retry-After.
};

/// Returns the JSON text `{"error":{"code","name","message","work"}}`, with `requestId` if it is
/// set.
std::string errorBody(const ErrorReport &report);

/// Returns a response with the HTTP status of the code, the body from `errorBody()`, and
/// Retry-After if it is set.
net::Response errorResponse(const ErrorReport &report);

} // namespace chervilfield::http
