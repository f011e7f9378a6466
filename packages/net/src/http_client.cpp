#include "net/http_client.h"

#include "base/result.h"
#include "message_framing.h"
#include "net/descriptors.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilfield::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using base::Result;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

// A request and the body that it refers to.
struct WireRequest
{
    std::shared_ptr<const std::string> body;
    http::request<http::span_body<const char>> message;
};

// Connection and the bytes that were read past the end of the last response.
struct Connection
{
    Connection(const asio::any_io_executor &executor, std::size_t maxBufferedBytes,
               std::shared_ptr<std::size_t> count)
        : stream(executor), buffer(maxBufferedBytes), openConnections(std::move(count))
    {
        ++*openConnections;
    }
    ~Connection() { --*openConnections; }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::shared_ptr<std::size_t> openConnections; ///< Connections of the client.
    bool isReused = false; ///< Whether an earlier request used the connection.
    std::chrono::steady_clock::time_point idleSince{};
    /// Request that is still being written. The write can outlast the exchange, because a server
    /// may answer before it has read the whole request. Null if no write is in progress.
    std::shared_ptr<WireRequest> pendingWrite;
    bool hasWriteFailed = false; ///< Whether the request could not be written to its end.
};

WireRequest toWire(const Address &address, const Request &request)
{
    WireRequest result{ .body = request.sharedBody,
                        .message{ http::string_to_verb(request.method), request.target, 11 } };
    if (result.body == nullptr)
        result.body = std::make_shared<const std::string>(request.body);
    auto &wire = result.message;
    if (wire.method() == http::verb::unknown)
        wire.method_string(request.method);
    if (!findHeader(request.headers, "Host"))
        wire.set(http::field::host, toString(address));
    for (const Header &header : request.headers)
        wire.insert(header.name, header.value);
    wire.body() = { result.body->data(), result.body->size() };
    if (!result.body->empty() || request.method != "GET")
        wire.prepare_payload();
    return result;
}

template<typename Fields>
Headers fromWire(const Fields &fields)
{
    Headers headers;
    for (const auto &field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

// Returns the result for an error while the body of a response is read.
Result readResult(const error_code &error)
{
    return error == beast::error::timeout ? Result::ProgressTimeout : Result::StreamInterrupted;
}

} // namespace

class HttpClient::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::any_io_executor executor, ClientOptions options)
        : executor_(std::move(executor)), options_(options),
          maxConnections_(connectionShare(descriptorLimit()))
    {
    }

    std::shared_ptr<Connection> acquire(const Address &address, const ExchangeOptions &options,
                                        asio::yield_context yield, std::error_code &error);
    void release(const Address &address, std::shared_ptr<Connection> connection);
    std::unique_ptr<ResponseStream> open(const Address &address, const Request &request,
                                         milliseconds timeout, asio::yield_context yield,
                                         std::error_code &error);
    std::unique_ptr<ResponseStream> openOnce(const Address &address, const Request &request,
                                             const ExchangeOptions &options,
                                             asio::yield_context yield, std::error_code &error);

    const ClientOptions &options() const { return options_; }

private:
    asio::any_io_executor executor_;
    void closeOldestIdle();
    // Closes idle connections that the server has closed or that have been idle for too long.
    void sweep(std::chrono::steady_clock::time_point now);

    ClientOptions options_;
    std::size_t maxConnections_;
    std::shared_ptr<std::size_t> openConnections_ = std::make_shared<std::size_t>(0);
    std::chrono::steady_clock::time_point nextSweep_{};
    std::map<Address, std::vector<std::shared_ptr<Connection>>> idle_;
};

namespace {

using Parser = http::response_parser<http::buffer_body>;
constexpr std::size_t kReadBytes = 16U << 10U;
// Servers close idle connections sooner than this, which `isStale()` detects.
constexpr milliseconds kMaxIdleTime{ 3'600'000 };
// Interval of the search for idle connections to close. Nobody asks for the address of a target
// that has left, so that its connections would hold their descriptors for good.
constexpr milliseconds kSweepInterval{ 2000 };

// Makes the kernel probe an idle connection every second and close a connection whose peer
// acknowledges nothing for about `unacknowledgedTimeout`. Errors are ignored, because the
// connection works without the probes.
void enableKeepAliveProbes(asio::ip::tcp::socket &socket,
                           std::chrono::seconds unacknowledgedTimeout)
{
    using boost::asio::detail::socket_option::integer;
    const int seconds = static_cast<int>(unacknowledgedTimeout.count());
    error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(1), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(1), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(std::max(1, seconds - 1)), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(seconds * 1000), ignored);
}

// Lets a `Cancellation` close the connection during the lifetime of this object.
class AbortScope
{
public:
    AbortScope(Cancellation *cancellation, beast::tcp_stream &stream) : cancellation_(cancellation)
    {
        if (cancellation_ != nullptr)
            cancellation_->setAbort([&stream] { stream.close(); });
    }
    ~AbortScope()
    {
        if (cancellation_ != nullptr)
            cancellation_->setAbort({});
    }
    AbortScope(const AbortScope &) = delete;
    AbortScope &operator=(const AbortScope &) = delete;

private:
    Cancellation *cancellation_;
};

// Returns true if the server has closed the idle connection or sent bytes without a request.
bool isStale(Connection &connection)
{
    auto &socket = connection.stream.socket();
    error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    if (error)
        return true;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

std::shared_ptr<Connection> HttpClient::Implementation::acquire(const Address &address,
                                                                const ExchangeOptions &options,
                                                                asio::yield_context yield,
                                                                std::error_code &error)
{
    auto &idle = idle_[address];
    const auto minIdleSince = std::chrono::steady_clock::now() - options.maxIdleTime;
    while (options.maxIdleTime > milliseconds::zero() && !idle.empty()) {
        std::shared_ptr<Connection> connection = std::move(idle.back());
        idle.pop_back();
        if (connection->idleSince < minIdleSince || isStale(*connection))
            continue;
        connection->isReused = true;
        return connection;
    }
    // Idle connections must not take the descriptors that new ones need.
    if (*openConnections_ >= maxConnections_)
        closeOldestIdle();
    auto connection =
            std::make_shared<Connection>(executor_, options_.maxBufferedBytes, openConnections_);
    error_code failure;
    const auto host = asio::ip::make_address(address.host, failure);
    if (!failure) {
        connection->stream.expires_after(options.connectTimeout);
        const AbortScope scope(options.cancellation, connection->stream);
        connection->stream.async_connect({ host, address.port }, yield[failure]);
    }
    if (failure) {
        error = Result::TargetUnreachable;
        return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
    enableKeepAliveProbes(connection->stream.socket(), options_.unacknowledgedTimeout);
    return connection;
}

void HttpClient::Implementation::closeOldestIdle()
{
    std::vector<std::shared_ptr<Connection>> *oldest = nullptr;
    for (auto &[address, connections] : idle_) {
        if (!connections.empty()
            && (oldest == nullptr || connections.front()->idleSince < oldest->front()->idleSince))
            oldest = &connections;
    }
    if (oldest != nullptr)
        oldest->erase(oldest->begin());
}

void HttpClient::Implementation::sweep(std::chrono::steady_clock::time_point now)
{
    nextSweep_ = now + kSweepInterval;
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [&](const std::shared_ptr<Connection> &connection) {
            return now - connection->idleSince > options_.maxIdleTime || isStale(*connection);
        });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

void HttpClient::Implementation::release(const Address &address,
                                         std::shared_ptr<Connection> connection)
{
    const auto now = std::chrono::steady_clock::now();
    if (now >= nextSweep_)
        sweep(now);
    auto &idle = idle_[address];
    if (idle.size() >= options_.maxIdleConnectionsPerAddress)
        return;
    connection->stream.expires_never();
    connection->idleSince = now;
    idle.push_back(std::move(connection));
}

namespace {

// Response stream that reads the body from the connection and returns the connection to the pool.
template<typename Owner>
class ConnectionStream : public ResponseStream
{
public:
    ConnectionStream(std::shared_ptr<Owner> owner, Address address,
                     std::shared_ptr<Connection> connection, std::unique_ptr<Parser> parser)
        : owner_(std::move(owner)), address_(std::move(address)),
          connection_(std::move(connection)), parser_(std::move(parser)),
          headers_(fromWire(parser_->get()))
    {
    }

    int status() const override { return parser_->get().result_int(); }
    const Headers &headers() const override { return headers_; }

    bool hasSurplusBytes() const override { return hasSurplusBytes_; }

    void abort() override
    {
        if (connection_ != nullptr)
            connection_->stream.close();
    }

    bool read(std::string &out, milliseconds timeout, asio::yield_context yield,
              std::error_code &error) override
    {
        while (connection_ != nullptr && !parser_->is_done()) {
            const std::size_t start = out.size();
            out.resize(start + kReadBytes);
            auto &body = parser_->get().body();
            body.data = out.data() + start;
            body.size = kReadBytes;
            connection_->stream.expires_after(timeout);
            error_code failure;
            http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                                  yield[failure]);
            const std::size_t received = kReadBytes - body.size;
            out.resize(start + received);
            // A reset is reported only once. If the write of the request receives it, the read sees
            // an orderly end, so that a body without a length would look complete.
            if (!failure && parser_->is_done() && parser_->need_eof() && isWriteIncomplete())
                failure = asio::error::connection_reset;
            if (failure && failure != http::error::need_buffer) {
                connection_.reset();
                error = readResult(failure);
                return false;
            }
            if (received > 0)
                return true;
        }
        returnConnection();
        return false;
    }

private:
    bool isWriteIncomplete() const
    {
        return connection_->pendingWrite != nullptr || connection_->hasWriteFailed;
    }

    void returnConnection()
    {
        if (connection_ != nullptr)
            hasSurplusBytes_ = connection_->buffer.size() > 0;
        if (connection_ != nullptr && parser_->get().keep_alive() && !parser_->need_eof()
            && !isWriteIncomplete() && !hasSurplusBytes_)
            owner_->release(address_, std::move(connection_));
        connection_.reset();
    }

    std::shared_ptr<Owner> owner_;
    Address address_;
    std::shared_ptr<Connection> connection_;
    std::unique_ptr<Parser> parser_;
    Headers headers_;
    bool hasSurplusBytes_ = false;
};

// Starts writing the request without waiting for the end. The server may answer before it has read
// the whole request, and continue to read it afterwards.
void startWrite(const std::shared_ptr<Connection> &connection, WireRequest wire)
{
    connection->pendingWrite = std::make_shared<WireRequest>(std::move(wire));
    const std::weak_ptr<Connection> weak = connection;
    http::async_write(
            connection->stream, connection->pendingWrite->message,
            [weak, wire = connection->pendingWrite](const error_code &error, std::size_t) {
                if (const auto alive = weak.lock()) {
                    alive->pendingWrite.reset();
                    alive->hasWriteFailed = static_cast<bool>(error);
                }
            });
}

// Reads the rest of a skipped response and discards it.
void discardBody(Connection &connection, Parser &parser,
                 std::chrono::steady_clock::time_point deadline, asio::yield_context yield,
                 error_code &error)
{
    std::array<char, 4096> scratch{};
    while (!error && !parser.is_done()) {
        parser.get().body().data = scratch.data();
        parser.get().body().size = scratch.size();
        http::async_read(connection.stream, connection.buffer, parser, yield[error]);
        if (error == http::error::need_buffer)
            error.clear();
        // The timer of the stream does not end reads that complete at once.
        if (!error && std::chrono::steady_clock::now() >= deadline)
            error = beast::error::timeout;
    }
}

// Maximum number of interim responses and responses to earlier requests that are discarded before
// the response to the current request. More of them indicate a faulty server.
constexpr int kMaxSkippedResponses = 4;

// Reads the head of the response to the current request, whose method is `method`. Discards interim
// responses and responses to earlier requests.
std::unique_ptr<Parser> readOwnHead(Connection &connection, const ExchangeOptions &options,
                                    std::string_view method, std::size_t maxBodyBytes,
                                    std::chrono::steady_clock::time_point deadline,
                                    asio::yield_context yield, error_code &error)
{
    for (int skipped = 0; skipped <= kMaxSkippedResponses && !error; ++skipped) {
        auto parser = std::make_unique<Parser>();
        parser->body_limit(maxBodyBytes);
        // The fields of a response to HEAD describe content that does not follow.
        parser->skip(method == "HEAD");
        http::async_read_header(connection.stream, connection.buffer, *parser, yield[error]);
        const auto &head = parser->get();
        if (!error && !detail::hasReliableLength(head.version(), head, parser->chunked()))
            error = http::error::bad_transfer_encoding;
        constexpr unsigned kMinStatus = 100;
        constexpr unsigned kMaxStatus = 599;
        if (!error && (head.result_int() < kMinStatus || head.result_int() > kMaxStatus))
            error = http::error::bad_status;
        if (error)
            return nullptr;
        const bool isInterim = http::to_status_class(parser->get().result_int())
                               == http::status_class::informational;
        if (!isInterim
            && (!options.isOwnResponse || options.isOwnResponse(fromWire(parser->get()))))
            return parser;
        discardBody(connection, *parser, deadline, yield, error);
    }
    // The caller reports every error except a timeout as `TargetFailed`.
    if (!error)
        error = http::error::bad_version;
    return nullptr;
}

} // namespace

std::unique_ptr<ResponseStream> HttpClient::Implementation::open(const Address &address,
                                                                 const Request &request,
                                                                 milliseconds timeout,
                                                                 asio::yield_context yield,
                                                                 std::error_code &error)
{
    const WireRequest wire = toWire(address, request);
    for (bool canReuse = request.idempotent;; canReuse = false) {
        const ExchangeOptions exchange{ .connectTimeout = options_.connectTimeout,
                                        .maxIdleTime =
                                                canReuse ? kMaxIdleTime : milliseconds::zero() };
        auto connection = acquire(address, exchange, yield, error);
        if (connection == nullptr)
            return nullptr;
        error_code failure;
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        connection->stream.expires_at(deadline);
        http::async_write(connection->stream, wire.message, yield[failure]);
        std::unique_ptr<Parser> parser;
        if (!failure)
            parser = readOwnHead(*connection, exchange, request.method, options_.maxBodyBytes,
                                 deadline, yield, failure);
        if (parser != nullptr) {
            return std::make_unique<ConnectionStream<Implementation>>(
                    shared_from_this(), address, std::move(connection), std::move(parser));
        }
        if (connection->isReused && failure != beast::error::timeout)
            continue;
        error = failure == beast::error::timeout ? Result::ProgressTimeout : Result::TargetFailed;
        return nullptr;
    }
}

std::unique_ptr<ResponseStream> HttpClient::Implementation::openOnce(const Address &address,
                                                                     const Request &request,
                                                                     const ExchangeOptions &options,
                                                                     asio::yield_context yield,
                                                                     std::error_code &error)
{
    const auto deadline = std::chrono::steady_clock::now() + options.headTimeout;
    std::shared_ptr<Connection> connection = acquire(address, options, yield, error);
    const bool cancelled = options.cancellation != nullptr && options.cancellation->cancelled();
    if (connection == nullptr || cancelled) {
        error = cancelled ? Result::RequestCancelled : Result::TargetUnreachable;
        return nullptr;
    }
    connection->stream.expires_at(deadline);
    startWrite(connection, toWire(address, request));
    error_code failure;
    std::unique_ptr<Parser> parser;
    {
        const AbortScope scope(options.cancellation, connection->stream);
        parser = readOwnHead(*connection, options, request.method, options_.maxBodyBytes, deadline,
                             yield, failure);
    }
    if (parser != nullptr)
        return std::make_unique<ConnectionStream<Implementation>>(
                shared_from_this(), address, std::move(connection), std::move(parser));
    connection->stream.close();
    if (options.cancellation != nullptr && options.cancellation->cancelled())
        error = Result::RequestCancelled;
    else
        error = failure == beast::error::timeout ? Result::ProgressTimeout : Result::TargetFailed;
    return nullptr;
}

HttpClient::HttpClient(asio::any_io_executor executor, ClientOptions options)
    : implementation_(std::make_shared<Implementation>(std::move(executor), options))
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<ResponseStream> HttpClient::open(const Address &address, const Request &request,
                                                 milliseconds timeout, asio::yield_context yield,
                                                 std::error_code &error)
{
    return implementation_->open(address, request, timeout, yield, error);
}

std::unique_ptr<ResponseStream> HttpClient::openOnce(const Address &address, const Request &request,
                                                     const ExchangeOptions &options,
                                                     asio::yield_context yield,
                                                     std::error_code &error)
{
    return implementation_->openOnce(address, request, options, yield, error);
}

std::optional<Response> HttpClient::send(const Address &address, const Request &request,
                                         milliseconds timeout, asio::yield_context yield,
                                         std::error_code &error)
{
    const TransferLimits limits{ .headTimeout = timeout,
                                 .progressTimeout = timeout,
                                 .maxTime = timeout };
    return send(address, request, limits, std::move(yield), error);
}

std::optional<Response> HttpClient::send(const Address &address, const Request &request,
                                         const TransferLimits &limits, asio::yield_context yield,
                                         std::error_code &error)
{
    const auto deadline = std::chrono::steady_clock::now() + limits.maxTime;
    auto stream = open(address, request, limits.headTimeout, yield, error);
    if (stream == nullptr)
        return std::nullopt;
    Response response{ .status = stream->status(), .headers = stream->headers() };
    while (true) {
        const auto left = std::chrono::duration_cast<milliseconds>(
                deadline - std::chrono::steady_clock::now());
        if (left <= milliseconds::zero()) {
            error = Result::ProgressTimeout;
            return std::nullopt;
        }
        if (!stream->read(response.body, std::min(left, limits.progressTimeout), yield, error))
            break;
    }
    if (error)
        return std::nullopt;
    return response;
}

} // namespace chervilfield::net
