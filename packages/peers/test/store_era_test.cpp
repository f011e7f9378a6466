#include "peers/datagram.h"
#include "peers/exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::peers {

class StoreEraTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreEraTest);
    CPPUNIT_TEST(erasArriveInMessages);
    CPPUNIT_TEST(erasArriveInQueries);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an era that a message loses, and against an impossible one that ends the
    // process or that an instance takes over.
    void erasArriveInMessages()
    {
        struct Row
        {
            std::uint64_t era;
            bool isAccepted;
        };
        const Row rows[] = {
            { 0, true },
            { 1, true },
            { kMaxStoreEra, true },
            { kMaxStoreEra + 1, false },
            { std::uint64_t(1) << 40U, false },
            { ~std::uint64_t(0), false },
        };
        for (const Row &row : rows) {
            const std::string name = std::to_string(row.era);
            const ConfigurationEntries entries{ .revisionInForce = 3,
                                                .entries = { { 2, "x" } },
                                                .storeEra = row.era };
            const auto received = decodeEntries(encodeEntries(entries));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.isAccepted, received.has_value());
            CPPUNIT_ASSERT_MESSAGE(name, !received || *received == entries);

            membership::Packet packet{ .sender = { .name = "a", .peerAddress = "127.0.0.1:1" } };
            packet.configurationRevision = 7;
            packet.storeEra = row.era;
            const auto datagram = decode(encode(packet).value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.isAccepted, datagram.has_value());
            CPPUNIT_ASSERT_MESSAGE(name,
                                   !datagram || std::get<membership::Packet>(*datagram) == packet);
        }
    }

    // Guards against a peer that answers for another era than it was asked, and against queries
    // that it misreads. Without an era, the query is that of earlier versions.
    void erasArriveInQueries()
    {
        boost::asio::io_context context;
        std::vector<EntriesQuery> queries;
        net::HttpServer server(
                { { &context, makeExchangeHandler({ .exchangeTable = {},
                                                    .entries =
                                                            [&](const EntriesQuery &query) {
                                                                queries.push_back(query);
                                                                return ConfigurationEntries{};
                                                            } }) } },
                {});
        std::error_code error;
        server.listen({ "127.0.0.1", 0 }, error);
        CPPUNIT_ASSERT(!error);
        net::HttpClient client(context.get_executor(), {});
        bool isDone = false;
        net::spawnCoroutine(context, "[test]", [&](const boost::asio::yield_context &yield) {
            for (const std::uint64_t era : { std::uint64_t(0), kMaxStoreEra })
                fetchEntries(client, server.localAddress(), { .after = 4, .storeEra = era }, {},
                             yield, error);
            for (const std::string text : { "-1", "x", "1x", "99999999999999999999" }) {
                const auto response =
                        client.send(server.localAddress(),
                                    { .target = "/peer/v1/configuration?after=4&era=" + text },
                                    std::chrono::milliseconds(1000), yield, error);
                CPPUNIT_ASSERT_MESSAGE(text, response && response->status == 400);
            }
            isDone = true;
        });
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isDone && std::chrono::steady_clock::now() < deadline)
            context.run_for(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(isDone);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), queries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), queries[0].storeEra);
        CPPUNIT_ASSERT_EQUAL(kMaxStoreEra, queries[1].storeEra);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTest);

} // namespace chervilfield::peers
