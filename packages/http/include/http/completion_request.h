#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::http {

/// Endpoint of the OpenAI API that a request uses. It determines the format of the answer.
enum class CompletionKind : std::uint8_t { Text, Chat };

/// Parsed body of a completion request.
struct CompletionRequest
{
    CompletionKind kind = CompletionKind::Text;
    std::string model;
    /// Prompt text. Messages of a chat are concatenated, so that chats with the same first messages
    /// have prompts with the same prefix.
    std::string prompt;
    std::uint64_t maxTokens = 256; ///< Maximum number of tokens to generate.
    bool stream = false;           ///< Whether the answer is streamed as server-sent events.
};

/// Largest accepted value of `max_tokens` and `max_completion_tokens`.
inline constexpr std::uint64_t kMaxTokensLimit = 100000;

/// Returns true if and only if `text` is well-formed UTF-8 without overlong forms or surrogates.
bool isUtf8(std::string_view text);

/// Parses the body of a completion request, ignoring unknown fields. On failure, returns no value
/// and sets `error` to `InvalidUtf8`, `InvalidJson` or `InvalidField`. For `InvalidField`, also
/// sets `detail` to the name of the field and the expected value.
std::optional<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body,
                                                 std::string &detail, std::error_code &error);

} // namespace chervilfield::http
