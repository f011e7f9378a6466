#include "net/http_server.h"

#include "message_framing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/context/fixedsize_stack.hpp>

#include <glog/logging.h>

#include <atomic>
#include <exception>
#include <optional>
#include <string>
#include <utility>

namespace chervilfield::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::Result;
using boost::system::error_code;

namespace {

// Beast's composed operations and the JSON parser need much less than this.
constexpr std::size_t kCoroutineStackBytes = 128U << 10U;

using RequestParser = http::request_parser<http::string_body>;

// Returns the request without its body, which has not been read yet.
Request headFromWire(const http::request<http::string_body> &wire)
{
    Request request{ .method = std::string(wire.method_string()),
                     .target = std::string(wire.target()) };
    for (const auto &field : wire)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return request;
}

// Returns the result for an error while a request is read.
Result parseResult(const error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return Result::HeadTooLarge;
    if (error == http::error::body_limit)
        return Result::BodyTooLarge;
    return Result::MalformedRequest;
}

// Returns true for errors after which the peer cannot receive a response.
bool isPeerGone(const error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
           || error == asio::error::connection_reset || error == asio::error::operation_aborted
           || error == asio::error::broken_pipe;
}

// Cancels the operations on a socket at a deadline. Unlike the timeout of `tcp_stream`, it leaves
// the connection open, so that an error response can still be sent.
class ReadDeadline
{
public:
    ReadDeadline(beast::tcp_stream &stream, std::chrono::milliseconds timeout)
        : timer_(stream.get_executor(), timeout), expired_(std::make_shared<bool>(false))
    {
        stream.expires_never();
        timer_.async_wait([&stream, weak = std::weak_ptr(expired_)](const error_code &error) {
            const auto expired = weak.lock();
            if (error || expired == nullptr)
                return;
            *expired = true;
            stream.cancel();
        });
    }

    bool hasExpired() const { return *expired_; }

private:
    asio::steady_timer timer_;
    std::shared_ptr<bool> expired_;
};

// Increments a counter for the lifetime of the object.
class CountGuard
{
public:
    explicit CountGuard(std::atomic<std::size_t> &count) : count_(count) { ++count_; }
    ~CountGuard() { --count_; }
    CountGuard(const CountGuard &) = delete;
    CountGuard &operator=(const CountGuard &) = delete;

private:
    std::atomic<std::size_t> &count_;
};

class ConnectionExchange : public Exchange
{
public:
    ConnectionExchange(beast::tcp_stream &stream, const Address &peer, Request request,
                       std::chrono::milliseconds writeTimeout, bool keepAlive)
        : stream_(stream), peer_(peer), request_(std::move(request)), writeTimeout_(writeTimeout),
          keepAlive_(keepAlive)
    {
    }

    const Request &request() const override { return request_; }
    const Address &peer() const override { return peer_; }

    void respond(const Response &response, asio::yield_context yield,
                 std::error_code &error) override
    {
        // The body may be large, so it is not copied.
        http::response<http::span_body<const char>> wire(static_cast<http::status>(response.status),
                                                         11);
        for (const Header &header : response.headers)
            wire.insert(header.name, header.value);
        wire.keep_alive(keepAlive_);
        // A response to HEAD may state the length of the content, but must not have any.
        if (!isHead()) {
            wire.body() = { response.body.data(), response.body.size() };
            wire.prepare_payload();
        }
        error_code failure;
        stream_.expires_after(writeTimeout_);
        http::async_write(stream_, wire, yield[failure]);
        isComplete_ = !failure;
        hasStarted_ = true;
        error = failure;
    }

    void startStream(int status, const Headers &headers, asio::yield_context yield,
                     std::error_code &error) override
    {
        http::response<http::empty_body> wire(static_cast<http::status>(status), 11);
        for (const Header &header : headers)
            wire.insert(header.name, header.value);
        wire.keep_alive(keepAlive_);
        wire.chunked(true);
        http::response_serializer<http::empty_body> serializer(wire);
        error_code failure;
        hasStarted_ = true;
        stream_.expires_after(writeTimeout_);
        http::async_write_header(stream_, serializer, yield[failure]);
        error = failure;
    }

    void write(std::string_view bytes, asio::yield_context yield, std::error_code &error) override
    {
        if (bytes.empty() || isHead())
            return;
        error_code failure;
        stream_.expires_after(writeTimeout_);
        asio::async_write(stream_, http::make_chunk(asio::buffer(bytes)), yield[failure]);
        error = failure;
    }

    void finish(asio::yield_context yield, std::error_code &error) override
    {
        error_code failure;
        stream_.expires_after(writeTimeout_);
        if (!isHead())
            asio::async_write(stream_, http::make_chunk_last(), yield[failure]);
        isComplete_ = !failure;
        error = failure;
    }

    bool peerHasClosed() override
    {
        error_code error;
        char byte = 0;
        stream_.socket().non_blocking(true, error);
        const std::size_t received = stream_.socket().receive(
                asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return received == 0 && error != asio::error::would_block;
    }

    void watchPeer(std::function<void()> closed) override
    {
        watch_ = std::make_shared<std::function<void()>>(std::move(closed));
        stream_.socket().async_wait(tcp::socket::wait_read,
                                    [this, weak = std::weak_ptr(watch_)](const error_code &error) {
                                        const auto watch = weak.lock();
                                        // Bytes of a pipelined request do not end this one.
                                        if (watch != nullptr && (error || peerHasClosed()))
                                            (*watch)();
                                    });
    }

    bool isComplete() const { return isComplete_; }
    bool hasStarted() const { return hasStarted_; }

private:
    bool isHead() const { return request_.method == "HEAD"; }

    beast::tcp_stream &stream_;
    const Address &peer_;
    Request request_;
    std::chrono::milliseconds writeTimeout_;
    bool keepAlive_;
    bool hasStarted_ = false;
    bool isComplete_ = false;
    std::shared_ptr<std::function<void()>> watch_;
};

} // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(std::vector<ServerWorker> workers, ServerOptions options)
        : workers_(std::move(workers)), options_(std::move(options)),
          acceptor_(*workers_.front().context)
    {
    }

    void listen(const Address &address, std::error_code &error);
    void stopAccepting();
    void closeAfterResponses() { isClosing_ = true; }
    Address localAddress() const;

    std::atomic<std::size_t> active{ 0 }; ///< Requests that are being read or answered.
    std::atomic<std::size_t> open{ 0 };   ///< Open connections.

private:
    void accept();
    void serve(const ServerWorker &worker, tcp::socket socket, asio::yield_context yield);
    // Reads and answers one request. Returns true if the connection can be used for another one.
    bool serveOne(const ServerWorker &worker, beast::tcp_stream &stream, beast::flat_buffer &buffer,
                  const Address &peer, asio::yield_context yield);
    // Waits for a request and reads it. If that fails, sends an error response to a peer that can
    // still receive one, and returns no value. Fields of a trailer are discarded.
    std::optional<Request> readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                       RequestParser &parser, asio::yield_context yield);
    // Sends the error response for `result`, after which the connection must be closed.
    void refuse(beast::tcp_stream &stream, const Address &peer, Result result,
                asio::yield_context yield);

    std::vector<ServerWorker> workers_;
    ServerOptions options_;
    tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_{ false }; ///< Set by `stopAccepting()`.
    std::atomic<bool> isClosing_{ false };  ///< Set by `closeAfterResponses()`.
    std::size_t nextWorker_ = 0;
};

void HttpServer::Implementation::listen(const Address &address, std::error_code &error)
{
    error_code failure;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, failure), address.port);
    if (!failure)
        acceptor_.open(endpoint.protocol(), failure);
    if (!failure)
        acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
    if (!failure)
        acceptor_.bind(endpoint, failure);
    if (!failure)
        acceptor_.listen(asio::socket_base::max_listen_connections, failure);
    error = failure;
    if (!failure)
        accept();
}

void HttpServer::Implementation::accept()
{
    const ServerWorker &worker = workers_[nextWorker_++ % workers_.size()];
    acceptor_.async_accept(*worker.context, [self = shared_from_this(),
                                             &worker](error_code error, tcp::socket socket) {
        if (self->isStopping_ || error == asio::error::operation_aborted)
            return;
        if (!error && self->open < self->options_.maxConnections) {
            // `std::function` needs a copyable callable, so the socket is held by a shared pointer.
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            spawnCoroutine(*worker.context, "[net]", [self, &worker, shared](auto yield) {
                self->serve(worker, std::move(*shared), yield);
            });
        }
        self->accept();
    });
}

void HttpServer::Implementation::serve(const ServerWorker &worker, tcp::socket socket,
                                       asio::yield_context yield)
{
    const CountGuard counted(open);
    error_code error;
    const tcp::endpoint remote = socket.remote_endpoint(error);
    if (error)
        return;
    socket.set_option(tcp::no_delay(true), error);
    const Address peer{ remote.address().to_string(), remote.port() };
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (!isStopping_ && serveOne(worker, stream, buffer, peer, yield)) {
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
}

std::optional<Request> HttpServer::Implementation::readRequest(beast::tcp_stream &stream,
                                                               beast::flat_buffer &buffer,
                                                               RequestParser &parser,
                                                               asio::yield_context yield)
{
    error_code error;
    if (buffer.size() == 0) {
        stream.expires_after(options_.idleTimeout);
        const std::size_t received = stream.async_read_some(buffer.prepare(4096), yield[error]);
        buffer.commit(received);
        if (error)
            return std::nullopt;
    }
    const CountGuard counted(active);
    bool expired = false;
    Request request;
    {
        const ReadDeadline deadline(stream, options_.headTimeout);
        http::async_read_header(stream, buffer, parser, yield[error]);
        expired = deadline.hasExpired();
    }
    const auto &wire = parser.get();
    if (!error && !detail::hasReliableLength(wire.version(), wire, parser.chunked()))
        error = http::error::bad_transfer_encoding;
    if (!error) {
        // The parser adds the fields of a trailer to those of the header.
        request = headFromWire(wire);
        const ReadDeadline deadline(stream, options_.bodyTimeout);
        http::async_read(stream, buffer, parser, yield[error]);
        expired = deadline.hasExpired();
    }
    if (!error) {
        request.body = std::move(parser.get().body());
        return request;
    }
    if (expired || !isPeerGone(error)) {
        const Result result = expired ? Result::RequestTimeout : parseResult(error);
        LOG(WARNING) << "[net] Request refused: " << base::resultInfo(result).name << '.';
        refuse(stream, {}, result, yield);
    }
    return std::nullopt;
}

bool HttpServer::Implementation::serveOne(const ServerWorker &worker, beast::tcp_stream &stream,
                                          beast::flat_buffer &buffer, const Address &peer,
                                          asio::yield_context yield)
{
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(options_.maxHeadBytes));
    parser.body_limit(options_.maxBodyBytes);
    std::optional<Request> request = readRequest(stream, buffer, parser, yield);
    if (!request)
        return false;
    const CountGuard counted(active);
    const bool keepAlive = parser.get().keep_alive() && !isStopping_ && !isClosing_;
    ConnectionExchange exchange(stream, peer, *std::move(request), options_.writeTimeout,
                                keepAlive);
    worker.handler(exchange, yield);
    if (!exchange.hasStarted())
        refuse(stream, peer, Result::Internal, yield);
    return exchange.isComplete() && keepAlive;
}

void HttpServer::Implementation::refuse(beast::tcp_stream &stream, const Address &peer,
                                        Result result, asio::yield_context yield)
{
    const Response response = options_.errorResponse
                                      ? options_.errorResponse(result)
                                      : Response{ .status = base::resultInfo(result).httpStatus };
    ConnectionExchange exchange(stream, peer, {}, options_.writeTimeout, false);
    std::error_code ignored;
    exchange.respond(response, yield, ignored);
}

void HttpServer::Implementation::stopAccepting()
{
    isStopping_ = true;
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->acceptor_.close(ignored);
    });
}

Address HttpServer::Implementation::localAddress() const
{
    error_code error;
    const tcp::endpoint endpoint = acceptor_.local_endpoint(error);
    return { endpoint.address().to_string(), endpoint.port() };
}

HttpServer::HttpServer(std::vector<ServerWorker> workers, ServerOptions options)
    : implementation_(std::make_shared<Implementation>(std::move(workers), std::move(options)))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::listen(const Address &address, std::error_code &error)
{
    implementation_->listen(address, error);
}

Address HttpServer::localAddress() const
{
    return implementation_->localAddress();
}

void HttpServer::closeAfterResponses()
{
    implementation_->closeAfterResponses();
}

void HttpServer::stopAccepting()
{
    implementation_->stopAccepting();
}

std::size_t HttpServer::activeRequests() const
{
    return implementation_->active;
}

std::size_t HttpServer::openConnections() const
{
    return implementation_->open;
}

void spawnCoroutine(asio::io_context &context, std::string_view prefix,
                    std::function<void(asio::yield_context)> body)
{
    const auto report = [prefix = std::string(prefix)](const std::exception_ptr &failure) {
        if (failure == nullptr)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &error) {
            LOG(ERROR) << prefix << " Coroutine ended by an exception: " << error.what() << '.';
        }
    };
    asio::spawn(context, std::allocator_arg, boost::context::fixedsize_stack(kCoroutineStackBytes),
                std::move(body), report);
}

} // namespace chervilfield::net
