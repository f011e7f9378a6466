#include "streams/event_id.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::streams {

class EventIdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventIdTest);
    CPPUNIT_TEST(parseAcceptsOnlyFormattedIds);
    CPPUNIT_TEST(engineRequestIdSeparatesRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that formatted ids are parsed and all other texts are rejected. Guards against resuming
    // a stream at a wrong offset or engine because of a malformed `Last-Event-ID`.
    void parseAcceptsOnlyFormattedIds()
    {
        const EventId valid[] = {
            { "r-1", "10.0.0.1:80", "L.2", 0 },
            { "r", "e", "l", kMaxOffset },
            { std::string(kMaxIdPartLength, 'r'), "e", "l", 17 },
        };
        for (const EventId &id : valid) {
            std::error_code error;
            CPPUNIT_ASSERT(parseEventId(formatEventId(id), error) == id);
            CPPUNIT_ASSERT(!error);
        }
        const std::string invalid[] = {
            "",
            "r/e/l",
            "r/e/l/",
            "/e/l/1",
            "r//l/1",
            "r/e//1",
            "r/e/l/1/2",
            "r/e/l/01",
            "r/e/l/-1",
            "r/e/l/+1",
            "r/e/l/1 ",
            " r/e/l/1",
            "r/e/l/1x",
            "r/e/l/0x1",
            "r/e/l/9007199254740992",
            "r\n/e/l/1",
            "r/e/l/99999999999999999999",
            std::string(kMaxIdPartLength + 1, 'r') + "/e/l/1",
        };
        for (const std::string &text : invalid) {
            std::error_code error;
            CPPUNIT_ASSERT_MESSAGE(text, !parseEventId(text, error));
            CPPUNIT_ASSERT_MESSAGE(text, error);
        }
    }

    // Tests that the id depends on customer, request id and body. Guards against reattaching to the
    // stream of another customer or of another request with the same `X-Request-Id`.
    void engineRequestIdSeparatesRequests()
    {
        const std::string id = engineRequestId("c", "r", "body");
        CPPUNIT_ASSERT_EQUAL(id, engineRequestId("c", "r", "body"));
        CPPUNIT_ASSERT(id != engineRequestId("d", "r", "body"));
        CPPUNIT_ASSERT(id != engineRequestId("c", "s", "body"));
        CPPUNIT_ASSERT(id != engineRequestId("c", "r", "other"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventIdTest);

} // namespace chervilfield::streams
