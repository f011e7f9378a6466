#include "net/http_server.h"

#include "connection_exchange.h"
#include "message_framing.h"
#include "net/descriptors.h"
#include "request_memory.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/context/fixedsize_stack.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <mutex>
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

// Memory of an open connection without a request: socket, touched part of the stack, buffer.
constexpr std::size_t kConnectionBytes = 24U << 10U;
// Memory per header field in addition to twice its text: nodes of the parser and two strings.
constexpr std::size_t kFieldBytes = 256;
// Requests up to this size may use memory that is kept from larger ones.
constexpr std::size_t kSmallRequestBytes = 128U << 10U;
// A trailer or a chunk line may be this large even if heads are limited to less.
constexpr std::size_t kMinBufferBytes = 16U << 10U;
constexpr std::size_t kReadBytes = 16U << 10U;
// A buffer that has grown is released before the connection becomes idle.
constexpr std::size_t kIdleBufferBytes = 8U << 10U;
constexpr std::size_t kMaxHeadLimit = 16U << 20U;
constexpr std::chrono::milliseconds kMaxTimeout{ 3'600'000 };
// Maximum time for which a request waits for memory, and the number of requests that may wait. The
// bytes of a waiting request stay in the kernel.
constexpr std::chrono::milliseconds kMaxMemoryWait{ 1000 };
constexpr std::chrono::milliseconds kMemoryPollInterval{ 20 };
constexpr std::size_t kMaxMemoryWaiters = 64;
// Time after which a failed accept is repeated. Without it the thread would do nothing else while
// no descriptor is left.
constexpr std::chrono::milliseconds kAcceptPause{ 50 };
constexpr std::chrono::milliseconds kSlotPollInterval{ 10 };
constexpr int kMaxSlotPolls = 20;
// Time for which bytes of a refused request are discarded. Closing the connection at once would
// reset it, which can destroy the response before the peer has read it.
constexpr std::chrono::milliseconds kDiscardTime{ 300 };

using RequestParser = http::request_parser<http::buffer_body>;
using Clock = std::chrono::steady_clock;
using detail::ConnectionExchange;
using detail::HolderState;

// Returns the request without its body, which has not been read yet.
Request headFromWire(const http::request<http::buffer_body> &wire)
{
    Request request{ .method = std::string(wire.method_string()),
                     .target = std::string(wire.target()) };
    for (const auto &field : wire)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return request;
}

// Returns the approximate memory of the parsed head.
std::size_t headMemory(const http::request<http::buffer_body> &wire)
{
    std::size_t bytes = 2 * wire.target().size();
    for (const auto &field : wire)
        bytes += kFieldBytes + 2 * (field.name_string().size() + field.value().size());
    return bytes;
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
            // The cancellation alone has no effect on a read that is between two operations.
            error_code ignored;
            stream.socket().shutdown(tcp::socket::shutdown_receive, ignored);
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

// A connection and its memory.
struct ServerConnection
{
    ServerConnection(tcp::socket socket, detail::RequestMemory &memory)
        : stream(std::move(socket)), isReading(std::make_shared<bool>(true)),
          lease(memory, [this, executor = stream.get_executor(), weak = std::weak_ptr(isReading)] {
              asio::post(executor, [this, weak] {
                  const auto reading = weak.lock();
                  if (reading == nullptr || !*reading)
                      return;
                  error_code ignored;
                  stream.socket().shutdown(tcp::socket::shutdown_receive, ignored);
                  stream.cancel();
              });
          })
    {
    }

    void setState(HolderState state)
    {
        *isReading = state != HolderState::Serving;
        lease.setState(state, Clock::now());
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::shared_ptr<bool> isReading; ///< False while a request is served.
    detail::RequestLease lease;
    std::size_t requestBytes = 0; ///< Memory of the current request.
};

// A request that has been read, and whether its connection may be kept.
struct ReceivedRequest
{
    Request request;
    bool keepAlive = false;
};

} // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(std::vector<ServerWorker> workers, ServerOptions options)
        : workers_(std::move(workers)), options_(std::move(options)),
          maxConnections_(std::min(options_.maxConnections, connectionShare(descriptorLimit()))),
          limits_{ options_.maxHeadBytes, options_.maxBodyBytes, options_.headTimeout,
                   options_.idleTimeout },
          memory_(options_.requestMemoryBytes, kSmallRequestBytes),
          acceptor_(*workers_.front().context), acceptTimer_(acceptor_.get_executor())
    {
    }

    void listen(const Address &address, std::error_code &error);
    void stopAccepting();
    void closeAfterResponses() { isClosing_ = true; }
    Address localAddress() const;
    void setLimits(const ServerLimits &limits);
    std::size_t memoryInUse() const { return memory_.usedBytes(); }

    std::atomic<std::size_t> active{ 0 }; ///< Requests that are being read or answered.
    std::atomic<std::size_t> open{ 0 };   ///< Open connections.

private:
    using Socket = std::shared_ptr<tcp::socket>;

    void accept();
    void acceptLater();
    // Serves the connection, once another one has been closed if there are too many. `polls` counts
    // the checks for that.
    void admit(const ServerWorker &worker, const Socket &socket, int polls);
    void serve(const ServerWorker &worker, tcp::socket socket, asio::yield_context yield);
    // Reads and answers one request. Returns true if the connection can be used for another one.
    bool serveOne(const ServerWorker &worker, ServerConnection &connection, const Address &peer,
                  asio::yield_context yield);
    // Waits for a request and reads it. If that fails, sends an error response to a peer that can
    // still receive one, and returns no value. Fields of a trailer are discarded.
    std::optional<ReceivedRequest> readRequest(ServerConnection &connection,
                                               asio::yield_context yield);
    // Reads head and body. Sets `error` and returns the result for the response on failure.
    Result readMessage(ServerConnection &connection, RequestParser &parser, Request &request,
                       asio::yield_context yield, error_code &error);
    void readBody(ServerConnection &connection, RequestParser &parser, std::string &body,
                  asio::yield_context yield, error_code &error);
    // Changes the memory of the current request to `bytes`. Waits if that can help. Sets `error` to
    // `no_memory` if the memory does not suffice.
    void reserve(ServerConnection &connection, std::size_t bytes, bool canWait,
                 asio::yield_context yield, error_code &error);
    void discard(ServerConnection &connection, asio::yield_context yield);
    ServerLimits limits() const;
    std::size_t bufferLimit() const;
    // Sends the error response for `result`, after which the connection must be closed.
    void refuse(beast::tcp_stream &stream, const Address &peer, Result result,
                asio::yield_context yield);

    std::vector<ServerWorker> workers_;
    ServerOptions options_;
    std::size_t maxConnections_;
    mutable std::mutex limitsMutex_;
    ServerLimits limits_;
    detail::RequestMemory memory_;
    std::atomic<std::size_t> memoryWaiters_{ 0 };
    tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
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
        if (error)
            return self->acceptLater();
        // `std::function` needs a copyable callable, so the socket is held by a shared pointer.
        self->admit(worker, std::make_shared<tcp::socket>(std::move(socket)), 0);
    });
}

void HttpServer::Implementation::acceptLater()
{
    acceptTimer_.expires_after(kAcceptPause);
    acceptTimer_.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && !self->isStopping_)
            self->accept();
    });
}

void HttpServer::Implementation::admit(const ServerWorker &worker, const Socket &socket, int polls)
{
    if (open < maxConnections_) {
        spawnCoroutine(*worker.context, "[net]",
                       [self = shared_from_this(), &worker, socket](auto yield) {
                           self->serve(worker, std::move(*socket), yield);
                       });
        return accept();
    }
    const bool canWait = polls > 0 ? polls < kMaxSlotPolls : memory_.reclaimOne(Clock::now());
    if (!canWait)
        return accept();
    acceptTimer_.expires_after(kSlotPollInterval);
    acceptTimer_.async_wait([self = shared_from_this(), &worker, socket, polls](auto error) {
        if (!error && !self->isStopping_)
            self->admit(worker, socket, polls + 1);
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
    ServerConnection connection(std::move(socket), memory_);
    connection.setState(HolderState::Idle);
    reserve(connection, 0, true, yield, error);
    if (error)
        return;
    while (!isStopping_ && serveOne(worker, connection, peer, yield)) {
    }
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
}

void HttpServer::Implementation::reserve(ServerConnection &connection, std::size_t bytes,
                                         bool canWait, asio::yield_context yield, error_code &error)
{
    const auto resize = [&] {
        return connection.lease.resize(kConnectionBytes + bytes, Clock::now());
    };
    bool isGranted = resize();
    if (!isGranted && canWait && memoryWaiters_ < kMaxMemoryWaiters) {
        const CountGuard waiting(memoryWaiters_);
        const auto deadline = Clock::now() + kMaxMemoryWait;
        asio::steady_timer timer(connection.stream.get_executor());
        while (!isGranted && !connection.lease.isReclaimed() && Clock::now() < deadline) {
            timer.expires_after(kMemoryPollInterval);
            error_code ignored;
            timer.async_wait(yield[ignored]);
            isGranted = resize();
        }
    }
    if (isGranted)
        connection.requestBytes = bytes;
    else
        error = asio::error::no_memory;
}

void HttpServer::Implementation::readBody(ServerConnection &connection, RequestParser &parser,
                                          std::string &body, asio::yield_context yield,
                                          error_code &error)
{
    const std::size_t headBytes = connection.requestBytes;
    const std::size_t limit = limits().maxBodyBytes;
    // `string::reserve()` may allocate more than it is asked for, but not more than twice.
    const auto grow = [&](std::size_t capacity) {
        reserve(connection, headBytes + capacity, true, yield, error);
        if (!error)
            body.reserve(capacity);
    };
    if (const auto length = parser.content_length())
        grow(static_cast<std::size_t>(*length));
    std::array<char, 1> none{};
    while (!error && !parser.is_done()) {
        if (connection.lease.isReclaimed()) {
            error = asio::error::no_memory;
            return;
        }
        if (body.size() >= body.capacity() && !parser.content_length()) {
            grow(std::clamp(2 * body.size(), kReadBytes, std::max(limit, kReadBytes)));
            if (error)
                return;
        }
        const std::size_t start = body.size();
        const std::size_t room = std::min(body.capacity() - start, kReadBytes);
        body.resize(start + room);
        auto &target = parser.get().body();
        target.data = room > 0 ? body.data() + start : none.data();
        target.size = room > 0 ? room : none.size();
        http::async_read(connection.stream, connection.buffer, parser, yield[error]);
        if (error == http::error::need_buffer)
            error.clear();
        body.resize(start + (room > 0 ? room - target.size : 0));
    }
}

Result HttpServer::Implementation::readMessage(ServerConnection &connection, RequestParser &parser,
                                               Request &request, asio::yield_context yield,
                                               error_code &error)
{
    const ServerLimits current = limits();
    {
        const ReadDeadline deadline(connection.stream, current.headTimeout);
        http::async_read_header(connection.stream, connection.buffer, parser, yield[error]);
        if (deadline.hasExpired()) {
            error = asio::error::timed_out;
            return Result::RequestTimeout;
        }
    }
    const auto &wire = parser.get();
    if (!error && !detail::hasReliableLength(wire.version(), wire, parser.chunked()))
        error = http::error::bad_transfer_encoding;
    if (!error) {
        const std::size_t bytes = connection.requestBytes + headMemory(wire);
        // The fields are in memory already, so a large head does not wait.
        reserve(connection, bytes, bytes < kSmallRequestBytes, yield, error);
    }
    if (!error) {
        // The parser adds the fields of a trailer to those of the header.
        request = headFromWire(wire);
        const ReadDeadline deadline(connection.stream, options_.bodyTimeout);
        readBody(connection, parser, request.body, yield, error);
        if (deadline.hasExpired() && error) {
            error = asio::error::timed_out;
            return Result::RequestTimeout;
        }
    }
    if (connection.lease.isReclaimed())
        error = asio::error::no_memory;
    return error == asio::error::no_memory ? Result::Overloaded : parseResult(error);
}

std::optional<ReceivedRequest> HttpServer::Implementation::readRequest(ServerConnection &connection,
                                                                       asio::yield_context yield)
{
    error_code error;
    auto &stream = connection.stream;
    auto &buffer = connection.buffer;
    buffer.max_size(std::max(buffer.size(), bufferLimit()));
    if (buffer.size() == 0) {
        if (buffer.capacity() > kIdleBufferBytes)
            buffer.shrink_to_fit();
        stream.expires_after(limits().idleTimeout);
        const std::size_t received = stream.async_read_some(buffer.prepare(4096), yield[error]);
        buffer.commit(received);
        if (error || connection.lease.isReclaimed())
            return std::nullopt;
    }
    const CountGuard counted(active);
    connection.setState(HolderState::Receiving);
    Result result = Result::Overloaded;
    reserve(connection, bufferLimit(), true, yield, error);
    if (!error) {
        RequestParser parser;
        const ServerLimits current = limits();
        parser.header_limit(static_cast<std::uint32_t>(current.maxHeadBytes));
        parser.body_limit(current.maxBodyBytes);
        std::size_t extensionBytes = 0;
        auto countExtension = [&](std::uint64_t, std::string_view extension, error_code &failure) {
            extensionBytes += extension.size();
            if (extensionBytes > options_.maxExtensionBytes)
                failure = http::error::header_limit;
        };
        parser.on_chunk_header(countExtension);
        ReceivedRequest received;
        result = readMessage(connection, parser, received.request, yield, error);
        // From here on, the memory is not reclaimed.
        connection.setState(HolderState::Serving);
        if (!error && !connection.lease.isReclaimed()) {
            received.keepAlive = parser.get().keep_alive();
            return received;
        }
        if (!error)
            result = Result::Overloaded;
    }
    const bool isPeerWaiting =
            result == Result::Overloaded || result == Result::RequestTimeout || !isPeerGone(error);
    if (isPeerWaiting) {
        LOG_EVERY_T(WARNING, 1) << "[net] Request refused: " << base::resultInfo(result).name
                                << '.';
        refuse(stream, {}, result, yield);
        discard(connection, yield);
    }
    return std::nullopt;
}

bool HttpServer::Implementation::serveOne(const ServerWorker &worker, ServerConnection &connection,
                                          const Address &peer, asio::yield_context yield)
{
    connection.setState(HolderState::Idle);
    error_code ignored;
    reserve(connection, 0, false, yield, ignored);
    std::optional<ReceivedRequest> received = readRequest(connection, yield);
    if (!received)
        return false;
    const CountGuard counted(active);
    const bool keepAlive = received->keepAlive && !isStopping_ && !isClosing_;
    ConnectionExchange exchange(connection.stream, peer, std::move(received->request),
                                options_.writeTimeout, keepAlive);
    worker.handler(exchange, yield);
    if (!exchange.hasStarted())
        refuse(connection.stream, peer, Result::Internal, yield);
    return exchange.isComplete() && keepAlive;
}

void HttpServer::Implementation::discard(ServerConnection &connection, asio::yield_context yield)
{
    error_code error;
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    reserve(connection, 0, false, yield, error);
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    const auto deadline = Clock::now() + kDiscardTime;
    std::array<char, 4096> scratch{};
    while (!error && Clock::now() < deadline) {
        connection.stream.expires_at(deadline);
        connection.stream.async_read_some(asio::buffer(scratch), yield[error]);
    }
}

void HttpServer::Implementation::setLimits(const ServerLimits &limits)
{
    const std::lock_guard lock(limitsMutex_);
    const auto choose = [](auto value, auto fallback, auto maximum) {
        return value > decltype(value){} ? std::min(value, maximum) : fallback;
    };
    limits_ = { choose(limits.maxHeadBytes, options_.maxHeadBytes, kMaxHeadLimit),
                choose(limits.maxBodyBytes, options_.maxBodyBytes, limits.maxBodyBytes),
                choose(limits.headTimeout, options_.headTimeout, kMaxTimeout),
                choose(limits.idleTimeout, options_.idleTimeout, kMaxTimeout) };
}

ServerLimits HttpServer::Implementation::limits() const
{
    const std::lock_guard lock(limitsMutex_);
    return limits_;
}

std::size_t HttpServer::Implementation::bufferLimit() const
{
    // More than the head, so that a head over its limit is detected by the parser.
    constexpr std::size_t kSlackBytes = 4096;
    return std::max(limits().maxHeadBytes, kMinBufferBytes) + kSlackBytes;
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

void HttpServer::setLimits(const ServerLimits &limits)
{
    implementation_->setLimits(limits);
}

std::size_t HttpServer::requestMemoryInUse() const
{
    return implementation_->memoryInUse();
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
