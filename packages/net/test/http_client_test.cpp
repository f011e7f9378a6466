#include "net/http_client.h"

#include "base/result.h"
#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace chervilfield::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Result;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

namespace {

// What a scripted server does after it has sent its bytes.
enum class Ending {
    Close, ///< Closes the connection in order.
    Reset, ///< Resets the connection.
    Hold,  ///< Keeps the connection open until the client closes it.
    Flood, ///< Repeats `filler` until the client closes the connection.
    Drip,  ///< Sends one byte of `filler` every 40 ms until the client closes the connection.
};

struct Script
{
    std::string bytes;
    Ending ending = Ending::Close;
    std::string filler;
};

constexpr std::size_t kWriteBytes = 64U << 10U;
constexpr std::size_t kMebibyte = 1U << 20U;

// Server that reads one request for each connection and follows a script for the response. The last
// script is repeated.
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &context, std::vector<Script> scripts)
        : scripts_(std::move(scripts)), acceptor_(context, { tcp::v4(), 0 })
    {
        spawnCoroutine(context, "[test]", [this, &context](asio::yield_context yield) {
            while (true) {
                auto socket = std::make_shared<tcp::socket>(context);
                acceptor_.async_accept(*socket, yield);
                const Script &script = scripts_[std::min(connections, scripts_.size() - 1)];
                ++connections;
                spawnCoroutine(context, "[test]",
                               [this, socket, &script](asio::yield_context inner) {
                                   follow(*socket, script, inner);
                               });
            }
        });
    }

    Address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

    std::size_t connections = 0;
    std::size_t closedByClient = 0; ///< Connections that the client closed during an ending.
    std::size_t bytesSent = 0;

private:
    void follow(tcp::socket &socket, const Script &script, asio::yield_context yield)
    {
        boost::system::error_code error;
        std::string request;
        asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", yield[error]);
        send(socket, script.bytes, yield, error);
        if (script.ending == Ending::Reset) {
            // The client reads the bytes before it learns of the reset.
            pause(milliseconds(50), yield);
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        if (script.ending == Ending::Close || script.ending == Ending::Reset) {
            socket.close();
            return;
        }
        std::string block;
        while (script.ending == Ending::Flood && block.size() < kWriteBytes)
            block += script.filler;
        while (!error && script.ending == Ending::Flood)
            send(socket, block, yield, error);
        for (std::size_t i = 0; !error && script.ending == Ending::Drip; ++i) {
            send(socket, script.filler.substr(i % script.filler.size(), 1), yield, error);
            pause(milliseconds(40), yield);
        }
        char byte = 0;
        if (!error)
            socket.async_read_some(asio::buffer(&byte, 1), yield[error]);
        ++closedByClient;
    }

    void send(tcp::socket &socket, const std::string &bytes, asio::yield_context yield,
              boost::system::error_code &error)
    {
        if (!error)
            bytesSent += asio::async_write(socket, asio::buffer(bytes), yield[error]);
    }

    static void pause(milliseconds time, asio::yield_context yield)
    {
        asio::steady_timer timer(yield.get_executor(), time);
        timer.async_wait(yield);
    }

    std::vector<Script> scripts_;
    tcp::acceptor acceptor_;
};

struct Outcome
{
    int status = 0; ///< 0 if no head arrived.
    std::string body;
    std::size_t bodyBytes = 0;
    std::error_code error;
};

constexpr milliseconds kHeadTimeout{ 600 };
constexpr milliseconds kReadTimeout{ 600 };

// Sends one request and keeps at most the first KiB of the body.
Outcome request(HttpClient &client, const Address &address, asio::yield_context yield)
{
    Outcome outcome;
    const Request request{ .method = "POST", .body = "question", .idempotent = false };
    const ExchangeOptions options{ .headTimeout = kHeadTimeout,
                                   .maxIdleTime = seconds(10),
                                   .isOwnResponse = [](const Headers &headers) {
                                       return findHeader(headers, "Id").has_value();
                                   } };
    const auto stream = client.openOnce(address, request, options, yield, outcome.error);
    if (stream == nullptr)
        return outcome;
    outcome.status = stream->status();
    const auto deadline = Clock::now() + kReadTimeout;
    std::string bytes;
    while (Clock::now() < deadline
           && stream->read(bytes, std::chrono::duration_cast<milliseconds>(deadline - Clock::now()),
                           yield, outcome.error)) {
        outcome.bodyBytes += bytes.size();
        if (outcome.body.size() < 1024)
            outcome.body += bytes;
        bytes.clear();
    }
    return outcome;
}

// Calls `body` in a coroutine and stops the context afterwards. Passes on exceptions, and returns
// false if the call takes too long.
bool endsInTime(asio::io_context &context, const std::function<void(asio::yield_context)> &body)
{
    bool hasEnded = false;
    std::exception_ptr failure;
    spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
        try {
            body(yield);
        } catch (const CppUnit::Exception &) {
            failure = std::current_exception();
        }
        hasEnded = true;
        context.stop();
    });
    context.run_for(seconds(10));
    if (failure != nullptr)
        std::rethrow_exception(failure);
    return hasEnded;
}

void run(asio::io_context &context, const std::string &name,
         const std::function<void(asio::yield_context)> &body)
{
    CPPUNIT_ASSERT_MESSAGE(name + ": timeout", endsInTime(context, body));
}

void waitFor(milliseconds time, asio::yield_context yield)
{
    asio::steady_timer timer(yield.get_executor(), time);
    timer.async_wait(yield);
}

// Waits until the server has noticed the end of its connection, at most until `deadline`.
void waitForClose(const ScriptedServer &server, Clock::time_point deadline,
                  asio::yield_context yield)
{
    while (server.closedByClient == 0 && Clock::now() < deadline)
        waitFor(milliseconds(5), yield);
}

const std::string kOk = "HTTP/1.1 200 OK\r\nId: 1\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kWhole = kOk + "Content-Length: 2\r\n\r\nok";

} // namespace

class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(endOfBodyIsCompleteOrInterrupted);
    CPPUNIT_TEST(unreliableLengthFailsTheExchange);
    CPPUNIT_TEST(bodyThatKeepsArrivingIsNotGivenUp);
    CPPUNIT_TEST(endlessInputEndsTheExchange);
    CPPUNIT_TEST(interimResponsesAreNoAnswer);
    CPPUNIT_TEST(responsesToHeadHaveNoContent);
    CPPUNIT_TEST(surplusBytesDoNotReachTheNextRequest);
    CPPUNIT_TEST(endlessInputAfterResponseClosesTheConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests each way in which a body can end. Guards against interrupted bodies that look complete,
    // and bodies without a length that look interrupted.
    void endOfBodyIsCompleteOrInterrupted()
    {
        struct Row
        {
            std::string name;
            Script script;
            std::string body;
            bool isComplete;
        };
        const std::string large(300'000, 'x');
        const Row rows[] = {
            { "length", { kWhole, Ending::Hold, "" }, "ok", true },
            { "length, closed early", { kOk + "Content-Length: 3\r\n\r\nok" }, "ok", false },
            { "chunks", { kChunked + "2\r\nok\r\n0\r\n\r\n", Ending::Hold, "" }, "ok", true },
            { "chunks, closed before the last", { kChunked + "2\r\nok\r\n" }, "ok", false },
            { "no framing, closed", { kOk + "\r\nok" }, "ok", true },
            { "no framing, HTTP/1.0", { "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nok" }, "ok", true },
            { "no framing, keep-alive", { kOk + "Connection: keep-alive\r\n\r\nok" }, "ok", true },
            { "no framing, closed without a body", { kOk + "\r\n" }, "", true },
            { "no framing, reset", { kOk + "\r\nok", Ending::Reset, "" }, "ok", false },
            { "no framing, large", { kOk + "\r\n" + large }, large, true },
        };
        for (const Row &row : rows) {
            asio::io_context context;
            ScriptedServer server(context, { row.script });
            HttpClient client(context.get_executor(), {});
            run(context, row.name, [&](asio::yield_context yield) {
                const Outcome outcome = request(client, server.address(), yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200, outcome.status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.body.size(), outcome.bodyBytes);
                CPPUNIT_ASSERT_MESSAGE(row.name, row.body.starts_with(outcome.body));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isComplete, !outcome.error);
            });
        }
    }

    // Tests responses whose length cannot be determined reliably. Guards against a body that is
    // lost or still encoded in a response that looks complete, and against its bytes being taken
    // for the response to the next request.
    void unreliableLengthFailsTheExchange()
    {
        struct Row
        {
            std::string name;
            std::string head;
        };
        const Row rows[] = {
            { "gzip", kOk + "Transfer-Encoding: gzip\r\n" },
            { "identity", kOk + "Transfer-Encoding: identity\r\n" },
            { "gzip, chunked", kOk + "Transfer-Encoding: gzip, chunked\r\n" },
            { "chunked, gzip", kOk + "Transfer-Encoding: chunked, gzip\r\n" },
            { "chunked twice", kOk + "Transfer-Encoding: chunked, chunked\r\n" },
            { "quoted", kOk + "Transfer-Encoding: \"chunked\"\r\n" },
            { "no coding", kOk + "Transfer-Encoding:\r\n" },
            { "folded", kOk + "Transfer-Encoding: gzip,\r\n identity\r\n" },
            { "two fields", kOk + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" },
            { "gzip and a length", kOk + "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n" },
            { "a length and gzip", kOk + "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n" },
            { "chunked and a length", kOk + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n" },
            { "HTTP/1.0, chunked", "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n" },
            { "two lengths", kOk + "Content-Length: 0\r\nContent-Length: 1\r\n" },
            { "list of lengths", kOk + "Content-Length: 0, 1\r\n" },
            { "signed length", kOk + "Content-Length: +0\r\n" },
            { "response to another request, gzip",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 0\r\n" },
        };
        std::string failures;
        for (const Row &row : rows) {
            for (const Ending ending : { Ending::Close, Ending::Hold }) {
                asio::io_context context;
                ScriptedServer server(context, { { row.head + "\r\n" + kWhole, ending, "" },
                                                 { kWhole, Ending::Hold, "" } });
                HttpClient client(context.get_executor(), {});
                run(context, row.name, [&](asio::yield_context yield) {
                    const Outcome faulty = request(client, server.address(), yield);
                    if (faulty.status != 0 || faulty.error != Result::TargetFailed)
                        failures += row.name + ": status " + std::to_string(faulty.status) + '\n';
                    const Outcome next = request(client, server.address(), yield);
                    if (next.body != "ok" || server.connections != 2)
                        failures += row.name + ": next response " + next.body + '\n';
                });
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    // Guards against large bodies on slow links that are never received as a whole.
    void bodyThatKeepsArrivingIsNotGivenUp()
    {
        struct Row
        {
            std::string name;
            Ending ending;
            TransferLimits limits;
            bool isComplete;
        };
        // The server takes 800 ms for the body.
        const std::string head = kOk + "Content-Length: 20\r\n\r\n";
        const Row rows[] = {
            { "progress", Ending::Drip, { kHeadTimeout, milliseconds(500), seconds(5) }, true },
            { "silence", Ending::Hold, { kHeadTimeout, milliseconds(100), seconds(5) }, false },
            { "too slow", Ending::Drip, { kHeadTimeout, kReadTimeout, milliseconds(300) }, false },
        };
        for (const Row &row : rows) {
            asio::io_context context;
            ScriptedServer server(context, { { head, row.ending, "x" } });
            HttpClient client(context.get_executor(), {});
            run(context, row.name, [&](asio::yield_context yield) {
                std::error_code error;
                const auto response = client.send(server.address(), {}, row.limits, yield, error);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isComplete, response.has_value());
                CPPUNIT_ASSERT_MESSAGE(row.name,
                                       row.isComplete ? !error : error == Result::ProgressTimeout);
            });
        }
    }

    // Tests servers that send bytes without end. Guards against memory that grows until a timeout,
    // connections that stay open, and exchanges that look complete.
    void endlessInputEndsTheExchange()
    {
        struct Row
        {
            std::string name;
            std::string head;
            std::string filler;
            int status;       ///< 0 if the head has no end.
            bool isSizeBound; ///< Whether the size ends a flood before the timeout.
        };
        const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        const Row rows[] = {
            { "bytes that are no HTTP", "", "\x01\x02garbage", 0, true },
            { "zero bytes", "", std::string(8, '\0'), 0, true },
            { "status line", "HTTP/1.1 200 ", "O", 0, true },
            { "header line", kOk + "A: ", "a", 0, true },
            { "header lines", kOk, "A: a\r\n", 0, true },
            { "interim responses", interim, interim, 0, true },
            { "responses to other requests", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, true },
            { "body of another response", "HTTP/1.1 200 OK\r\n\r\n", "x", 0, true },
            { "chunks of another response", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
              "1\r\nx\r\n", 0, false },
            { "body without framing", kOk + "\r\n", "x", 200, true },
            { "chunks", kChunked, "1\r\nx\r\n", 200, false },
            { "chunk size", kChunked, "0", 200, true },
            { "chunk extension", kChunked + "1;a=", "a", 200, true },
            { "chunk extensions", kChunked + "1", ";a=a", 200, true },
            { "extension of the last chunk", kChunked + "0;a=", "a", 200, true },
            { "trailer line", kChunked + "0\r\nA: ", "a", 200, true },
            { "trailer lines", kChunked + "0\r\n", "A: a\r\n", 200, true },
        };
        constexpr std::size_t kMaxBodyBytes = 8 * kMebibyte;
        // Includes the bytes in the kernel's buffers.
        constexpr std::size_t kMaxSent = kMaxBodyBytes + 16 * kMebibyte;
        std::string failures;
        const auto expect = [&failures](const std::string &name, bool isTrue) {
            if (!isTrue)
                failures += name + '\n';
        };
        for (const Row &row : rows) {
            for (const Ending ending : { Ending::Flood, Ending::Drip }) {
                const bool isFlood = ending == Ending::Flood;
                const std::string name = row.name + (isFlood ? ", flood" : ", drip");
                asio::io_context context;
                ScriptedServer server(context, { { row.head, ending, row.filler } });
                HttpClient client(context.get_executor(), { .maxBodyBytes = kMaxBodyBytes });
                const bool hasEnded = endsInTime(context, [&](asio::yield_context yield) {
                    const auto start = Clock::now();
                    const Outcome outcome = request(client, server.address(), yield);
                    const auto elapsed = Clock::now() - start;
                    const auto limit = kHeadTimeout + kReadTimeout + milliseconds(300);
                    expect(name + ": status", outcome.status == row.status);
                    // A drip into a body may reach the caller's deadline without an error.
                    expect(name + ": error", outcome.error || elapsed >= kReadTimeout);
                    expect(name + ": time", elapsed < limit);
                    waitForClose(server, start + limit, yield);
                    expect(name + ": connections", server.connections == 1);
                    expect(name + ": open connection", server.closedByClient == 1);
                    expect(name + ": bytes sent " + std::to_string(server.bytesSent),
                           !isFlood || !row.isSizeBound || server.bytesSent <= kMaxSent);
                });
                expect(name + ": end", hasEnded);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    // Tests responses after interim ones. Guards against an interim response that is passed on as
    // the answer.
    void interimResponsesAreNoAnswer()
    {
        const Script scripts[] = {
            { "HTTP/1.1 100 Continue\r\n\r\n" + kWhole, Ending::Hold, "" },
            { "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n" + kWhole, Ending::Hold, "" },
            { "HTTP/1.1 102 Processing\r\nId: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n"
                      + kWhole,
              Ending::Hold, "" },
        };
        for (const Script &script : scripts) {
            asio::io_context context;
            ScriptedServer server(context, { script });
            HttpClient client(context.get_executor(), {});
            run(context, script.bytes, [&](asio::yield_context yield) {
                const Outcome outcome = request(client, server.address(), yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(script.bytes, 200, outcome.status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(script.bytes, std::string("ok"), outcome.body);
                std::error_code error;
                const auto response =
                        client.send(server.address(), {}, milliseconds(600), yield, error);
                CPPUNIT_ASSERT_MESSAGE(script.bytes, response.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(script.bytes, 200, response->status);
            });
        }
    }

    // Tests that a response to HEAD ends with its head, whatever length it states. Guards against
    // waiting for content until the deadline.
    void responsesToHeadHaveNoContent()
    {
        for (const std::string &head :
             { kOk + "Content-Length: 9\r\n\r\n", kChunked, kOk + "\r\n" }) {
            asio::io_context context;
            ScriptedServer server(context, { { head, Ending::Hold, "" } });
            HttpClient client(context.get_executor(), {});
            run(context, head, [&](asio::yield_context yield) {
                std::error_code error;
                const auto response = client.send(server.address(), { .method = "HEAD" },
                                                  kReadTimeout, yield, error);
                CPPUNIT_ASSERT_MESSAGE(head, response.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(head, 200, response->status);
                CPPUNIT_ASSERT_MESSAGE(head, response->body.empty());
            });
        }
    }

    // Tests the request after a response that is followed by further bytes. Guards against requests
    // that fail because such bytes are read as their response.
    void surplusBytesDoNotReachTheNextRequest()
    {
        for (const std::string surplus : { "x", "\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" }) {
            for (const std::string &response : { kWhole, kChunked + "2\r\nok\r\n0\r\n\r\n" }) {
                asio::io_context context;
                ScriptedServer server(context, { { response + surplus, Ending::Hold, "" },
                                                 { kWhole, Ending::Hold, "" } });
                HttpClient client(context.get_executor(), {});
                run(context, surplus, [&](asio::yield_context yield) {
                    for (int i = 0; i < 2; ++i) {
                        const Outcome outcome = request(client, server.address(), yield);
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(surplus, 200, outcome.status);
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(surplus, std::string("ok"), outcome.body);
                    }
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(surplus, std::size_t(2), server.connections);
                });
            }
        }
    }

    // Tests bytes that arrive with the end of a response, without a further request. Guards against
    // connections that stay open until the next request.
    void endlessInputAfterResponseClosesTheConnection()
    {
        for (const Ending ending : { Ending::Flood, Ending::Drip }) {
            asio::io_context context;
            ScriptedServer server(context, { { kWhole, ending, "x" } });
            HttpClient client(context.get_executor(), {});
            const std::string name = ending == Ending::Flood ? "flood" : "drip";
            run(context, name, [&](asio::yield_context yield) {
                const Outcome outcome = request(client, server.address(), yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("ok"), outcome.body);
                CPPUNIT_ASSERT_MESSAGE(name, !outcome.error);
                waitFor(milliseconds(300), yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(1), server.closedByClient);
                CPPUNIT_ASSERT_MESSAGE(name, server.bytesSent <= 16 * kMebibyte);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace chervilfield::net
