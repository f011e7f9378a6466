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

struct ServerOptions
{
    std::size_t maxHeadBytes = 16U << 10U;
    std::size_t maxBodyBytes = 16U << 20U;
    std::size_t maxConnections = 10000;
    std::chrono::milliseconds headTimeout{ 5000 }; ///< From the first byte to the end of the head.
    std::chrono::milliseconds bodyTimeout{ 20000 };
    std::chrono::milliseconds idleTimeout{ 60000 };  ///< Between requests of one connection.
    std::chrono::milliseconds writeTimeout{ 10000 }; ///< For one write; slow readers are cut.
    /// Makes the response for a request that could not be read. The default has an empty body.
    std::function<Response(base::Result)> errorResponse;
};

/// One request and the way to answer it. The handler calls either `respond()` once, or
/// `startStream()`, any number of `write()` and then `finish()`. If a handler returns without
/// finishing a stream, the connection is closed without the terminating chunk, so that the caller
/// sees an incomplete response.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    virtual const Address &peer() const = 0;

    virtual void respond(const Response &response, boost::asio::yield_context yield,
                         std::error_code &error) = 0;
    virtual void startStream(int status, const Headers &headers, boost::asio::yield_context yield,
                             std::error_code &error) = 0;
    virtual void write(std::string_view bytes, boost::asio::yield_context yield,
                       std::error_code &error) = 0;
    virtual void finish(boost::asio::yield_context yield, std::error_code &error) = 0;

    /// Returns true if and only if the peer has closed its side or reset the connection.
    virtual bool peerHasClosed() = 0;

    /// Calls `closed` on the exchange's thread if the peer closes its side or resets the connection
    /// before the exchange ends. Call it at most once for an exchange.
    virtual void watchPeer(std::function<void()> closed) = 0;
};

using Handler = std::function<void(Exchange &, boost::asio::yield_context)>;

/// A thread's event loop together with the handler of the requests that it serves.
struct ServerWorker
{
    boost::asio::io_context *context = nullptr;
    Handler handler;
};

/// HTTP/1.1 server. Connections are accepted by the first worker and handed out to all workers in
/// turn; each is served by one coroutine. Requests with two lengths, or with a length and a
/// transfer coding, are refused, because intermediaries read them in different ways.
class HttpServer
{
public:
    HttpServer(std::vector<ServerWorker> workers, ServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and starts to accept. Port 0 lets the kernel choose. Sets `error` if binding fails.
    void listen(const Address &address, std::error_code &error);

    /// Returns the bound address.
    Address localAddress() const;

    /// Ends each connection after its next response, so that callers connect elsewhere.
    void closeAfterResponses();

    /// Stops accepting. Connections that are served end after their current request.
    void stopAccepting();

    /// Returns the number of requests whose response is not complete.
    std::size_t activeRequests() const;

    /// Returns the number of open connections.
    std::size_t openConnections() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

/// Runs `body` in a new coroutine on `context`. An exception that leaves it is logged with
/// `prefix` and ends the coroutine only.
void spawnCoroutine(boost::asio::io_context &context, std::string_view prefix,
                    std::function<void(boost::asio::yield_context)> body);

} // namespace chervilfield::net
