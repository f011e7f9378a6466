#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::http {

/// Which of the two OpenAI interfaces a request uses; the form of the answer follows it.
enum class CompletionKind : std::uint8_t { Text, Chat };

/// A completion as a caller asks for it.
struct CompletionRequest
{
    CompletionKind kind = CompletionKind::Text;
    std::string model;
    std::string prompt; ///< Messages of a chat are joined, so that equal beginnings stay equal.
    std::uint64_t maxTokens = 256;
    bool stream = false;
};

inline constexpr std::uint64_t kMaxTokensLimit = 100000;

/// Returns true if and only if `text` is well-formed UTF-8 without overlong forms or surrogates.
bool isUtf8(std::string_view text);

/// Parses the body of a completion. On failure it returns no value and sets `error` to
/// `InvalidUtf8`, `InvalidJson` or `InvalidField`, and `detail` to the field and what was expected.
std::optional<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body,
                                                 std::string &detail, std::error_code &error);

} // namespace chervilfield::http
