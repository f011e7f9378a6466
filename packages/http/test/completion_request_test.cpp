#include "http/completion_request.h"

#include "base/result.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::http {

using base::Result;

class CompletionRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompletionRequestTest);
    CPPUNIT_TEST(bodiesAreChecked);
    CPPUNIT_TEST(chatsWithEqualBeginningsHaveEqualPrefixes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the result code for valid and invalid bodies. Guards against invalid input that reaches
    // an engine or is refused with a wrong code.
    void bodiesAreChecked()
    {
        struct Row
        {
            CompletionKind kind;
            std::string body;
            Result expected;
        };
        const Row rows[] = {
            { CompletionKind::Text, R"({"model":"m","prompt":"p"})", Result::Ok },
            { CompletionKind::Text, R"({"model":"m","prompt":"p","max_tokens":5})", Result::Ok },
            { CompletionKind::Text, R"({"prompt":"p"})", Result::InvalidField },
            { CompletionKind::Text, R"({"model":"m"})", Result::InvalidField },
            { CompletionKind::Text, R"({"model":"m","prompt":"p","max_tokens":0})",
              Result::InvalidField },
            { CompletionKind::Text, R"({"model":"m","prompt":"p","max_tokens":-1})",
              Result::InvalidField },
            { CompletionKind::Text, R"({"model":"m","prompt":"p","max_tokens":"5"})",
              Result::InvalidField },
            { CompletionKind::Text, R"({"model":"m","prompt":"p","stream":1})",
              Result::InvalidField },
            { CompletionKind::Text, R"({"model":"m")", Result::InvalidJson },
            { CompletionKind::Text, "[]", Result::InvalidJson },
            { CompletionKind::Text, "", Result::InvalidJson },
            { CompletionKind::Text, "{\"model\":\"\xc0\xaf\"}", Result::InvalidUtf8 },
            { CompletionKind::Text, "{\"model\":\"\xed\xa0\x80\"}", Result::InvalidUtf8 },
            { CompletionKind::Text, std::string(200, '['), Result::InvalidJson },
            { CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user","content":"hi"}]})",
              Result::Ok },
            { CompletionKind::Chat,
              R"({"model":"m","messages":[{"role":"u","content":[{"type":"text","text":"a"}]}]})",
              Result::Ok },
            { CompletionKind::Chat, R"({"model":"m","messages":[]})", Result::InvalidField },
            { CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user"}]})",
              Result::InvalidField },
        };
        for (const Row &row : rows) {
            std::string detail;
            std::error_code error;
            parseCompletion(row.kind, row.body, detail, error);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.body, static_cast<int>(row.expected),
                                         static_cast<int>(base::toResult(error)));
        }
    }

    // Tests that the prompt of a chat is a prefix of the prompt of its continuation. Guards against
    // a prompt format in which a later message changes the bytes of earlier ones, so that prefix
    // caches miss.
    void chatsWithEqualBeginningsHaveEqualPrefixes()
    {
        std::string detail;
        std::error_code error;
        const auto shorter = parseCompletion(
                CompletionKind::Chat, R"({"model":"m","messages":[{"role":"user","content":"a"}]})",
                detail, error);
        const auto longer = parseCompletion(
                CompletionKind::Chat,
                R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":"b"}]})",
                detail, error);
        CPPUNIT_ASSERT(longer->prompt.starts_with(shorter->prompt));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionRequestTest);

} // namespace chervilfield::http
