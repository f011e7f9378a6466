#include "relay/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace chervilfield::relay {

class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(eventsKeepTheirBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that events are split at blank lines and keep their bytes, however the bytes arrive.
    // Guards against events that are changed, joined or passed on incomplete.
    void eventsKeepTheirBytes()
    {
        struct Row
        {
            std::string bytes;
            std::vector<std::string> events;
            std::vector<std::optional<std::uint64_t>> ids;
            bool isPartial;
        };
        const Row rows[] = {
            { "id: 4\ndata: a\n\nid: 5\n", { "id: 4\ndata: a\n\n" }, { 4 }, true },
            { "id:7\r\ndata: b\r\n\r\n", { "id:7\r\ndata: b\r\n\r\n" }, { 7 }, false },
            { "data: c\n\n", { "data: c\n\n" }, { std::nullopt }, false },
            { "weights: 3\nid: 8\n\n", { "weights: 3\nid: 8\n\n" }, { 8 }, false },
            { "id: x\n\n", { "id: x\n\n" }, { std::nullopt }, false },
            { "", {}, {}, false },
        };
        for (const Row &row : rows) {
            for (const std::size_t step : { std::size_t(1), row.bytes.size() + 1 }) {
                EventSplitter splitter;
                std::vector<std::string> events;
                std::vector<std::optional<std::uint64_t>> ids;
                for (std::size_t at = 0; at < row.bytes.size(); at += step) {
                    splitter.feed(std::string_view(row.bytes).substr(at, step));
                    while (const auto event = splitter.next()) {
                        events.push_back(event->bytes);
                        ids.push_back(event->id);
                    }
                }
                CPPUNIT_ASSERT_MESSAGE(row.bytes, row.events == events);
                CPPUNIT_ASSERT_MESSAGE(row.bytes, row.ids == ids);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.bytes, row.isPartial, splitter.hasPartialEvent());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

} // namespace chervilfield::relay
