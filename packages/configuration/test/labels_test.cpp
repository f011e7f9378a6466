#include "configuration/labels.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::configuration {

class LabelsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LabelsTest);
    CPPUNIT_TEST(selectorsMatch);
    CPPUNIT_TEST(selectorsSurviveWriting);
    CPPUNIT_TEST(syntaxErrorsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a pool that selects targets of another kind, or none.
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

    // Guards against a selector that means something else after a round trip through the store.
    void selectorsSurviveWriting()
    {
        for (const char *text : { "", "a=b", "a!=b", "a in (b,c)", "a", "!a", "a=b,c in (d),!e" }) {
            std::string error;
            CPPUNIT_ASSERT_EQUAL(std::string(text), toString(*parseSelector(text, error)));
        }
    }

    // Guards against a mistyped selector that silently selects everything.
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
