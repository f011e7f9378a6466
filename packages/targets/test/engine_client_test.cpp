#include "targets/engine_client.h"

#include "base/result.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::targets {

using base::Result;
using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

/// Response body that arrives in one piece and then ends, or fails with `end`.
class ScriptedBody : public net::ResponseStream
{
public:
    ScriptedBody(std::string bytes, std::error_code end) : bytes_(std::move(bytes)), end_(end) {}

    int status() const override { return 200; }
    const net::Headers &headers() const override { return headers_; }
    void abort() override { bytes_.clear(); }

    bool read(std::string &out, milliseconds, yield_context, std::error_code &error) override
    {
        if (bytes_.empty()) {
            error = end_;
            return false;
        }
        out += std::exchange(bytes_, {});
        return true;
    }

private:
    std::string bytes_;
    std::error_code end_;
    net::Headers headers_{ { "X-Engine-Life", "7" } };
};

const std::string kToken = "data: {\"index\":0,\"text\":\"a\"}\n\n";
const std::string kUsage =
        "data: {\"usage\":{\"prompt_tokens\":3,\"cached_tokens\":2,\"completion_tokens\":1}}\n\n";
const std::string kDone = "data: [DONE]\n\n";

} // namespace

class EngineClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineClientTest);
    CPPUNIT_TEST(distinguishesStreamEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the result of each way in which a stream can end. Guards against taking a truncated or
    // malformed stream for a finished one.
    void distinguishesStreamEnds()
    {
        struct Row
        {
            std::string name;
            std::string bytes;
            std::error_code end;
            std::size_t tokens;
            Result expected;
            bool hasUsage;
        };
        const Row rows[] = {
            { "finished", kToken + kUsage + kDone, {}, 1, Result::Ok, true },
            { "cut before the usage", kToken, {}, 1, Result::StreamInterrupted, false },
            { "cut after the usage", kToken + kUsage, {}, 1, Result::StreamInterrupted, true },
            { "terminator without usage", kToken + kDone, {}, 1, Result::TargetFailed, false },
            { "malformed token", "data: {\"index\":0\n\n", {}, 0, Result::TargetFailed, false },
            { "event without index",
              "data: {\"text\":\"a\"}\n\n",
              {},
              0,
              Result::TargetFailed,
              false },
            { "silent", kToken, Result::ProgressTimeout, 1, Result::ProgressTimeout, false },
        };
        for (const Row &row : rows) {
            TokenStream stream(std::make_unique<ScriptedBody>(row.bytes, row.end));
            std::size_t tokens = 0;
            std::error_code error;
            boost::asio::io_context context;
            net::spawnCoroutine(context, "[test]", [&](const yield_context &yield) {
                while (stream.next(milliseconds(1000), yield, error))
                    ++tokens;
            });
            context.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.tokens, tokens);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<int>(row.expected),
                                         static_cast<int>(base::toResult(error)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.hasUsage, stream.usage().has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::uint64_t(7), stream.life());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineClientTest);

} // namespace chervilfield::targets
