#pragma once

#include "base/result.h"
#include "net/address.h"
#include "net/http_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>
#include <vector>

namespace chervilfield::net {

/// Options of an `HttpServer`.
struct ServerOptions
{
    std::size_t maxHeadBytes = 16U << 10U; ///< Maximum size of the request line and the headers.
    std::size_t maxBodyBytes = 16U << 20U; ///< Maximum size of a request body.
    std::size_t maxConnections = 10000;    ///< Further connections are closed at once.
    std::chrono::milliseconds headTimeout{ 5000 };  ///< From the first byte to the end of the head.
    std::chrono::milliseconds bodyTimeout{ 20000 }; ///< From the end of the head.
    std::chrono::milliseconds idleTimeout{ 60000 }; ///< Until the first byte of a request.
    std::chrono::milliseconds writeTimeout{ 10000 }; ///< For one write.
    /// Returns the response to a request that could not be read or that the handler did not answer.
    /// If the function is empty, the response has no body.
    std::function<Response(base::Result)> errorResponse;
};

/// A request and the functions that answer it. The handler calls either `respond()` once, or
/// `startStream()`, then `write()` any number of times, then `finish()`. If the handler returns
/// without finishing a stream, the connection is closed without the terminating chunk, so that the
/// caller detects an incomplete response.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    /// Returns the address of the sender.
    virtual const Address &peer() const = 0;

    /// Sends a complete response, without its body if the request method is HEAD. Sets `error` if
    /// it could not be written.
    virtual void respond(const Response &response, boost::asio::yield_context yield,
                         std::error_code &error) = 0;
    /// Sends the head of a response with a chunked body. Sets `error` if it could not be written.
    virtual void startStream(int status, const Headers &headers, boost::asio::yield_context yield,
                             std::error_code &error) = 0;
    /// Sends `bytes` as one chunk. Does nothing if `bytes` is empty.
    virtual void write(std::string_view bytes, boost::asio::yield_context yield,
                       std::error_code &error) = 0;
    /// Sends the terminating chunk.
    virtual void finish(boost::asio::yield_context yield, std::error_code &error) = 0;

    /// Returns true if the peer has closed its end or reset the connection. Unread bytes of a
    /// further request hide that the peer has closed its end.
    virtual bool peerHasClosed() = 0;

    /// Calls `closed` on the thread of the exchange if the peer closes its end or resets the
    /// connection before the exchange ends. Bytes of a further request end the watch without a
    /// call. Must be called at most once for an exchange.
    virtual void watchPeer(std::function<void()> closed) = 0;
};

/// Answers one request. Runs in the coroutine of the connection, on the thread of the worker.
using Handler = std::function<void(Exchange &, boost::asio::yield_context)>;

/// Event loop of one thread and the handler of the requests that the thread serves.
struct ServerWorker
{
    boost::asio::io_context *context = nullptr;
    Handler handler;
};

/// HTTP/1.1 server. The first worker accepts connections and distributes them to all workers round
/// robin. Each connection is served by one coroutine. Requests with two lengths, with a length and
/// a transfer coding, or with a transfer coding other than a single "chunked" are refused, because
/// intermediaries interpret them differently, which allows request smuggling. The connection is
/// closed after such a request. Trailer fields are discarded.
class HttpServer
{
public:
    /// `workers` must not be empty. Their contexts must outlive the server.
    HttpServer(std::vector<ServerWorker> workers, ServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds `address` and starts accepting connections. With port 0 the kernel chooses the port.
    /// Sets `error` if binding fails.
    void listen(const Address &address, std::error_code &error);

    /// Returns the bound address.
    Address localAddress() const;

    /// Closes each connection after its next response, so that callers connect elsewhere.
    void closeAfterResponses();

    /// Stops accepting connections. Open connections end after their current request.
    void stopAccepting();

    /// Returns the number of requests whose response is incomplete.
    std::size_t activeRequests() const;

    /// Returns the number of open connections.
    std::size_t openConnections() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

/// Runs `body` in a new coroutine on `context`. An exception that leaves `body` is logged with
/// `prefix` and ends only the coroutine.
void spawnCoroutine(boost::asio::io_context &context, std::string_view prefix,
                    std::function<void(boost::asio::yield_context)> body);

} // namespace chervilfield::net
