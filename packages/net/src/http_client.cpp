#include "net/http_client.h"

#include "base/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <map>
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

using WireRequest = http::request<http::string_body>;

// A connection together with the bytes that were read past the last response.
struct Connection
{
    explicit Connection(const asio::any_io_executor &executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool reused = false;
};

WireRequest toWire(const Address &address, const Request &request)
{
    WireRequest wire(http::string_to_verb(request.method), request.target, 11);
    if (wire.method() == http::verb::unknown)
        wire.method_string(request.method);
    wire.set(http::field::host, toString(address));
    for (const Header &header : request.headers)
        wire.insert(header.name, header.value);
    wire.body() = request.body;
    if (!request.body.empty() || request.method != "GET")
        wire.prepare_payload();
    return wire;
}

template<typename Fields>
Headers fromWire(const Fields &fields)
{
    Headers headers;
    for (const auto &field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

Result readResult(const error_code &error)
{
    return error == beast::error::timeout ? Result::ProgressTimeout : Result::StreamInterrupted;
}

} // namespace

class HttpClient::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::any_io_executor executor, ClientOptions options)
        : executor_(std::move(executor)), options_(options)
    {
    }

    std::unique_ptr<Connection> acquire(const Address &address, bool mayReuse,
                                        asio::yield_context yield, std::error_code &error);
    void release(const Address &address, std::unique_ptr<Connection> connection);
    std::unique_ptr<ResponseStream> open(const Address &address, const Request &request,
                                         milliseconds timeout, asio::yield_context yield,
                                         std::error_code &error);

    const ClientOptions &options() const { return options_; }

private:
    asio::any_io_executor executor_;
    ClientOptions options_;
    std::map<Address, std::vector<std::unique_ptr<Connection>>> idle_;
};

namespace {

using Parser = http::response_parser<http::buffer_body>;
constexpr std::size_t kReadBytes = 16U << 10U;

// True if the server has closed the idle connection or sent bytes that nothing asked for.
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

std::unique_ptr<Connection> HttpClient::Implementation::acquire(const Address &address,
                                                                bool mayReuse,
                                                                asio::yield_context yield,
                                                                std::error_code &error)
{
    auto &idle = idle_[address];
    while (mayReuse && !idle.empty()) {
        std::unique_ptr<Connection> connection = std::move(idle.back());
        idle.pop_back();
        if (isStale(*connection))
            continue;
        connection->reused = true;
        return connection;
    }
    auto connection = std::make_unique<Connection>(executor_);
    error_code failure;
    const auto host = asio::ip::make_address(address.host, failure);
    if (!failure) {
        connection->stream.expires_after(options_.connectTimeout);
        connection->stream.async_connect({ host, address.port }, yield[failure]);
    }
    if (failure) {
        error = Result::TargetUnreachable;
        return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
    return connection;
}

void HttpClient::Implementation::release(const Address &address,
                                         std::unique_ptr<Connection> connection)
{
    auto &idle = idle_[address];
    if (idle.size() >= options_.maxIdlePerAddress)
        return;
    connection->stream.expires_never();
    idle.push_back(std::move(connection));
}

namespace {

// Response body read straight from the connection.
template<typename Owner>
class ConnectionStream : public ResponseStream
{
public:
    ConnectionStream(std::shared_ptr<Owner> owner, Address address,
                     std::unique_ptr<Connection> connection, std::unique_ptr<Parser> parser)
        : owner_(std::move(owner)), address_(std::move(address)),
          connection_(std::move(connection)), parser_(std::move(parser)),
          headers_(fromWire(parser_->get()))
    {
    }

    int status() const override { return parser_->get().result_int(); }
    const Headers &headers() const override { return headers_; }

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
            if (failure && failure != http::error::need_buffer) {
                connection_.reset();
                error = readResult(failure);
                return false;
            }
            if (received > 0)
                return true;
        }
        giveBack();
        return false;
    }

private:
    void giveBack()
    {
        if (connection_ != nullptr && parser_->get().keep_alive())
            owner_->release(address_, std::move(connection_));
        connection_.reset();
    }

    std::shared_ptr<Owner> owner_;
    Address address_;
    std::unique_ptr<Connection> connection_;
    std::unique_ptr<Parser> parser_;
    Headers headers_;
};

} // namespace

std::unique_ptr<ResponseStream> HttpClient::Implementation::open(const Address &address,
                                                                 const Request &request,
                                                                 milliseconds timeout,
                                                                 asio::yield_context yield,
                                                                 std::error_code &error)
{
    const WireRequest wire = toWire(address, request);
    for (bool mayReuse = request.idempotent;; mayReuse = false) {
        auto connection = acquire(address, mayReuse, yield, error);
        if (connection == nullptr)
            return nullptr;
        error_code failure;
        connection->stream.expires_after(timeout);
        http::async_write(connection->stream, wire, yield[failure]);
        auto parser = std::make_unique<Parser>();
        parser->body_limit(options_.maxBodyBytes);
        if (!failure) {
            http::async_read_header(connection->stream, connection->buffer, *parser,
                                    yield[failure]);
        }
        if (!failure) {
            return std::make_unique<ConnectionStream<Implementation>>(
                    shared_from_this(), address, std::move(connection), std::move(parser));
        }
        if (connection->reused && failure != beast::error::timeout)
            continue;
        error = failure == beast::error::timeout ? Result::ProgressTimeout : Result::TargetFailed;
        return nullptr;
    }
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

std::optional<Response> HttpClient::send(const Address &address, const Request &request,
                                         milliseconds timeout, asio::yield_context yield,
                                         std::error_code &error)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    auto stream = open(address, request, timeout, yield, error);
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
        if (!stream->read(response.body, left, yield, error))
            break;
    }
    if (error)
        return std::nullopt;
    return response;
}

} // namespace chervilfield::net
