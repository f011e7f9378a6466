#include "traffic/resilient_stream.h"

#include "engine/answer.h"
#include "traffic_fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::traffic {

using boost::asio::yield_context;

namespace {

constexpr std::uint64_t kTokens = 60;
constexpr std::string_view kPrompt = "Does the badge match the crest?";

std::string expectedAnswer()
{
    std::string answer;
    for (std::uint64_t i = 0; i < kTokens; ++i)
        answer += standins::answerToken(kPrompt, "v1", i);
    return answer;
}

net::Request completion()
{
    const boost::json::object body{ { "model", "m" },
                                    { "prompt", kPrompt },
                                    { "max_tokens", kTokens } };
    return { .method = "POST", .target = "/v1/completions", .body = boost::json::serialize(body) };
}

std::string answerOf(const std::optional<net::Response> &response)
{
    CPPUNIT_ASSERT_MESSAGE("no response", response.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response->body, 200, response->status);
    const auto body = boost::json::parse(response->body).as_object();
    return std::string(body.at("choices").as_array().at(0).as_object().at("text").as_string());
}

// Injects the fault into one engine after the other at intervals of 60 ms, the first time in the
// middle of the answer.
void injectFaults(TrafficFixture &fixture, std::size_t engines, const std::string &fault,
                  const yield_context &yield)
{
    for (std::size_t i = 0; i < engines; ++i) {
        boost::asio::steady_timer timer(fixture.context, std::chrono::milliseconds(60));
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        fixture.injectFault(i, fault, yield);
    }
}

} // namespace

class ResilientStreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResilientStreamTest);
    CPPUNIT_TEST(answerSurvivesFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the answer is complete after engines or connections fail in the middle of the
    // stream. Guards against missing, repeated or mixed tokens when the stream continues elsewhere.
    void answerSurvivesFaults()
    {
        struct Row
        {
            std::string name;
            std::size_t engines;
            std::string fault;
        };
        const Row rows[] = {
            { "no fault", 1, "{}" },
            { "one engine crashes and comes back empty", 1, R"({"crash":true})" },
            { "each of three engines crashes once", 3, R"({"crash":true})" },
            { "connections go silent", 1, R"({"silence":true})" },
            { "connections of three engines go silent", 3, R"({"silence":true})" },
            { "engines crash with silent connections", 3, R"({"silence":true,"crash":true})" },
        };
        for (const Row &row : rows) {
            TrafficFixture fixture(row.engines);
            fixture.run([&](const yield_context &yield) {
                net::spawnCoroutine(fixture.context, "[test]", [&](const yield_context &inner) {
                    injectFaults(fixture, row.engines, row.fault, inner);
                });
                const auto response = fixture.send(completion(), yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, expectedAnswer(), answerOf(response));
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResilientStreamTest);

} // namespace chervilfield::traffic
