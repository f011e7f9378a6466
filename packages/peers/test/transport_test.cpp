#include "peers/exchange.h"
#include "peers/udp_transport.h"

#include "base/result.h"

#include <boost/asio/ip/udp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace chervilfield::peers {

namespace asio = boost::asio;
using namespace std::chrono_literals;

class TransportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TransportTest);
    CPPUNIT_TEST(datagramArrivesDespiteNoise);
    CPPUNIT_TEST(tablesAndEntriesAreExchanged);
    CPPUNIT_TEST_SUITE_END();

    const net::Address anyPort_{ "127.0.0.1", 0 };

public:
    // Guards against a receiver that stops after a malformed or too long datagram.
    void datagramArrivesDespiteNoise()
    {
        asio::io_context context;
        std::vector<Datagram> received;
        UdpTransport receiver(context, [&](const net::Address &, Datagram datagram) {
            received.push_back(std::move(datagram));
        });
        UdpTransport sender(context, [](const net::Address &, const Datagram &) {});
        std::error_code error;
        receiver.open(anyPort_, error);
        CPPUNIT_ASSERT(!error);
        sender.open(anyPort_, error);
        CPPUNIT_ASSERT(!error);

        const net::Address to = receiver.localAddress();
        asio::ip::udp::socket noise(context, asio::ip::udp::v4());
        const asio::ip::udp::endpoint endpoint(asio::ip::make_address(to.host), to.port);
        noise.send_to(asio::buffer(std::string("\x13\x02\x1c\xff", 4)), endpoint);
        noise.send_to(asio::buffer(std::string(5000, 'x')), endpoint);
        const LoadReport report{ "a", 3, { { 7, {} } } };
        sender.send(to, report);
        // Too large to send: rejected on this side.
        sender.send(to, LoadReport{ std::string(2000, 'a'), 3, {} });

        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (received.empty() && std::chrono::steady_clock::now() < deadline)
            context.run_for(10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, received.size());
        CPPUNIT_ASSERT(std::get<LoadReport>(received.front()) == report);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, receiver.counters().rejectedDatagrams);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, sender.counters().failedSends);
    }

    // Guards against an exchange that loses rows, and against a bad answer taken for a table.
    void tablesAndEntriesAreExchanged()
    {
        asio::io_context context;
        const std::vector<membership::Member> mine{ { .name = "a" } };
        std::vector<membership::Member> theirs{ { .name = "b" }, { .name = "c" } };
        std::vector<membership::Member> seen;
        net::HttpServer server(
                { { &context,
                    makeExchangeHandler(
                            { .exchangeTable =
                                      [&](auto members) {
                                          seen = members;
                                          return theirs;
                                      },
                              .entriesAfter =
                                      [](std::uint64_t after) {
                                          return ConfigurationEntries{ 9, { { after + 1, "x" } } };
                                      } }) } },
                {});
        std::error_code error;
        server.listen(anyPort_, error);
        CPPUNIT_ASSERT(!error);
        net::HttpClient client(context.get_executor(), {});
        bool done = false;
        net::spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
            const auto table =
                    exchangeTable(client, server.localAddress(), mine, 1000ms, yield, error);
            CPPUNIT_ASSERT(table == theirs);
            CPPUNIT_ASSERT(seen == mine);
            const auto entries =
                    fetchEntries(client, server.localAddress(), 4, 1000ms, yield, error);
            CPPUNIT_ASSERT(entries && entries->entries.front().revision == 5);
            const net::Request bad{ .method = "POST",
                                    .target = "/peer/v1/members",
                                    .headers = {},
                                    .body = "\x19\xfc\xff" };
            const auto refused = client.send(server.localAddress(), bad, 1000ms, yield, error);
            CPPUNIT_ASSERT(refused);
            CPPUNIT_ASSERT_EQUAL(400, refused->status);
            done = true;
        });
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!done && std::chrono::steady_clock::now() < deadline)
            context.run_for(10ms);
        CPPUNIT_ASSERT(done);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportTest);

} // namespace chervilfield::peers
