#pragma once

#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace chervilfield::net::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Answers one request on a connection of the server.
class ConnectionExchange : public Exchange
{
public:
    ConnectionExchange(beast::tcp_stream &stream, const Address &peer, Request request,
                       std::chrono::milliseconds writeTimeout, bool keepAlive)
        : stream_(stream), peer_(peer), request_(std::make_shared<Request>(std::move(request))),
          writeTimeout_(writeTimeout), keepAlive_(keepAlive)
    {
    }

    const Request &request() const override { return *request_; }
    std::shared_ptr<const std::string> sharedBody() const override
    {
        return { request_, &request_->body };
    }
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
    bool isHead() const { return request_->method == "HEAD"; }

    beast::tcp_stream &stream_;
    const Address &peer_;
    std::shared_ptr<const Request> request_;
    std::chrono::milliseconds writeTimeout_;
    bool keepAlive_;
    bool hasStarted_ = false;
    bool isComplete_ = false;
    std::shared_ptr<std::function<void()>> watch_;
};

} // namespace chervilfield::net::detail
