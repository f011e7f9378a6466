#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

namespace chervilfield::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::seconds;

namespace {

enum class Ending { Close, Reset };

// Server that sends `response` to each request and ends the connection.
class CuttingServer
{
public:
    explicit CuttingServer(asio::io_context &context) : acceptor_(context, { tcp::v4(), 0 })
    {
        spawnCoroutine(context, "[test]", [this, &context](asio::yield_context yield) {
            while (true) {
                tcp::socket socket(context);
                acceptor_.async_accept(socket, yield);
                boost::system::error_code error;
                std::string request;
                asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                       yield[error]);
                asio::async_write(socket, asio::buffer(response), yield[error]);
                if (ending == Ending::Reset)
                    socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
            }
        });
    }

    Address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

    std::string response;
    Ending ending = Ending::Close;

private:
    tcp::acceptor acceptor_;
};

// Whole response, every part of which is sent in turn.
struct Row
{
    std::string name;
    std::string method;
    std::string response;
    std::size_t minBytes; ///< Size of the smallest part that is a complete response.
};

Row makeRow(const std::string &name, const std::string &method, const std::string &head,
            const std::string &body, bool hasEnd = true)
{
    const std::size_t headBytes = head.size() + 2;
    return { name, method, head + "\r\n" + body, hasEnd ? headBytes + body.size() : headBytes };
}

// Receives the response by one of the calls of the client. Returns true if it is complete.
using Call = bool (*)(HttpClient &client, const Address &address, const Request &request,
                      asio::yield_context yield);

bool readToEnd(ResponseStream &stream, asio::yield_context yield)
{
    std::string body;
    std::error_code error;
    while (stream.read(body, seconds(3), yield, error)) {
    }
    return !error;
}

bool receiveOnce(HttpClient &client, const Address &address, const Request &request,
                 asio::yield_context yield)
{
    std::error_code error;
    const auto stream =
            client.openOnce(address, request, { .headTimeout = seconds(3) }, yield, error);
    return stream != nullptr && readToEnd(*stream, yield);
}

bool receive(HttpClient &client, const Address &address, const Request &request,
             asio::yield_context yield)
{
    std::error_code error;
    const auto stream = client.open(address, request, seconds(3), yield, error);
    return stream != nullptr && readToEnd(*stream, yield);
}

bool receiveWhole(HttpClient &client, const Address &address, const Request &request,
                  asio::yield_context yield)
{
    std::error_code error;
    return client.send(address, request, seconds(3), yield, error).has_value();
}

// Sends all parts of the row's response. Returns the sizes for which the call is wrong about the
// end.
std::string checkParts(const Row &row, Ending ending, Call call)
{
    asio::io_context context;
    CuttingServer server(context);
    server.ending = ending;
    HttpClient client(context.get_executor(), {});
    const Request request{ .method = row.method, .target = "/x", .idempotent = false };
    std::string failures;
    bool hasEnded = false;
    spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
        for (std::size_t size = 0; size <= row.response.size(); ++size) {
            server.response = row.response.substr(0, size);
            const bool isComplete = call(client, server.address(), request, yield);
            // A reset may overtake the last bytes.
            const bool mayBeComplete = size >= row.minBytes;
            const bool mustBeComplete = mayBeComplete && ending == Ending::Close;
            if ((isComplete && !mayBeComplete) || (!isComplete && mustBeComplete))
                failures += " " + std::to_string(size);
        }
        hasEnded = true;
    });
    const auto deadline = std::chrono::steady_clock::now() + seconds(60);
    while (!hasEnded && std::chrono::steady_clock::now() < deadline)
        context.run_one_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_MESSAGE(row.name, hasEnded);
    return failures;
}

} // namespace

class CutResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutResponseTest);
    CPPUNIT_TEST(cutResponsesAreNotComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests responses that end after each of their bytes. Guards against a server that stops within
    // the head of its response, and a client that takes the part for a whole response.
    void cutResponsesAreNotComplete()
    {
        const std::string status = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n";
        const std::string sized = status + "Content-Length: 5\r\nA: b\r\n";
        const std::string chunked = status + "Transfer-Encoding: chunked\r\nA: b\r\n";
        const std::string hints = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
        const std::string old = "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n";
        const Row rows[] = {
            makeRow("length", "POST", sized, "whole"),
            makeRow("chunks", "POST", chunked, "2\r\nwh\r\n3;a=b\r\nole\r\n0\r\nC: d\r\n\r\n"),
            makeRow("end of the connection", "POST", status, "whole", false),
            makeRow("empty", "POST", status + "Content-Length: 0\r\n", ""),
            makeRow("no content", "POST", "HTTP/1.1 204 No Content\r\nA: b\r\n", ""),
            makeRow("after interim response", "POST", hints + sized, "whole"),
            makeRow("HTTP/1.0", "GET", old, "whole"),
            makeRow("HEAD", "HEAD", sized, ""),
            makeRow("HEAD of chunks", "HEAD", chunked, ""),
            makeRow("HEAD, no length", "HEAD", status, ""),
        };
        std::string failures;
        for (const Row &row : rows) {
            for (const Ending ending : { Ending::Close, Ending::Reset }) {
                for (const Call call : { receiveOnce, receive, receiveWhole }) {
                    const std::string sizes = checkParts(row, ending, call);
                    if (!sizes.empty())
                        failures += row.name + ":" + sizes + '\n';
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutResponseTest);

} // namespace chervilfield::net
