#include "http/completion_answer.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chervilfield::http {

namespace json = boost::json;

namespace {

json::object completionObject(const AnswerMetadata &metadata, std::string_view object,
                              json::object choice)
{
    choice["index"] = 0;
    return { { "id", metadata.requestId },
             { "object", object },
             { "created", metadata.created.time_since_epoch().count() },
             { "model", metadata.model },
             { "choices", json::array{ std::move(choice) } } };
}

json::object usageObject(const TokenUsage &usage)
{
    return { { "prompt_tokens", usage.promptTokens },
             { "completion_tokens", usage.completionTokens },
             { "total_tokens", usage.promptTokens + usage.completionTokens },
             { "prompt_tokens_details", json::object{ { "cached_tokens", usage.cachedTokens } } } };
}

std::string_view chunkObjectType(CompletionKind kind)
{
    return kind == CompletionKind::Chat ? "chat.completion.chunk" : "text_completion";
}

} // namespace

std::string answerChunk(const AnswerMetadata &metadata, std::string_view text)
{
    json::object choice{ { "finish_reason", nullptr } };
    if (metadata.kind == CompletionKind::Chat)
        choice["delta"] = json::object{ { "content", text } };
    else
        choice["text"] = text;
    return json::serialize(
            completionObject(metadata, chunkObjectType(metadata.kind), std::move(choice)));
}

std::string finalChunk(const AnswerMetadata &metadata, const TokenUsage &usage)
{
    json::object choice{ { "finish_reason", "stop" } };
    if (metadata.kind == CompletionKind::Chat)
        choice["delta"] = json::object();
    else
        choice["text"] = "";
    json::object body =
            completionObject(metadata, chunkObjectType(metadata.kind), std::move(choice));
    body["usage"] = usageObject(usage);
    return json::serialize(body);
}

std::string answerBody(const AnswerMetadata &metadata, std::string_view text,
                       const TokenUsage &usage)
{
    json::object choice{ { "finish_reason", "stop" } };
    if (metadata.kind == CompletionKind::Chat)
        choice["message"] = json::object{ { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    json::object body = completionObject(
            metadata, metadata.kind == CompletionKind::Chat ? "chat.completion" : "text_completion",
            std::move(choice));
    body["usage"] = usageObject(usage);
    return json::serialize(body);
}

} // namespace chervilfield::http
