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
    CPPUNIT_TEST(datagramArrivesAfterMalformedOnes);
    CPPUNIT_TEST(tablesAndEntriesAreExchanged);
    CPPUNIT_TEST(damagedOrHugeCompressedValuesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    const net::Address anyPort_{ "127.0.0.1", 0 };

public:
    // Tests that a valid datagram arrives after a malformed and an oversized one, and that rejected
    // and unsent datagrams are counted. Guards against a receiver that stops after bad input.
    void datagramArrivesAfterMalformedOnes()
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
        asio::ip::udp::socket malformedSender(context, asio::ip::udp::v4());
        const asio::ip::udp::endpoint endpoint(asio::ip::make_address(to.host), to.port);
        malformedSender.send_to(asio::buffer(std::string("\x13\x02\x1c\xff", 4)), endpoint);
        malformedSender.send_to(asio::buffer(std::string(5000, 'x')), endpoint);
        const LoadReport report{ "a", 3, { { 7, {} } } };
        sender.send(to, report);
        // Too large to encode, so the sender counts it as failed.
        sender.send(to, LoadReport{ std::string(2000, 'a'), 3, {} });

        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (received.empty() && std::chrono::steady_clock::now() < deadline)
            context.run_for(10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, received.size());
        CPPUNIT_ASSERT(std::get<LoadReport>(received.front()) == report);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, receiver.counters().rejectedDatagrams);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, sender.counters().failedSends);
    }

    // Tests that member tables and configuration entries are exchanged over HTTP, and that a
    // malformed table gets status 400. Guards against lost rows and against a malformed body that
    // is accepted as a table.
    void tablesAndEntriesAreExchanged()
    {
        asio::io_context context;
        const std::vector<membership::Member> localTable{ { .name = "a" } };
        std::vector<membership::Member> peerTable{ { .name = "b" }, { .name = "c" } };
        std::vector<membership::Member> receivedTable;
        net::HttpServer server(
                { { &context,
                    makeExchangeHandler({ .exchangeTable =
                                                  [&](auto members) {
                                                      receivedTable = members;
                                                      return peerTable;
                                                  },
                                          .entries =
                                                  [](const EntriesQuery &query) {
                                                      return ConfigurationEntries{
                                                          9, { { query.after + 1, query.table } }
                                                      };
                                                  } }) } },
                {});
        std::error_code error;
        server.listen(anyPort_, error);
        CPPUNIT_ASSERT(!error);
        net::HttpClient client(context.get_executor(), {});
        bool done = false;
        net::spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
            const auto table =
                    exchangeTable(client, server.localAddress(), localTable, 1000ms, yield, error);
            CPPUNIT_ASSERT(table == peerTable);
            CPPUNIT_ASSERT(receivedTable == localTable);
            const auto entries = fetchEntries(client, server.localAddress(),
                                              { .after = 4, .table = "a b&c" }, {}, yield, error);
            CPPUNIT_ASSERT(entries);
            CPPUNIT_ASSERT(entries->entries.front() == ConfigurationEntry({ 5, "a b&c" }));
            const net::Request malformed{ .method = "POST",
                                          .target = "/peer/v1/members",
                                          .headers = {},
                                          .body = "\x19\xfc\xff" };
            const auto response =
                    client.send(server.localAddress(), malformed, 1000ms, yield, error);
            CPPUNIT_ASSERT(response);
            CPPUNIT_ASSERT_EQUAL(400, response->status);
            done = true;
        });
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!done && std::chrono::steady_clock::now() < deadline)
            context.run_for(10ms);
        CPPUNIT_ASSERT(done);
    }

    // Guards against a peer whose compressed rows exhaust the memory, and against lost values.
    void damagedOrHugeCompressedValuesAreRejected()
    {
        struct Row
        {
            std::string name;
            std::string value;
            bool isCompressed;
            std::size_t keptBytes; ///< Part of the frame that arrives.
            bool isAccepted;
        };
        constexpr std::size_t kAll = std::string::npos;
        const Row rows[] = {
            { "empty", "", false, kAll, true },
            { "small", "row", false, kAll, true },
            { "large", std::string(700'000, 'x'), true, kAll, true },
            { "largest", std::string(kMaxValueBytes, 'x'), true, kAll, true },
            { "too large", std::string(kMaxValueBytes + 1, 'x'), true, kAll, false },
            { "truncated", std::string(700'000, 'x'), true, 20, false },
            { "no frame", std::string(700'000, 'x'), true, 0, false },
        };
        for (const Row &row : rows) {
            ConfigurationEntry entry{ .revision = 1, .value = row.value };
            compressValue(entry);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isCompressed, entry.isCompressed);
            entry.value = entry.value.substr(0, row.keptBytes);
            const auto received = decodeEntries(encodeEntries({ .entries = { entry } }));
            CPPUNIT_ASSERT_MESSAGE(row.name, received && received->entries.size() == 1);
            const auto value = decompressedValue(received->entries.front());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isAccepted, value.has_value());
            CPPUNIT_ASSERT_MESSAGE(row.name, !value || *value == row.value);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportTest);

} // namespace chervilfield::peers
