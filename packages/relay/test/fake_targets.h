#pragma once

#include "relay/relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace chervilfield::relay {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Behaviour of a target towards the requests that reach it.
enum class Behaviour {
    Answers,
    Fails,             ///< Responds with 500; the request has run.
    Refuses,           ///< Responds with 503 and states that the request has not run.
    Unavailable,       ///< Responds with 503 without stating that the request has not run.
    TooMany,           ///< Responds with 429 without stating that the request has not run.
    AnswersAndRefuses, ///< Responds with 200 and states that the request has not run.
    Breaks,            ///< Starts a response and closes the connection.
    Silent,            ///< Never responds.
    Unsigned,          ///< Responds with 200 without a signature.
    WithoutRequestId,  ///< Responds with 200 without the request id.
    NotFound,          ///< Responds with 404.
    NoContent,         ///< Responds with 204.
    Redirects,         ///< Responds with 307.
    FailsWithEvents,   ///< Responds with 500 and an event stream.
    StreamsAll,        ///< Sends all three events.
    StreamsHalf,       ///< Closes the connection after one and a half events.
    StreamsNothing,    ///< Closes the connection before the first event.
    CrashesOnPart,     ///< Stops for good when it begins to answer on the part "deadly".
    BreaksOnPart,      ///< Closes the connection when it begins to answer on the part "deadly".
};

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

constexpr int kEventCount = 3;

// Target that treats all requests according to one behaviour and records them.
class FakeTarget
{
public:
    FakeTarget(asio::io_context &context, Behaviour behaviour) : behaviour_(behaviour)
    {
        const net::Handler handler = [this](net::Exchange &exchange, asio::yield_context yield) {
            serve(exchange, yield);
        };
        server_ = std::make_unique<net::HttpServer>(
                std::vector<net::ServerWorker>{ { &context, handler } }, net::ServerOptions{});
        std::error_code error;
        server_->listen({ "127.0.0.1", 0 }, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
    }

    net::Address address() const { return server_->localAddress(); }
    const std::vector<net::Request> &received() const { return received_; }

private:
    void serve(net::Exchange &exchange, asio::yield_context yield)
    {
        received_.push_back(exchange.request());
        const net::Headers &headers = exchange.request().headers;
        const std::string id(net::findHeader(headers, "Id").value_or(""));
        const net::Headers signedHeaders{ { "Id", id }, { "Signed", "1" } };
        std::error_code error;
        if (behaviour_ == Behaviour::Answers)
            exchange.respond({ .headers = signedHeaders, .body = "whole" }, yield, error);
        else if (behaviour_ == Behaviour::Fails)
            exchange.respond({ .status = 500, .headers = signedHeaders, .body = "bad" }, yield,
                             error);
        else if (behaviour_ == Behaviour::Refuses)
            exchange.respond({ .status = 503, .headers = { { "Id", id }, { "Not-Run", "1" } } },
                             yield, error);
        else if (behaviour_ == Behaviour::Unavailable)
            exchange.respond({ .status = 503, .headers = signedHeaders, .body = "bad" }, yield,
                             error);
        else if (behaviour_ == Behaviour::TooMany)
            exchange.respond({ .status = 429, .headers = { { "Id", id } } }, yield, error);
        else if (behaviour_ == Behaviour::NotFound)
            exchange.respond({ .status = 404, .headers = signedHeaders, .body = "bad" }, yield,
                             error);
        else if (behaviour_ == Behaviour::NoContent)
            exchange.respond({ .status = 204, .headers = signedHeaders }, yield, error);
        else if (behaviour_ == Behaviour::Redirects)
            exchange.respond({ .status = 307, .headers = signedHeaders, .body = "bad" }, yield,
                             error);
        else if (behaviour_ == Behaviour::FailsWithEvents)
            exchange.respond({ .status = 500,
                               .headers = { { "Id", id },
                                            { "Signed", "1" },
                                            { "Content-Type", "text/event-stream" } },
                               .body = event(2) },
                             yield, error);
        else if (behaviour_ == Behaviour::AnswersAndRefuses)
            exchange.respond({ .headers = { { "Id", id }, { "Signed", "1" }, { "Not-Run", "1" } },
                               .body = "whole" },
                             yield, error);
        else if (behaviour_ == Behaviour::Unsigned)
            exchange.respond({ .headers = { { "Id", id } }, .body = "x" }, yield, error);
        else if (behaviour_ == Behaviour::WithoutRequestId)
            exchange.respond({ .headers = { { "Signed", "1" } }, .body = "y" }, yield, error);
        else if (behaviour_ == Behaviour::Breaks)
            exchange.startStream(200, {}, yield, error); // The response is never finished.
        else if (behaviour_ == Behaviour::Silent)
            wait(yield);
        else
            stream(exchange, signedHeaders, yield);
    }

    static void wait(asio::yield_context yield)
    {
        asio::steady_timer timer(yield.get_executor(), seconds(30));
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    void stream(net::Exchange &exchange, net::Headers headers, asio::yield_context yield) const
    {
        const auto parts = net::findHeader(exchange.request().headers, "Parts").value_or("");
        std::error_code error;
        if (parts.find("rejected") != std::string_view::npos) {
            exchange.respond({ .status = 404, .headers = { headers.front() } }, yield, error);
            return;
        }
        headers.push_back({ "Content-Type", "text/event-stream" });
        exchange.startStream(200, headers, yield, error);
        const auto last = net::findHeader(exchange.request().headers, "Last-Event-Id");
        const int first = last ? std::stoi(std::string(*last)) + 1 : 1;
        if (behaviour_ == Behaviour::StreamsNothing)
            return;
        if (parts.find("deadly") != std::string_view::npos) {
            if (behaviour_ == Behaviour::CrashesOnPart)
                server_->stopAccepting();
            return;
        }
        if (behaviour_ == Behaviour::StreamsHalf) {
            exchange.write(event(first) + event(first + 1).substr(0, 5), yield, error);
            return;
        }
        for (int id = first; id <= kEventCount; ++id)
            exchange.write(event(id), yield, error);
        exchange.finish(yield, error);
    }

    Behaviour behaviour_;
    std::unique_ptr<net::HttpServer> server_;
    std::vector<net::Request> received_;
};

inline std::vector<dispatch::PromptPart> testParts(const std::string &text)
{
    std::vector<dispatch::PromptPart> parts;
    std::istringstream stream(text);
    for (std::string id; stream >> id;)
        parts.push_back({ .id = id, .tokens = 10 });
    return parts;
}

// Bytes that a target sends to each request, and what it does afterwards.
struct RawResponse
{
    enum class Ending {
        Close, ///< Closes the connection in order.
        Reset, ///< Resets the connection.
        Flood, ///< Repeats `filler` until the relay closes the connection.
        Drip,  ///< Sends `filler` every 40 ms until the relay closes the connection.
    };
    std::string bytes;
    Ending ending = Ending::Close;
    std::string filler;
};

// Target that sends raw bytes to each request, which need not be a valid response.
class RawTarget
{
public:
    RawTarget(asio::io_context &context, const RawResponse &response)
        : response_(response), acceptor_(context, { asio::ip::tcp::v4(), 0 })
    {
        net::spawnCoroutine(context, "[test]", [this, &context](asio::yield_context yield) {
            while (true) {
                auto socket = std::make_shared<asio::ip::tcp::socket>(context);
                acceptor_.async_accept(*socket, yield);
                ++connections;
                net::spawnCoroutine(context, "[test]", [this, socket](asio::yield_context inner) {
                    serve(*socket, inner);
                });
            }
        });
    }

    net::Address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

    std::size_t connections = 0;
    std::size_t closed = 0; ///< Connections that have ended.
    std::size_t bytesSent = 0;

private:
    void serve(asio::ip::tcp::socket &socket, asio::yield_context yield)
    {
        using enum RawResponse::Ending;
        boost::system::error_code error;
        std::string request;
        asio::async_read_until(socket, asio::dynamic_buffer(request), "question", yield[error]);
        asio::async_write(socket, asio::buffer(response_.bytes), yield[error]);
        asio::steady_timer timer(yield.get_executor());
        std::string block = response_.filler;
        while (response_.ending == Flood && block.size() < 65536)
            block += response_.filler;
        while (!error && (response_.ending == Flood || response_.ending == Drip)) {
            bytesSent += asio::async_write(socket, asio::buffer(block), yield[error]);
            timer.expires_after(milliseconds(response_.ending == Drip ? 40 : 0));
            timer.async_wait(yield);
        }
        if (response_.ending == Reset) {
            // The relay reads the bytes before it learns of the reset.
            timer.expires_after(milliseconds(50));
            timer.async_wait(yield);
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        socket.close();
        ++closed;
    }

    RawResponse response_;
    asio::ip::tcp::acceptor acceptor_;
};

} // namespace chervilfield::relay
