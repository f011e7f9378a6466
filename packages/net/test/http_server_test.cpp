#include "net/http_server.h"

#include "net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string>
#include <thread>

namespace chervilfield::net {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Sends raw bytes to the server and returns all that it sends until it closes the connection.
std::string exchangeRaw(const Address &address, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(address.host), address.port });
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

// Sends the request again until it gets status 200, for at most `patience`, and returns the last
// response. A refused request may be repeated.
std::string exchangeUntilServed(const Address &address, const std::string &bytes,
                                std::chrono::seconds patience)
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    std::string answer;
    do
        answer = exchangeRaw(address, bytes);
    while (!answer.starts_with("HTTP/1.1 200") && std::chrono::steady_clock::now() < deadline);
    return answer;
}

} // namespace

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(badInputIsRefused);
    CPPUNIT_TEST(unreliableLengthIsRefused);
    CPPUNIT_TEST(reliableLengthIsAccepted);
    CPPUNIT_TEST(trailerFieldsAreDiscarded);
    CPPUNIT_TEST(responsesToHeadHaveNoContent);
    CPPUNIT_TEST(unfinishedStreamIsVisible);
    CPPUNIT_TEST(goodRequestPasses);
    CPPUNIT_TEST(framingOfChunksIsLimited);
    CPPUNIT_TEST(limitsChangeWhileTheServerRuns);
    CPPUNIT_TEST(heldMemoryIsReclaimed);
    CPPUNIT_TEST(idleConnectionMakesRoom);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        start({ .maxHeadBytes = 1024,
                .maxBodyBytes = 64,
                .maxExtensionBytes = 8192,
                .headTimeout = milliseconds(200),
                .bodyTimeout = milliseconds(200),
                .idleTimeout = milliseconds(2000) });
    }

    void start(const ServerOptions &options)
    {
        const Handler handler = [this](Exchange &exchange, asio::yield_context yield) {
            std::error_code error;
            ++handledRequests_;
            if (exchange.request().target == "/fields") {
                std::string fields;
                for (const Header &header : exchange.request().headers)
                    fields += header.name + '=' + header.value + ';';
                exchange.respond({ .body = fields }, yield, error);
                return;
            }
            if (exchange.request().target != "/unfinished") {
                exchange.respond({ .body = exchange.request().body }, yield, error);
                return;
            }
            exchange.startStream(200, {}, yield, error);
            exchange.write("part", yield, error);
        };
        server_ = std::make_unique<HttpServer>(std::vector<ServerWorker>{ { &context_, handler } },
                                               options);
        std::error_code error;
        server_->listen({ "127.0.0.1", 0 }, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
        thread_ = std::thread([this] { context_.run(); });
    }

    void tearDown() override { stop(); }

    void restart(const ServerOptions &options)
    {
        stop();
        start(options);
    }

    void stop()
    {
        context_.stop();
        thread_.join();
        server_.reset();
        context_.restart();
    }

    // Tests that malformed, ambiguous, too large and too slow requests get the right error status.
    // Guards against request smuggling, unbounded input and connections held open by slow senders.
    void badInputIsRefused()
    {
        struct Row
        {
            std::string name;
            std::string bytes;
            std::string expected;
        };
        const Row rows[] = {
            { "garbage", "\x01\x02\x03\r\n\r\n", "HTTP/1.1 400" },
            { "no version", "GET /\r\n\r\n", "HTTP/1.1 400" },
            { "large head", "GET / HTTP/1.1\r\nA: " + std::string(4000, 'a') + "\r\n\r\n",
              "HTTP/1.1 431" },
            { "large body", "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", "HTTP/1.1 413" },
            { "two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
              "HTTP/1.1 400" },
            { "length and chunked",
              "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              "HTTP/1.1 400" },
            { "chunked and length",
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
              "HTTP/1.1 400" },
            { "negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400" },
            { "slow head", "GET / HTTP/1.1\r\nA: ", "HTTP/1.1 408" },
            { "slow body", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab", "HTTP/1.1 408" },
        };
        for (const Row &row : rows) {
            const std::string answer = exchangeRaw(server_->localAddress(), row.bytes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected,
                                         answer.substr(0, row.expected.size()));
        }
    }

    // Tests chunked requests whose body is small. Guards against memory that grows with trailers
    // and chunk lines, and against limits that refuse ordinary ones.
    void framingOfChunksIsLimited()
    {
        struct Row
        {
            std::string name;
            std::string chunks;
            std::string expected;
        };
        const std::string large(100'000, 'a');
        std::string lines;
        std::string extensions;
        for (int i = 0; i < 20'000; ++i)
            lines += "A: b\r\n";
        for (int i = 0; i < 60; ++i)
            extensions += "1;a=" + std::string(100, 'b') + "\r\nx\r\n";
        const std::string longExtension = "1;a=" + std::string(3000, 'b') + "\r\nx\r\n";
        const Row rows[] = {
            { "trailer", "1\r\nx\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 200" },
            { "trailer line", "1\r\nx\r\n0\r\nA: " + large + "\r\n\r\n", "HTTP/1.1 431" },
            { "trailer lines", "1\r\nx\r\n0\r\n" + lines + "\r\n", "HTTP/1.1 431" },
            { "extension", "1;a=" + large + "\r\nx\r\n0\r\n\r\n", "HTTP/1.1 431" },
            { "last extension", "1\r\nx\r\n0;a=" + large + "\r\n\r\n", "HTTP/1.1 431" },
            { "chunk size", std::string(100'000, '0') + "\r\nx\r\n0\r\n\r\n", "HTTP/1.1 431" },
            { "extensions", extensions + "0\r\n\r\n", "HTTP/1.1 200" },
            { "too many extensions", extensions + longExtension + "0\r\n\r\n", "HTTP/1.1 431" },
            { "body over the limit", "41\r\n", "HTTP/1.1 413" },
        };
        for (const Row &row : rows) {
            const std::string answer =
                    exchangeRaw(server_->localAddress(), "POST / HTTP/1.1\r\nConnection: close\r\n"
                                                         "Transfer-Encoding: chunked\r\n\r\n"
                                                                 + row.chunks);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected,
                                         answer.substr(0, row.expected.size()));
        }
    }

    // Guards against limits of the configuration that have no effect, and against a limit that
    // cannot be removed.
    void limitsChangeWhileTheServerRuns()
    {
        struct Row
        {
            std::string name;
            ServerLimits limits;
            std::string bytes;
            std::string expected;
        };
        const std::string close = "Connection: close\r\n";
        const std::string body = "POST / HTTP/1.1\r\n" + close + "Content-Length: 100\r\n\r\n"
                                 + std::string(100, 'x');
        const std::string head =
                "GET / HTTP/1.1\r\n" + close + "A: " + std::string(3000, 'a') + "\r\n\r\n";
        const std::string plain = "GET / HTTP/1.1\r\n" + close + "\r\n";
        constexpr auto kMaxTime = milliseconds::max();
        const Row rows[] = {
            { "body", {}, body, "HTTP/1.1 413" },
            { "larger body", { .maxBodyBytes = 100 }, body, "HTTP/1.1 200" },
            { "body again", {}, body, "HTTP/1.1 413" },
            { "head", {}, head, "HTTP/1.1 431" },
            { "larger head", { .maxHeadBytes = 4000 }, head, "HTTP/1.1 200" },
            { "huge head", { .maxHeadBytes = ~std::size_t{ 0 } }, head, "HTTP/1.1 200" },
            { "huge head timeout", { .headTimeout = kMaxTime }, plain, "HTTP/1.1 200" },
            { "huge idle timeout", { .idleTimeout = kMaxTime }, plain, "HTTP/1.1 200" },
            { "negative",
              { .headTimeout = milliseconds(-1) },
              "GET / HTTP/1.1\r\n",
              "HTTP/1.1 408" },
            { "idle", { .idleTimeout = milliseconds(50) }, "", "" },
        };
        for (const Row &row : rows) {
            server_->setLimits(row.limits);
            const std::string answer = exchangeRaw(server_->localAddress(), row.bytes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected,
                                         answer.substr(0, row.expected.size()));
        }
    }

    // Tests a body that stops just short of its end and holds the memory that others need. Guards
    // against a server that refuses all large bodies until the timeout of the first, and against
    // memory that is not returned.
    void heldMemoryIsReclaimed()
    {
        restart({ .maxBodyBytes = 300'000,
                  .requestMemoryBytes = 600'000,
                  .bodyTimeout = milliseconds(60'000),
                  .idleTimeout = milliseconds(60'000) });
        const std::string close = "Connection: close\r\n";
        const std::string head = "POST / HTTP/1.1\r\n" + close + "Content-Length: 300000\r\n\r\n";
        asio::io_context context;
        asio::ip::tcp::socket held(context);
        held.connect({ asio::ip::make_address("127.0.0.1"), server_->localAddress().port });
        asio::write(held, asio::buffer(head + std::string(299'999, 'x')));
        // Until the server has read the head and reserved the memory.
        const auto readDeadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (server_->requestMemoryInUse() < 300'000
               && std::chrono::steady_clock::now() < readDeadline)
            std::this_thread::yield();
        const std::string small =
                exchangeRaw(server_->localAddress(), "GET / HTTP/1.1\r\n" + close + "\r\n");
        CPPUNIT_ASSERT_MESSAGE(small, small.starts_with("HTTP/1.1 200"));
        const std::string answer =
                exchangeUntilServed(server_->localAddress(), head + std::string(300'000, 'x'),
                                    std::chrono::seconds(20));
        CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 20), answer.starts_with("HTTP/1.1 200"));
        std::string refusal;
        boost::system::error_code error;
        asio::read(held, asio::dynamic_buffer(refusal), error);
        CPPUNIT_ASSERT_MESSAGE(refusal, refusal.starts_with("HTTP/1.1 503"));
        held.close();
        for (int i = 0; i < 200 && server_->requestMemoryInUse() > 0; ++i)
            std::this_thread::sleep_for(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server_->requestMemoryInUse());
    }

    // Guards against idle connections that keep all callers out until their timeout.
    void idleConnectionMakesRoom()
    {
        restart({ .maxConnections = 2, .idleTimeout = milliseconds(60'000) });
        asio::io_context context;
        std::vector<asio::ip::tcp::socket> idle;
        for (int i = 0; i < 2; ++i) {
            idle.emplace_back(context);
            idle.back().connect(
                    { asio::ip::make_address("127.0.0.1"), server_->localAddress().port });
        }
        const std::string answer = exchangeUntilServed(
                server_->localAddress(), "GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
                std::chrono::seconds(20));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
    }

    // Tests that a request whose length cannot be determined reliably gets status 400, and that
    // nothing after its head is handled. Guards against request smuggling: a request in the body of
    // another one that is run on its own, or a request that is run without its body.
    void unreliableLengthIsRefused()
    {
        struct Row
        {
            std::string name;
            std::string fields;
            std::string version = "1.1";
        };
        const Row rows[] = {
            { "gzip", "Transfer-Encoding: gzip\r\n" },
            { "identity", "Transfer-Encoding: identity\r\n" },
            { "unknown coding", "Transfer-Encoding: xchunked\r\n" },
            { "no coding", "Transfer-Encoding:\r\n" },
            { "gzip, chunked", "Transfer-Encoding: gzip, chunked\r\n" },
            { "chunked, gzip", "Transfer-Encoding: chunked, gzip\r\n" },
            { "chunked, identity", "Transfer-Encoding: chunked, identity\r\n" },
            { "chunked twice", "Transfer-Encoding: chunked, chunked\r\n" },
            { "upper case", "Transfer-Encoding: CHUNKED,GZIP\r\n" },
            { "quoted", "Transfer-Encoding: \"chunked\"\r\n" },
            { "empty element", "Transfer-Encoding: , gzip\r\n" },
            { "empty element, chunked", "Transfer-Encoding: , chunked\r\n" },
            { "parameter", "Transfer-Encoding: chunked;a=b\r\n" },
            { "control character", "Transfer-Encoding: \vchunked\r\n" },
            { "folded", "Transfer-Encoding: gzip,\r\n identity\r\n" },
            { "two fields", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" },
            { "gzip after chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n" },
            { "gzip before chunked", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" },
            { "gzip and a length", "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n" },
            { "a length and gzip", "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n" },
            { "chunked and a length", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n" },
            { "HTTP/1.0, gzip", "Transfer-Encoding: gzip\r\n", "1.0" },
            { "HTTP/1.0, chunked", "Transfer-Encoding: chunked\r\n", "1.0" },
            { "HTTP/1.0, kept connection, gzip",
              "Transfer-Encoding: gzip\r\nConnection: keep-alive\r\n", "1.0" },
            { "space before the colon", "Transfer-Encoding : chunked\r\n" },
            { "bare carriage return", "A: b\rTransfer-Encoding: chunked\r\n" },
            { "two lengths", "Content-Length: 0\r\nContent-Length: 1\r\n" },
            { "list of lengths", "Content-Length: 0, 1\r\n" },
            { "signed length", "Content-Length: +0\r\n" },
            { "hexadecimal length", "Content-Length: 0x0\r\n" },
            { "no length", "Content-Length:\r\n" },
            { "overflow", "Content-Length: 18446744073709551616\r\n" },
        };
        std::string failures;
        for (const Row &row : rows) {
            for (const std::string method : { "POST", "GET" }) {
                handledRequests_ = 0;
                const std::string answer = exchangeRaw(
                        server_->localAddress(),
                        method + " /outer HTTP/" + row.version + "\r\n" + row.fields + "\r\n"
                                + "POST /inner HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
                const std::string name = row.name + ", " + method;
                if (!answer.starts_with("HTTP/1.1 400")
                    || answer.find("HTTP/1.1", 1) != answer.npos)
                    failures += name + ": " + answer.substr(0, answer.find('\r')) + '\n';
                if (handledRequests_ > 0)
                    failures += name + ": " + std::to_string(handledRequests_) + " handled\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    // Tests valid ways to state the length of a body. Guards against a check that refuses them.
    void reliableLengthIsAccepted()
    {
        struct Row
        {
            std::string name;
            std::string request;
        };
        const std::string chunks = "2\r\nab\r\n1;a=b\r\nc\r\n0\r\n\r\n";
        const Row rows[] = {
            { "length", "Content-Length: 3\r\n\r\nabc" },
            { "the same length twice", "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" },
            { "chunked", "Transfer-Encoding: chunked\r\n\r\n" + chunks },
            { "mixed case", "TRANSFER-encoding: ChunKed\r\n\r\n" + chunks },
            { "white space", "Transfer-Encoding: \t chunked \t\r\n\r\n" + chunks },
            { "folded", "Transfer-Encoding:\r\n chunked\r\n\r\n" + chunks },
        };
        for (const Row &row : rows) {
            handledRequests_ = 0;
            const std::string answer =
                    exchangeRaw(server_->localAddress(),
                                "POST / HTTP/1.1\r\nConnection: close\r\n" + row.request);
            CPPUNIT_ASSERT_MESSAGE(row.name + ": " + answer, answer.starts_with("HTTP/1.1 200"));
            CPPUNIT_ASSERT_MESSAGE(row.name + ": " + answer, answer.ends_with("\r\n\r\nabc"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 1, handledRequests_.load());
        }
    }

    // Tests that fields after the last chunk do not become header fields. Guards against a trailer
    // that changes how a request is routed or whose it is.
    void trailerFieldsAreDiscarded()
    {
        const std::string answer =
                exchangeRaw(server_->localAddress(),
                            "POST /fields HTTP/1.1\r\nA: 1\r\nConnection: close\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n0\r\nA: 2\r\nB: 3\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("A=1;") != answer.npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("A=2;") == answer.npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("B=3;") == answer.npos);
    }

    // Tests that no content follows the head of a response to HEAD, complete or streamed. Guards
    // against content that a caller reads as the response to its next request.
    void responsesToHeadHaveNoContent()
    {
        const std::string head = "HEAD /fields HTTP/1.1\r\nA: 1\r\n";
        const std::string close = "Connection: close\r\n\r\n";
        const std::string alone = exchangeRaw(server_->localAddress(), head + close);
        CPPUNIT_ASSERT_MESSAGE(alone, alone.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(alone, alone.size() - 4, alone.find("\r\n\r\n"));
        const std::string streamed =
                exchangeRaw(server_->localAddress(), "HEAD /unfinished HTTP/1.1\r\n" + close);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(streamed, streamed.size() - 4, streamed.find("\r\n\r\n"));
        const std::string both = exchangeRaw(server_->localAddress(),
                                             head + "\r\nGET /fields HTTP/1.1\r\nB: 2\r\n" + close);
        const std::size_t second = both.find("\r\n\r\n") + 4;
        CPPUNIT_ASSERT_MESSAGE(both, both.substr(second).starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_MESSAGE(both, both.ends_with("\r\n\r\nB=2;Connection=close;"));
    }

    // Tests that a client reports an error if the handler returns without finishing its stream.
    // Guards against a truncated stream that the caller takes for complete.
    void unfinishedStreamIsVisible()
    {
        std::string body;
        const std::error_code error = fetch({ .target = "/unfinished" }, body);
        CPPUNIT_ASSERT_EQUAL(std::string("part"), body);
        CPPUNIT_ASSERT(error == base::Result::StreamInterrupted);
    }

    // Tests that a well-formed request reaches the handler with its body. Guards against checks
    // that refuse valid requests.
    void goodRequestPasses()
    {
        std::string body;
        const std::error_code error = fetch({ .method = "POST", .body = "hello" }, body);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), body);
    }

private:
    std::error_code fetch(const Request &request, std::string &body)
    {
        asio::io_context context;
        HttpClient client(context.get_executor(), {});
        std::error_code error;
        spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
            auto stream =
                    client.open(server_->localAddress(), request, milliseconds(2000), yield, error);
            while (stream != nullptr && stream->read(body, milliseconds(2000), yield, error)) {
            }
        });
        context.run();
        return error;
    }

    asio::io_context context_;
    std::atomic<int> handledRequests_{ 0 };
    std::unique_ptr<HttpServer> server_;
    std::thread thread_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace chervilfield::net
