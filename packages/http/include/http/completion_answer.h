#pragma once

#include "http/completion_request.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilfield::http {

/// Fields that all parts of one answer share.
struct AnswerMetadata
{
    CompletionKind kind = CompletionKind::Text;
    std::string requestId;
    std::string model;
    std::chrono::sys_seconds created;
};

/// Token counts of a finished answer.
struct TokenUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0; ///< Prompt tokens that the engine had in its prefix cache.
    std::uint64_t completionTokens = 0;
};

/// Returns the data of the server-sent event for one piece of a streamed answer, in the format of
/// the OpenAI API.
std::string answerChunk(const AnswerMetadata &metadata, std::string_view text);

/// Returns the data of the last event before the terminator of the stream. It contains the finish
/// reason and the usage.
std::string finalChunk(const AnswerMetadata &metadata, const TokenUsage &usage);

/// Returns the body of an answer that is not streamed.
std::string answerBody(const AnswerMetadata &metadata, std::string_view text,
                       const TokenUsage &usage);

} // namespace chervilfield::http
