#include "relay_fixture.h"

#include <functional>
#include <memory>

namespace chervilfield::relay {

namespace {

// Response that a target writes, beside those that answer the requests.
struct Extra
{
    std::string bytes;
    enum class When {
        Never,
        BeforeAnswer,    ///< Before the answer to the second request on the connection.
        InsteadOfAnswer, ///< Instead of that answer.
        WhileIdle,       ///< Some time after the answer to the first request.
    } when = When::Never;
};

std::string response(int status, const std::string &id, const std::string &body,
                     const std::string &fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n"
           + (id.empty() ? "" : "Id: " + id + "\r\n")
           + "Content-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

std::string answer(const std::string &id, const std::string &body)
{
    return response(200, id, body, "Signed: 1\r\n");
}

std::string refusal(const std::string &id)
{
    return response(503, id, "", "Not-Run: 1\r\n");
}

// Target that keeps its connections open. It gives the first request `first`, and all others an
// answer with their own id.
class KeptConnectionTarget
{
public:
    KeptConnectionTarget(asio::io_context &context, std::string first, Extra extra)
        : context_(context), first_(std::move(first)), extra_(std::move(extra))
    {
        // The coroutine owns the acceptor, because this object outlives the context.
        auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(
                context, asio::ip::tcp::endpoint(asio::ip::tcp::v4(), 0));
        port_ = acceptor->local_endpoint().port();
        net::spawnCoroutine(context, "[test]", [this, acceptor](asio::yield_context yield) {
            while (true) {
                auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
                acceptor->async_accept(*socket, yield);
                net::spawnCoroutine(context_, "[test]", [this, socket](asio::yield_context inner) {
                    serve(*socket, inner);
                });
            }
        });
    }

    net::Address address() const { return { "127.0.0.1", port_ }; }

private:
    void serve(asio::ip::tcp::socket &socket, asio::yield_context yield)
    {
        using enum Extra::When;
        boost::system::error_code error;
        std::string buffer;
        for (std::size_t onConnection = 0; !error; ++onConnection) {
            const std::size_t size = asio::async_read_until(socket, asio::dynamic_buffer(buffer),
                                                            "question", yield[error]);
            if (error)
                return;
            const std::string request = buffer.substr(0, size);
            buffer.erase(0, size);
            const std::size_t idAt = request.find("\r\nId: ");
            const std::string id =
                    request.substr(idAt + 6, request.find('\r', idAt + 6) - idAt - 6);
            const bool isFirst = requests_++ == 0;
            std::string bytes = isFirst ? first_ : answer(id, "own answer");
            if (onConnection == 1 && extra_.when == BeforeAnswer)
                bytes.insert(0, extra_.bytes);
            if (onConnection == 1 && extra_.when == InsteadOfAnswer)
                bytes = extra_.bytes;
            asio::async_write(socket, asio::buffer(bytes), yield[error]);
            if (isFirst && extra_.when == WhileIdle) {
                asio::steady_timer timer(context_, milliseconds(20));
                timer.async_wait(yield);
                asio::async_write(socket, asio::buffer(extra_.bytes), yield[error]);
            }
        }
    }

    asio::io_context &context_;
    std::string first_;
    Extra extra_;
    std::size_t requests_ = 0;
    std::uint16_t port_ = 0;
};

struct Row
{
    std::string name;
    std::string first;
    Extra extra;
    int status; ///< Of the second request.
    std::string body;
    std::size_t otherSends; ///< Requests that reach the second target.
    bool haveIds = true;
};

std::vector<Row> repeatedResponses()
{
    using enum Extra::When;
    const std::string unlabelled = answer("", "first");
    return {
        { "refusal", refusal("own"), { refusal("own"), BeforeAnswer }, 200, "own answer", 1 },
        { "refusal twice",
          refusal("own"),
          { refusal("own") + refusal("own"), BeforeAnswer },
          200,
          "own answer",
          1 },
        { "refusal, no answer",
          refusal("own"),
          { refusal("own"), InsteadOfAnswer },
          502,
          "route-timeout",
          1 },
        { "refusal without id, no answer",
          refusal("own"),
          { refusal(""), InsteadOfAnswer },
          502,
          "route-timeout",
          1 },
        { "refusal while idle",
          refusal("own"),
          { refusal("own"), WhileIdle },
          200,
          "own answer",
          1 },
        { "answer",
          answer("own", "first"),
          { answer("own", "first"), BeforeAnswer },
          200,
          "own answer",
          0 },
        { "answer, no other",
          answer("own", "first"),
          { answer("own", "first"), InsteadOfAnswer },
          502,
          "route-timeout",
          0 },
        { "answer while idle",
          answer("own", "first"),
          { answer("own", "first"), WhileIdle },
          200,
          "own answer",
          0 },
        { "part of an answer while idle",
          answer("own", "first"),
          { "HTTP/1.1 2", WhileIdle },
          200,
          "own answer",
          0 },
        { "requests without id",
          unlabelled,
          { unlabelled, BeforeAnswer },
          200,
          "own answer",
          0,
          false },
    };
}

} // namespace

class KeptConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeptConnectionTest);
    CPPUNIT_TEST(repeatedResponsesBelongToNoRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests two requests to a target that repeats its first response on the kept connection. Guards
    // against a caller that gets the answer to another request, or is told that its request has not
    // run although it has or is running, and against a request that runs at a second target.
    void repeatedResponsesBelongToNoRequest()
    {
        for (const Row &row : repeatedResponses()) {
            std::shared_ptr<KeptConnectionTarget> target;
            const auto outcomes =
                    runScenario({ .name = row.name,
                                  .kind = fleet::RequestKind::NonIdempotent,
                                  .targets = { Behaviour::Answers, Behaviour::Answers },
                                  .startFirstTarget =
                                          [&](asio::io_context &context) {
                                              target = std::make_shared<KeptConnectionTarget>(
                                                      context, row.first, row.extra);
                                              return target->address();
                                          },
                                  .pause = milliseconds(150),
                                  .haveRequestsIds = row.haveIds },
                                { "", "" });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200, outcomes.front().status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.status, outcomes.back().status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.body, outcomes.back().body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.otherSends, outcomes.back().sends.back());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptConnectionTest);

} // namespace chervilfield::relay
