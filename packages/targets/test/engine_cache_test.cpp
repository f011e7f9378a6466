#include "targets/engine_cache.h"

#include "base/result.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace chervilfield::targets {

using boost::asio::yield_context;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 2000 };

struct FetchResults
{
    std::optional<CacheEvents> events;
    std::optional<CacheSnapshot> snapshot;
    std::error_code eventsError;
    std::error_code snapshotError;
};

// Reads the events from number 5 on and a snapshot from an engine that responds to both requests
// with `body`.
FetchResults fetch(const std::string &body)
{
    boost::asio::io_context context;
    const auto answer = [&body](net::Exchange &exchange, const yield_context &yield) {
        std::error_code ignored;
        exchange.respond(net::jsonResponse(200, body), yield, ignored);
    };
    net::HttpServer server({ { &context, answer } }, {});
    std::error_code error;
    server.listen({ "127.0.0.1", 0 }, error);
    CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
    net::HttpClient client(context.get_executor(), {});
    FetchResults result;
    bool ended = false;
    net::spawnCoroutine(context, "[test]", [&](const yield_context &yield) {
        result.events = fetchCacheEvents(client, server.localAddress(), 5, kTimeout, yield,
                                         result.eventsError);
        result.snapshot = fetchCacheSnapshot(client, server.localAddress(), kTimeout, yield,
                                             result.snapshotError);
        ended = true;
    });
    const auto deadline = std::chrono::steady_clock::now() + 3 * kTimeout;
    while (!ended && std::chrono::steady_clock::now() < deadline)
        context.run_one_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_MESSAGE("the engine did not answer in time", ended);
    return result;
}

} // namespace

class EngineCacheTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineCacheTest);
    CPPUNIT_TEST(readsEvents);
    CPPUNIT_TEST(readsSnapshot);
    CPPUNIT_TEST(refusesMalformedResponses);
    CPPUNIT_TEST_SUITE_END();

    // Tests that all fields of the events are read. Guards against rejecting a response because
    // event numbers are missing.
    void readsEvents()
    {
        const auto events = fetch(R"({"life":3,"next":9,"events":[
            {"number":5,"stored":true,"block":"00000000000000ff"},
            {"number":7,"stored":false,"block":"ffffffffffffffff"}]})")
                                    .events;
        CPPUNIT_ASSERT(events.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, events->life);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, events->nextNumber);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, events->events.size());
        CPPUNIT_ASSERT(events->events[0].isStored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0xff }, events->events[0].block);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, events->events[1].number);
        CPPUNIT_ASSERT(!events->events[1].isStored);
        CPPUNIT_ASSERT_EQUAL(~std::uint64_t{ 0 }, events->events[1].block);
    }

    // Tests that all fields of a snapshot are read. Guards against rejecting the snapshot of an
    // empty cache.
    void readsSnapshot()
    {
        const auto full = fetch(R"({"life":3,"next":9,"blocks":["000000000000000a"]})").snapshot;
        CPPUNIT_ASSERT(full.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, full->nextNumber);
        CPPUNIT_ASSERT(full->blocks == std::vector<std::uint64_t>{ 10 });
        const auto empty = fetch(R"({"life":3,"next":1,"blocks":[]})").snapshot;
        CPPUNIT_ASSERT(empty.has_value() && empty->blocks.empty());
    }

    // Tests that malformed responses are rejected. Guards against reading one as an empty cache or
    // as wrong blocks.
    void refusesMalformedResponses()
    {
        const std::string rows[] = {
            "",
            "[]",
            "{}",
            R"({"life":3,"next":9})",
            R"({"next":9,"events":[],"blocks":[]})",
            R"({"life":3,"events":[],"blocks":[]})",
            R"({"life":3,"next":0,"events":[],"blocks":[]})",
            R"({"life":-3,"next":9,"events":[],"blocks":[]})",
            R"({"life":"3","next":9,"events":[],"blocks":[]})",
            R"({"life":3,"next":9.5,"events":[],"blocks":[]})",
            R"({"life":3,"next":9,"events":{},"blocks":{}})",
            R"({"life":3,"next":9,"events":[1],"blocks":[1]})",
            R"({"life":3,"next":9,"events":[{"stored":true,"block":"000000000000000a"}],
                "blocks":["0a"]})",
            R"({"life":3,"next":9,"events":[{"number":5,"block":"000000000000000a"}],
                "blocks":["000000000000000g"]})",
            R"({"life":3,"next":9,"events":[{"number":5,"stored":1,"block":"000000000000000a"}],
                "blocks":["-00000000000000a"]})",
            R"({"life":3,"next":9,"events":[{"number":5,"stored":true,"block":"0a"}],
                "blocks":["000000000000000a0"]})",
            // Numbers below the first requested one, not below `next`, and not increasing.
            R"({"life":3,"next":9,"events":[{"number":4,"stored":true,
                "block":"000000000000000a"}]})",
            R"({"life":3,"next":9,"events":[{"number":9,"stored":true,
                "block":"000000000000000a"}]})",
            R"({"life":3,"next":9,"events":[
                {"number":6,"stored":true,"block":"000000000000000a"},
                {"number":6,"stored":true,"block":"000000000000000b"}]})",
        };
        for (const std::string &row : rows) {
            const FetchResults fetched = fetch(row);
            CPPUNIT_ASSERT_MESSAGE(row, !fetched.events.has_value());
            CPPUNIT_ASSERT_MESSAGE(row, !fetched.snapshot.has_value());
            CPPUNIT_ASSERT_MESSAGE(row, fetched.eventsError == base::Result::TargetFailed);
            CPPUNIT_ASSERT_MESSAGE(row, fetched.snapshotError == base::Result::TargetFailed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineCacheTest);

} // namespace chervilfield::targets
