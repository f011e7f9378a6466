#include "base/result.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace chervilfield::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Result;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// What a server does with a request and its connection.
struct Behaviour
{
    std::string response;
    std::size_t readBytes = 0;      ///< Bytes of the body that are read before the response.
    milliseconds delay{ 20 };       ///< Between the response and the end of the connection.
    bool closesInOrder = false;     ///< Closes instead of resetting; unread bytes reset it as well.
    bool keepsFirstRequest = false; ///< Answers the first request and keeps its connection.
};

// Server that treats each request according to a behaviour, without reading all of its body.
class EarlyServer
{
public:
    EarlyServer(asio::io_context &context, Behaviour behaviour)
        : behaviour_(std::move(behaviour)), acceptor_(context, { tcp::v4(), 0 })
    {
        spawnCoroutine(context, "[test]", [this, &context](asio::yield_context yield) {
            while (true) {
                auto socket = std::make_shared<tcp::socket>(context);
                acceptor_.async_accept(*socket, yield);
                ++connections;
                spawnCoroutine(context, "[test]", [this, socket](asio::yield_context inner) {
                    serve(*socket, inner);
                });
            }
        });
    }

    Address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

    std::size_t connections = 0;

private:
    void serve(tcp::socket &socket, asio::yield_context yield)
    {
        boost::system::error_code error;
        std::string bytes;
        if (behaviour_.keepsFirstRequest) {
            asio::async_read_until(socket, asio::dynamic_buffer(bytes), "first", yield[error]);
            bytes.clear();
            const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            asio::async_write(socket, asio::buffer(whole), yield[error]);
        }
        asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", yield[error]);
        std::vector<char> part(64U << 10U);
        const std::size_t headBytes = bytes.find("\r\n\r\n") + 4;
        for (std::size_t count = bytes.size() - headBytes; !error && count < behaviour_.readBytes;)
            count += socket.async_read_some(asio::buffer(part), yield[error]);
        asio::async_write(socket, asio::buffer(behaviour_.response), yield[error]);
        asio::steady_timer timer(yield.get_executor(), behaviour_.delay);
        timer.async_wait(yield);
        if (!behaviour_.closesInOrder)
            socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    Behaviour behaviour_;
    tcp::acceptor acceptor_;
};

struct Outcome
{
    int status = 0; ///< 0 if no head arrived.
    bool isComplete = false;
    std::error_code error;
};

Outcome send(HttpClient &client, const Address &address, const Request &request,
             asio::yield_context yield)
{
    Outcome outcome;
    const ExchangeOptions options{ .headTimeout = seconds(3), .maxIdleTime = seconds(10) };
    const auto stream = client.openOnce(address, request, options, yield, outcome.error);
    if (stream == nullptr)
        return outcome;
    outcome.status = stream->status();
    std::string body;
    while (stream->read(body, seconds(3), yield, outcome.error)) {
    }
    outcome.isComplete = !outcome.error;
    return outcome;
}

// Sends an upload, after another request on the same connection if the server keeps it. Returns no
// value if that takes too long.
std::optional<Outcome> upload(const Behaviour &behaviour, const std::string &body)
{
    asio::io_context context;
    EarlyServer server(context, behaviour);
    HttpClient client(context.get_executor(), {});
    std::optional<Outcome> outcome;
    spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
        Request request{ .method = "POST", .body = "first", .idempotent = false };
        bool isSound = true;
        if (behaviour.keepsFirstRequest)
            isSound = send(client, server.address(), request, yield).isComplete;
        request.body = body;
        const Outcome result = send(client, server.address(), request, yield);
        if (isSound && server.connections == 1)
            outcome = result;
        context.stop();
    });
    context.run_for(seconds(10));
    return outcome;
}

struct Row
{
    std::string name;
    Behaviour behaviour;
};

// Adds the row for a fresh and for a kept connection.
void addBoth(std::vector<Row> &rows, std::string name, Behaviour behaviour)
{
    rows.push_back({ name + ", fresh", behaviour });
    behaviour.keepsFirstRequest = true;
    rows.push_back({ name.append(", kept"), std::move(behaviour) });
}

std::vector<Row> earlyResponses()
{
    const std::string heads[] = {
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.0 200 OK\r\nConnection: close\r\n",
        "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n",
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n",
    };
    struct Ending
    {
        std::string name;
        std::size_t readBytes;
        milliseconds delay;
        bool closesInOrder;
    };
    constexpr std::size_t kPart = 1U << 20U;
    const Ending endings[] = {
        { "reset at once", 0, milliseconds(0), false },
        { "reset later", 0, milliseconds(20), false },
        { "read, reset at once", kPart, milliseconds(0), false },
        { "read, reset later", kPart, milliseconds(20), false },
        { "close at once", 0, milliseconds(0), true },
        { "close later", 0, milliseconds(20), true },
        { "read, close at once", kPart, milliseconds(0), true },
        { "read, close later", kPart, milliseconds(20), true },
    };
    std::vector<Row> rows;
    for (const std::string &head : heads) {
        for (const Ending &ending : endings) {
            std::string name = head;
            name.append(ending.name);
            addBoth(rows, std::move(name),
                    { .response = head + "\r\npart",
                      .readBytes = ending.readBytes,
                      .delay = ending.delay,
                      .closesInOrder = ending.closesInOrder });
        }
    }
    return rows;
}

std::vector<Row> invalidStatuses()
{
    std::vector<Row> rows;
    for (const char *status : { "000", "001", "099", "600", "999", "", "20", "-20" }) {
        for (const char *version : { "HTTP/1.0 ", "HTTP/1.1 " }) {
            for (const char *rest : { " X\r\nContent-Length: 2\r\n\r\nok", " X\r\n\r\nok" }) {
                std::string response = version;
                response.append(status).append(rest);
                std::string name = response;
                addBoth(rows, std::move(name),
                        { .response = std::move(response), .closesInOrder = true });
            }
        }
    }
    return rows;
}

} // namespace

class EarlyResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlyResponseTest);
    CPPUNIT_TEST(resetDuringTheUploadIsNoEnd);
    CPPUNIT_TEST(wholeUploadMayEndWithTheConnection);
    CPPUNIT_TEST(invalidStatusIsNoResponse);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests responses without a length whose connection is reset while the request is still being
    // written. Guards against a part of a response that is taken for the whole: the write receives
    // the reset, and the read sees an orderly end.
    void resetDuringTheUploadIsNoEnd()
    {
        const std::string body(16U << 20U, 'x');
        std::string failures;
        for (const Row &row : earlyResponses()) {
            const auto outcome = upload(row.behaviour, body);
            if (!outcome || outcome->isComplete)
                failures += row.name + (outcome ? ": complete\n" : ": no outcome\n");
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    // Guards against complete responses that are refused: the server has read the request.
    void wholeUploadMayEndWithTheConnection()
    {
        for (const std::string version : { "1.0", "1.1" }) {
            for (const bool isKept : { false, true }) {
                const auto outcome =
                        upload({ .response = "HTTP/" + version + " 200 OK\r\n\r\nwhole",
                                 .readBytes = 4U << 20U,
                                 .closesInOrder = true,
                                 .keepsFirstRequest = isKept },
                               std::string(4U << 20U, 'x'));
                CPPUNIT_ASSERT_MESSAGE(version, outcome && outcome->isComplete);
            }
        }
    }

    // Guards against a status that no caller can interpret and that reaches it as an answer.
    void invalidStatusIsNoResponse()
    {
        std::string failures;
        for (const Row &row : invalidStatuses()) {
            const auto outcome = upload(row.behaviour, "question");
            if (!outcome || outcome->status != 0 || outcome->error != Result::TargetFailed)
                failures += row.name + '\n';
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyResponseTest);

} // namespace chervilfield::net
