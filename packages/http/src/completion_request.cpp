#include "http/completion_request.h"

#include "base/result.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace chervilfield::http {

namespace json = boost::json;
using base::Result;

namespace {

// Properties of a UTF-8 sequence that follow from its first byte: the length in bytes, the bits of
// the code point in that byte, and the smallest code point that needs this length.
struct SequenceForm
{
    std::size_t length;
    std::uint32_t leadBits;
    std::uint32_t minimum;
};

std::optional<SequenceForm> sequenceForm(unsigned char lead)
{
    if (lead < 0x80U)
        return SequenceForm{ 1, lead, 0 };
    if ((lead & 0xe0U) == 0xc0U)
        return SequenceForm{ 2, lead & 0x1fU, 0x80 };
    if ((lead & 0xf0U) == 0xe0U)
        return SequenceForm{ 3, lead & 0x0fU, 0x800 };
    if ((lead & 0xf8U) == 0xf0U)
        return SequenceForm{ 4, lead & 0x07U, 0x10000 };
    return std::nullopt;
}

bool isScalarValue(std::uint32_t codePoint)
{
    return codePoint <= 0x10ffffU && (codePoint < 0xd800U || codePoint > 0xdfffU);
}

// Stores the description of the first invalid field of a body.
struct FirstError
{
    std::string detail;

    // Stores `text` if `holds` is false and no earlier field was invalid. Returns `holds`.
    bool expect(bool holds, std::string_view text)
    {
        if (!holds && detail.empty())
            detail = text;
        return holds;
    }
};

const json::string *findString(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_string();
}

// Appends the content of a message, which is a string or an array of objects with a string `text`.
// Returns false for any other content.
bool appendContent(const json::value &content, std::string &prompt)
{
    if (const json::string *text = content.if_string()) {
        prompt.append(*text);
        return true;
    }
    const json::array *parts = content.if_array();
    if (parts == nullptr)
        return false;
    for (const json::value &part : *parts) {
        const json::object *object = part.if_object();
        const json::string *text = object == nullptr ? nullptr : findString(*object, "text");
        if (text == nullptr)
            return false;
        prompt.append(*text);
    }
    return true;
}

// Appends the role and the content of a message. The text of a message must not depend on the
// messages after it.
bool appendMessage(const json::value &message, std::string &prompt)
{
    const json::object *object = message.if_object();
    if (object == nullptr)
        return false;
    const json::string *role = findString(*object, "role");
    const json::value *content = object->if_contains("content");
    if (role == nullptr || content == nullptr)
        return false;
    prompt.append("<|").append(*role).append("|>\n");
    const bool valid = appendContent(*content, prompt);
    prompt.append("\n");
    return valid;
}

bool readPrompt(CompletionKind kind, const json::object &body, CompletionRequest &request)
{
    if (kind == CompletionKind::Text) {
        const json::string *prompt = findString(body, "prompt");
        if (prompt != nullptr)
            request.prompt = *prompt;
        return prompt != nullptr;
    }
    const json::value *value = body.if_contains("messages");
    const json::array *messages = value == nullptr ? nullptr : value->if_array();
    if (messages == nullptr || messages->empty())
        return false;
    for (const json::value &message : *messages) {
        if (!appendMessage(message, request.prompt))
            return false;
    }
    return true;
}

bool readMaxTokens(const json::object &body, CompletionRequest &request)
{
    const json::value *value = body.if_contains("max_tokens");
    if (value == nullptr)
        value = body.if_contains("max_completion_tokens");
    if (value == nullptr)
        return true;
    boost::system::error_code inexact;
    request.maxTokens = value->to_number<std::uint64_t>(inexact);
    return !inexact && request.maxTokens >= 1 && request.maxTokens <= kMaxTokensLimit;
}

} // namespace

bool isUtf8(std::string_view text)
{
    std::size_t i = 0;
    while (i < text.size()) {
        const auto form = sequenceForm(static_cast<unsigned char>(text[i]));
        if (!form.has_value() || i + form->length > text.size())
            return false;
        std::uint32_t codePoint = form->leadBits;
        for (std::size_t k = 1; k < form->length; ++k) {
            const auto byte = static_cast<unsigned char>(text[i + k]);
            if ((byte & 0xc0U) != 0x80U)
                return false;
            codePoint = (codePoint << 6U) | (byte & 0x3fU);
        }
        if (codePoint < form->minimum || !isScalarValue(codePoint))
            return false;
        i += form->length;
    }
    return true;
}

std::optional<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body,
                                                 std::string &detail, std::error_code &error)
{
    if (!isUtf8(body)) {
        error = Result::InvalidUtf8;
        return std::nullopt;
    }
    boost::system::error_code invalid;
    const json::value value = json::parse(body, invalid);
    const json::object *object = value.if_object();
    if (invalid || object == nullptr) {
        error = Result::InvalidJson;
        return std::nullopt;
    }
    CompletionRequest request{ .kind = kind };
    FirstError firstError;
    const json::string *model = findString(*object, "model");
    if (firstError.expect(model != nullptr, "model: expected a string"))
        request.model = *model;
    firstError.expect(readPrompt(kind, *object, request),
                      kind == CompletionKind::Text
                              ? "prompt: expected a string"
                              : "messages: expected an array of objects with role and content");
    firstError.expect(readMaxTokens(*object, request),
                      "max_tokens: expected a whole number from 1 to 100000");
    if (const json::value *stream = object->if_contains("stream")) {
        if (firstError.expect(stream->is_bool(), "stream: expected true or false"))
            request.stream = stream->as_bool();
    }
    if (!firstError.detail.empty()) {
        detail = firstError.detail;
        error = Result::InvalidField;
        return std::nullopt;
    }
    return request;
}

} // namespace chervilfield::http
