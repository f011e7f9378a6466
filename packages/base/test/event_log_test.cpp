#include "base/event_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

namespace chervilfield::base {

namespace {

// Non-blocking pipe. `ends[0]` is the read end, `ends[1]` the write end.
struct Pipe
{
    Pipe() { CPPUNIT_ASSERT_EQUAL(0, pipe2(ends.data(), O_NONBLOCK)); }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t size = 0;
        while ((size = read(ends[0], buffer.data(), buffer.size())) > 0)
            text.append(buffer.data(), static_cast<std::size_t>(size));
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

class EventLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLogTest);
    CPPUNIT_TEST(linesAreJsonObjects);
    CPPUNIT_TEST(volumeIsBounded);
    CPPUNIT_TEST(fullPipeDoesNotBlock);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the format of a line and the escaping of texts. Guards against lines that a log
    // collector cannot parse.
    void linesAreJsonObjects()
    {
        const Pipe pipe;
        EventLog log({ .descriptor = pipe.ends[1] });
        log.write("part", "event", { { "text", "a\"b\\c\n" }, { "number", 7 } });
        const std::string line = pipe.readAll();
        CPPUNIT_ASSERT(line.starts_with("{\"at\":"));
        CPPUNIT_ASSERT(line.ends_with(",\"part\":\"part\",\"event\":\"event\",\"text\":"
                                      "\"a\\\"b\\\\c\\u000a\",\"number\":7}\n"));
    }

    // Tests that lines beyond the rate limit are dropped and counted. Guards against a log whose
    // volume grows with the load.
    void volumeIsBounded()
    {
        const Pipe pipe;
        EventLog log({ .descriptor = pipe.ends[1], .linesPerSecond = 0, .burst = 3 });
        for (int i = 0; i < 10; ++i)
            log.write("p", "e", {});
        const std::string text = pipe.readAll();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(3), std::count(text.begin(), text.end(), '\n'));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), log.dropped());
    }

    // Tests that a full pipe drops lines, which the next line reports. Guards against a process
    // that blocks when the reader of its log is slow.
    void fullPipeDoesNotBlock()
    {
        const Pipe pipe;
        EventLog log({ .descriptor = pipe.ends[1], .linesPerSecond = 1e9, .burst = 1e9 });
        const std::string text(1000, 'x');
        for (int i = 0; i < 1000; ++i)
            log.write("p", "e", { { "text", text } });
        CPPUNIT_ASSERT(log.dropped() > 0);
        pipe.readAll();
        log.write("p", "later", {});
        CPPUNIT_ASSERT(pipe.readAll().find("\"dropped\":") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace chervilfield::base
