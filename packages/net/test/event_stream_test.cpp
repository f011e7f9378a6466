#include "net/event_stream.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::net {

class EventStreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventStreamTest);
    CPPUNIT_TEST(roundTripAtAnySplit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that written events are parsed unchanged, wherever the bytes are split into two reads.
    // Guards against events that are lost or merged at the boundary of two reads.
    void roundTripAtAnySplit()
    {
        const bool holds = rc::check("events survive any split", [] {
            const auto text = rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
            ServerSentEvent event{ *text, *text, *text };
            std::string wire;
            appendEvent(event, wire);
            appendEvent(event, wire);
            const auto split = *rc::gen::inRange<std::size_t>(0, wire.size());
            EventStreamParser parser;
            auto events = parser.feed(std::string_view(wire).substr(0, split));
            for (auto &later : parser.feed(std::string_view(wire).substr(split)))
                events.push_back(later);
            RC_ASSERT(events.size() == 2U);
            RC_ASSERT(events[1].data == event.data);
            RC_ASSERT(events[1].id == event.id);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);

} // namespace chervilfield::net
