#include "targets/engine_client.h"

#include "base/result.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace chervilfield::targets {

namespace json = boost::json;
using base::Result;
using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;

std::uint64_t parseNumberOrZero(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

std::uint64_t readNumberOrZero(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr)
        return 0;
    if (const auto *number = value->if_int64())
        return *number < 0 ? 0 : static_cast<std::uint64_t>(*number);
    const auto *number = value->if_uint64();
    return number == nullptr ? 0 : *number;
}

std::string readTextOrEmpty(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    const auto *text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

std::unique_ptr<TokenStream> toTokenStream(std::unique_ptr<net::ResponseStream> body,
                                           std::error_code &error)
{
    if (body == nullptr)
        return nullptr;
    if (body->status() == kHttpOk)
        return std::make_unique<TokenStream>(std::move(body));
    error = body->status() == kHttpNotFound ? Result::NotFound : Result::TargetFailed;
    return nullptr;
}

net::Request postJson(std::string path, const json::object &body)
{
    return { .method = "POST",
             .target = std::move(path),
             .headers = { { "Content-Type", "application/json" } },
             .body = json::serialize(body) };
}

} // namespace

TokenStream::TokenStream(std::unique_ptr<net::ResponseStream> body) : body_(std::move(body))
{
    if (const auto life = net::findHeader(body_->headers(), "X-Engine-Life"))
        life_ = parseNumberOrZero(*life);
}

std::optional<Token> TokenStream::next(milliseconds timeout, const yield_context &yield,
                                       std::error_code &error)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::string bytes;
    while (tokens_.empty() && !isFinished_ && !isMalformed_) {
        const auto timeLeft = std::chrono::duration_cast<milliseconds>(
                deadline - std::chrono::steady_clock::now());
        if (timeLeft <= milliseconds::zero()) {
            error = Result::ProgressTimeout;
            return std::nullopt;
        }
        bytes.clear();
        if (!body_->read(bytes, timeLeft, yield, error)) {
            if (!error)
                error = Result::StreamInterrupted;
            return std::nullopt;
        }
        for (const net::ServerSentEvent &event : parser_.feed(bytes)) {
            isMalformed_ = !handleEvent(event);
            if (isMalformed_)
                break;
        }
    }
    if (tokens_.empty() && isMalformed_) {
        error = Result::TargetFailed;
        return std::nullopt;
    }
    if (tokens_.empty()) {
        // Reads the terminating chunk, so that the connection can be reused.
        std::error_code ignored;
        body_->read(bytes, timeout, yield, ignored);
        return std::nullopt;
    }
    Token token = std::move(tokens_.front());
    tokens_.pop_front();
    return token;
}

bool TokenStream::handleEvent(const net::ServerSentEvent &event)
{
    if (event.data == "[DONE]") {
        isFinished_ = usage_.has_value();
        return isFinished_;
    }
    const auto object = parseObject(event.data);
    if (!object.has_value())
        return false;
    if (const json::value *usage = object->if_contains("usage"); usage && usage->is_object()) {
        usage_ = Usage{ .promptTokens = readNumberOrZero(usage->as_object(), "prompt_tokens"),
                        .cachedTokens = readNumberOrZero(usage->as_object(), "cached_tokens"),
                        .completionTokens =
                                readNumberOrZero(usage->as_object(), "completion_tokens") };
        return true;
    }
    if (!object->contains("index"))
        return false;
    tokens_.push_back({ .offset = readNumberOrZero(*object, "index"),
                        .text = readTextOrEmpty(*object, "text") });
    return true;
}

std::unique_ptr<TokenStream> startCompletion(net::HttpClient &client, const net::Address &engine,
                                             const CompletionCall &call, milliseconds timeout,
                                             const yield_context &yield, std::error_code &error)
{
    net::Request request = postJson("/v1/completions", { { "request_id", call.requestId },
                                                         { "prompt", call.prompt },
                                                         { "max_tokens", call.maxTokens },
                                                         { "stream", true },
                                                         { "priority", call.priority },
                                                         { "cache_salt", call.cacheSalt },
                                                         { "resume_from", call.resumeFrom } });
    // Engines reject a request id that is in use, so a repeated request cannot run twice.
    request.idempotent = true;
    auto body = client.open(engine, request, timeout, yield, error);
    if (body != nullptr && body->status() == kHttpConflict)
        return attachCompletion(client, engine, call.requestId, call.resumeFrom, timeout, yield,
                                error);
    return toTokenStream(std::move(body), error);
}

std::unique_ptr<TokenStream> attachCompletion(net::HttpClient &client, const net::Address &engine,
                                              const std::string &requestId,
                                              std::uint64_t firstOffset, milliseconds timeout,
                                              const yield_context &yield, std::error_code &error)
{
    const net::Request request{ .target = "/v1/stream?request_id=" + net::percentEncode(requestId)
                                          + "&from=" + std::to_string(firstOffset) };
    return toTokenStream(client.open(engine, request, timeout, yield, error), error);
}

void cancelCompletion(net::HttpClient &client, const net::Address &engine,
                      const std::string &requestId, milliseconds timeout,
                      const yield_context &yield)
{
    std::error_code ignored;
    client.send(engine, postJson("/v1/cancel", { { "request_id", requestId } }), timeout, yield,
                ignored);
}

std::optional<EngineIdentity> fetchIdentity(net::HttpClient &client, const net::Address &engine,
                                            milliseconds timeout, const yield_context &yield,
                                            std::error_code &error)
{
    const auto response = client.send(engine, { .target = "/v1/identity" }, timeout, yield, error);
    if (!response.has_value())
        return std::nullopt;
    const auto object = parseObject(response->body);
    if (response->status != kHttpOk || !object.has_value()) {
        error = Result::TargetFailed;
        return std::nullopt;
    }
    return EngineIdentity{ .engine = readTextOrEmpty(*object, "engine"),
                           .life = readNumberOrZero(*object, "life"),
                           .weights = readTextOrEmpty(*object, "weights") };
}

} // namespace chervilfield::targets
