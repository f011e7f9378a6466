#pragma once

#include "base/result.h"
#include "net/http_message.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace chervilfield::http {

/// Everything that an error response tells a caller.
struct ErrorReport
{
    base::Result code = base::Result::Internal;
    base::WorkStatus work = base::WorkStatus::NotRun;
    std::string_view detail; ///< Replaces the standard sentence of the code if not empty.
    std::string_view requestId;
    std::optional<std::chrono::seconds> retryAfter;
};

/// Returns the JSON text `{"error":{"code","name","message","work"}}`.
std::string errorBody(const ErrorReport &report);

/// Returns the response with the status of the code, the body, and Retry-After if it is set.
net::Response errorResponse(const ErrorReport &report);

} // namespace chervilfield::http
