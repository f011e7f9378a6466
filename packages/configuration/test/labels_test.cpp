#include "configuration/labels.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::configuration {

class LabelsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LabelsTest);
    CPPUNIT_TEST(selectorsMatch);
    CPPUNIT_TEST(selectorsSurviveRoundTrip);
    CPPUNIT_TEST(syntaxErrorsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests which selectors match a set of labels. Guards against a pool that selects the wrong
    // targets or none.
    void selectorsMatch()
    {
        const Labels labels{ { "role", "chat" }, { "site", "leon" } };
        struct Row
        {
            const char *selector;
            bool expected;
        };
        const Row rows[] = {
            { "", true },
            { "site=leon", true },
            { "site=celaya", false },
            { "zone=leon", false },
            { "site!=celaya", true },
            { "site!=leon", false },
            { "zone!=x", true },
            { "role in (review, chat)", true },
            { "role in (review)", false },
            { "role", true },
            { "zone", false },
            { "!zone", true },
            { "!role", false },
            { "site=leon, role in (chat,review), !draining", true },
            { "site=leon,role!=chat", false },
        };
        for (const Row &row : rows) {
            std::string error;
            const auto selector = parseSelector(row.selector, error);
            CPPUNIT_ASSERT_MESSAGE(row.selector + error, selector.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.selector, row.expected, matches(*selector, labels));
        }
    }

    // Tests that a selector has the same text form after parsing. Guards against a selector whose
    // meaning changes when it is stored and read again.
    void selectorsSurviveRoundTrip()
    {
        for (const char *text : { "", "a=b", "a!=b", "a in (b,c)", "a", "!a", "a=b,c in (d),!e" }) {
            std::string error;
            CPPUNIT_ASSERT_EQUAL(std::string(text), toString(*parseSelector(text, error)));
        }
    }

    // Tests that each syntax error is reported. Guards against a mistyped selector that silently
    // selects every resource.
    void syntaxErrorsAreReported()
    {
        for (const char *text : { "=", "a=", "a in", "a in (", "a in ()", "a in (b", "a=b c",
                                  "a,,b", "a=b,", "!", "!a=b", "a==b" }) {
            std::string error;
            CPPUNIT_ASSERT_MESSAGE(text, !parseSelector(text, error));
            CPPUNIT_ASSERT_MESSAGE(text, error.starts_with("expected "));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LabelsTest);

} // namespace chervilfield::configuration
