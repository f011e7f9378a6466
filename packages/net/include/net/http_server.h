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
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace chervilfield::net {

/// Options of an `HttpServer`.
struct ServerOptions
{
    std::size_t maxHeadBytes = 16U << 10U; ///< Maximum size of the request line and the headers.
    std::size_t maxBodyBytes = 16U << 20U; ///< Maximum size of a request body.
    /// Maximum number of open connections, reduced to 7/16 of the descriptors of the process: each
    /// request may need a connection to a target, and an eighth is kept for other purposes. When it
    /// is reached, a new connection replaces the longest idle one, or is closed.
    std::size_t maxConnections = 10000;
    /// Memory that all connections together use for heads, bodies, trailers and buffers. Requests
    /// that exceed it wait up to a second, then get `Overloaded`; requests that hold much of it for
    /// long are closed.
    std::size_t requestMemoryBytes = 256U << 20U;
    /// Maximum size of all chunk extensions of a request. A chunk line or a trailer may be as large
    /// as a head.
    std::size_t maxExtensionBytes = 1U << 20U;
    std::chrono::milliseconds headTimeout{ 5000 };  ///< From the first byte to the end of the head.
    std::chrono::milliseconds bodyTimeout{ 20000 }; ///< From the end of the head.
    std::chrono::milliseconds idleTimeout{ 60000 }; ///< Until the first byte of a request.
    std::chrono::milliseconds writeTimeout{ 10000 }; ///< For one write.
    /// Returns the response to a request that could not be read or that the handler did not answer.
    /// If the function is empty, the response has no body.
    std::function<Response(base::Result)> errorResponse;
};

/// Limits that can be changed while a server runs. A value of 0 keeps the value of the options.
struct ServerLimits
{
    std::size_t maxHeadBytes = 0;
    std::size_t maxBodyBytes = 0;
    std::chrono::milliseconds headTimeout{ 0 };
    std::chrono::milliseconds idleTimeout{ 0 };
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
    /// Returns the body of the request, which stays valid after the exchange. Forwarding it through
    /// `Request::sharedBody` makes no copy.
    virtual std::shared_ptr<const std::string> sharedBody() const = 0;
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
/// closed after such a request. Trailer fields are discarded. When no descriptor is left,
/// connections are accepted again after a pause.
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

    /// Changes the limits of requests and waits that have not begun. Values beyond 16 MiB for heads
    /// or an hour for times are reduced to these. Thread-safe.
    void setLimits(const ServerLimits &limits);

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

    /// Returns the memory in use of `ServerOptions::requestMemoryBytes`. Thread-safe.
    std::size_t requestMemoryInUse() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

/// Runs `body` in a new coroutine on `context`. An exception that leaves `body` is logged with
/// `prefix` and ends only the coroutine.
void spawnCoroutine(boost::asio::io_context &context, std::string_view prefix,
                    std::function<void(boost::asio::yield_context)> body);

} // namespace chervilfield::net
