#include "http/request_context.h"

#include "base/result.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace chervilfield::http {

using base::Result;

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

// Parses a positive whole number of milliseconds.
std::optional<std::chrono::milliseconds> parseMilliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value <= 0)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

void readPriority(std::string_view text, RequestContext &context, std::error_code &error)
{
    if (text == "interactive")
        context.priority = RequestPriority::Interactive;
    else if (text == "batch")
        context.priority = RequestPriority::Batch;
    else
        error = Result::InvalidField;
}

} // namespace

bool isRequestId(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxRequestIdLength
           && std::ranges::all_of(text, [](unsigned char c) {
                  return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
              });
}

RequestContext readContext(const net::Headers &headers, std::error_code &error)
{
    RequestContext context;
    if (const auto id = net::findHeader(headers, "X-Request-Id")) {
        if (!isRequestId(*id))
            error = Result::InvalidField;
        context.requestId = *id;
    }
    if (const auto credentials = net::findHeader(headers, "Authorization");
        credentials && credentials->starts_with(kBearerPrefix))
        context.apiKey = credentials->substr(kBearerPrefix.size());
    if (const auto priority = net::findHeader(headers, "X-Priority"))
        readPriority(*priority, context, error);
    if (const auto deadline = net::findHeader(headers, "X-Deadline-Ms")) {
        context.timeLeft = parseMilliseconds(*deadline);
        if (!context.timeLeft.has_value())
            error = Result::InvalidField;
    }
    if (const auto lastEventId = net::findHeader(headers, "Last-Event-ID"))
        context.lastEventId = *lastEventId;
    return context;
}

} // namespace chervilfield::http
