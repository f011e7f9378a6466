#include "traffic/request_handler.h"

#include "traffic_fixture.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::traffic {

using boost::asio::yield_context;

namespace {

net::Request post(const std::string &target, const std::string &body, net::Headers headers = {})
{
    return { .method = "POST", .target = target, .headers = std::move(headers), .body = body };
}

} // namespace

class RequestHandlerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestHandlerTest);
    CPPUNIT_TEST(badRequestsAreRefusedWithTheirCode);
    CPPUNIT_TEST(orderWithoutStoreNeedsTicket);
    CPPUNIT_TEST(refusalBeforeLookupReportsUnknownWork);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the error code of each kind of invalid or unauthorized request. Guards against sending
    // such a request to a target.
    void badRequestsAreRefusedWithTheirCode()
    {
        struct Row
        {
            std::string name;
            net::Request request;
            int expectedCode;
        };
        const std::string path = "/v1/completions";
        const std::string good = R"({"model":"m","prompt":"p"})";
        const net::Headers wrongKey{ { "Authorization", "Bearer other" } };
        const Row rows[] = {
            { "wrong key", post(path, good, wrongKey), 1006 },
            { "wrong key on a path", { .target = "/status/1", .headers = wrongKey }, 1006 },
            { "other scheme", post(path, good, { { "Authorization", "Basic a2V5" } }), 1006 },
            { "credentials without a key", post(path, good, { { "Authorization", "Bearer" } }),
              1006 },
            { "unknown model", post(path, R"({"model":"x","prompt":"p"})"), 1007 },
            { "unknown path", { .target = "/nothing" }, 1008 },
            { "path of another segment", { .target = "/statusboard" }, 1008 },
            { "method", { .target = path }, 1012 },
            { "bad request id", post(path, good, { { "X-Request-Id", "a/b" } }), 1013 },
            { "bad deadline", post(path, good, { { "X-Deadline-Ms", "-5" } }), 1013 },
            { "bad event id", post(path, good, { { "Last-Event-ID", "x" } }), 1013 },
            { "event id past the end",
              post(path, good, { { "Last-Event-ID", "r/engine-0/1/9000" } }), 1013 },
            { "order without identity", post("/orders", R"({"id":"1"})"), 1009 },
            { "invalid JSON", post(path, "{"), 1004 },
        };
        TrafficFixture fixture(1);
        fixture.run([&](const yield_context &yield) {
            for (const Row &row : rows) {
                const auto response = fixture.send(row.request, yield);
                CPPUNIT_ASSERT_MESSAGE(row.name, response.has_value());
                const auto body = boost::json::parse(response->body).as_object();
                CPPUNIT_ASSERT_MESSAGE(row.name + response->body, body.contains("error"));
                const auto &error = body.at("error").as_object();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expectedCode,
                                             error.at("code").to_number<int>());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("not-run"),
                                             std::string(error.at("work").as_string()));
            }
        });
    }

    // Tests the refusals that precede the lookup of an order's state. Guards against reporting
    // `not-run` for an order that may have run, and against a restarted instance that rejects valid
    // API keys before it has its configuration.
    void refusalBeforeLookupReportsUnknownWork()
    {
        struct Row
        {
            std::string name;
            net::Request request;
            bool hasConfiguration;
            std::string code;
            std::string work;
        };
        const std::string body = R"({"id":"1"})";
        const net::Header key{ "Idempotency-Key", "k" };
        const Row rows[] = {
            { "wrong API key", post("/orders", body, { key, { "Authorization", "Bearer x" } }),
              true, "1006", "unknown" },
            { "unknown path", post("/nothing", body, { key }), true, "1008", "unknown" },
            { "order", post("/orders", body, { key }), false, "2007", "unknown" },
            { "ticket", post("/orders", body, { { "Order-Ticket", "t" } }), false, "2007",
              "unknown" },
            { "look-up", { .target = "/status/1" }, false, "2007", "not-run" },
            { "completion", post("/v1/completions", R"({"model":"m","prompt":"p"})"), false, "2007",
              "not-run" },
        };
        for (const Row &row : rows) {
            TrafficFixture fixture(1);
            if (!row.hasConfiguration)
                fixture.removeConfiguration();
            fixture.run([&](const yield_context &yield) {
                const auto response = fixture.send(row.request, yield);
                CPPUNIT_ASSERT_MESSAGE(row.name, response.has_value());
                const std::string &text = response->body;
                CPPUNIT_ASSERT_MESSAGE(text, text.find("\"code\":" + row.code) != text.npos);
                CPPUNIT_ASSERT_MESSAGE(text, text.find("\"work\":\"" + row.work) != text.npos);
            });
        }
    }

    // Tests that an order without a ticket is refused while the store is down, and that an order
    // with a ticket runs once. Guards against running an order without a record, and against
    // running it again when the ticket is repeated.
    void orderWithoutStoreNeedsTicket()
    {
        TrafficFixture fixture(1);
        fixture.run([&](const yield_context &yield) {
            const std::string body = R"({"id":"1"})";
            const auto refused =
                    fixture.send(post("/orders", body, { { "Idempotency-Key", "k" } }), yield);
            CPPUNIT_ASSERT_EQUAL(503, refused->status);
            // An earlier attempt with this key may have run at another instance.
            CPPUNIT_ASSERT(refused->body.find("\"work\":\"unknown\"") != std::string::npos);

            const auto issued = fixture.send(post("/v1/tickets", ""), yield);
            const auto ticket = boost::json::parse(issued->body).as_object().at("ticket");
            const net::Headers headers{ { "Order-Ticket", std::string(ticket.as_string()) } };
            for (int attempt = 0; attempt < 2; ++attempt) {
                const auto placed = fixture.send(post("/orders", body, headers), yield);
                CPPUNIT_ASSERT_EQUAL(201, placed->status);
                CPPUNIT_ASSERT(placed->body.find("\"execution\":1") != std::string::npos);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHandlerTest);

} // namespace chervilfield::traffic
