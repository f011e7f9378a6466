#pragma once

#include "net/address.h"
#include "net/cancellation.h"
#include "net/http_message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <functional>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace chervilfield::net {

/// Options of an `HttpClient`.
struct ClientOptions
{
    std::chrono::milliseconds connectTimeout{ 1000 }; ///< For `send()` and `open()`.
    std::size_t maxBodyBytes = 64U << 20U;            ///< Maximum size of a response body.
    /// Maximum number of received bytes that wait to be parsed. A head, a chunk header or a trailer
    /// that does not fit ends the exchange. Heads are limited to 8 KiB.
    std::size_t maxBufferedBytes = 64U << 10U;
    std::size_t maxIdleConnectionsPerAddress = 64; ///< Further idle connections are closed.
    /// Time after which an idle connection is closed. It is checked when a request ends.
    std::chrono::milliseconds maxIdleTime{ 60'000 };
    /// A connection is closed if the peer acknowledges nothing for about this time. TCP keep-alive
    /// probes detect a peer that has failed while a response is awaited.
    std::chrono::seconds unacknowledgedTimeout{ 3 };
};

/// Limits on the time of a call whose response may be large. A response that keeps arriving is not
/// given up before `maxTime`, because a repeated call would start at its first byte again.
struct TransferLimits
{
    /// Maximum time from the start of sending to the end of the head of the response.
    std::chrono::milliseconds headTimeout{ 1000 };
    /// Maximum time in which nothing of the body arrives.
    std::chrono::milliseconds progressTimeout{ 1000 };
    std::chrono::milliseconds maxTime{ 1000 }; ///< From the call to the end of the body.
};

/// Response whose body is read while it arrives. The destructor closes the connection unless the
/// body was read to its end.
class ResponseStream
{
public:
    virtual ~ResponseStream() = default;

    /// Returns the HTTP status.
    virtual int status() const = 0;
    virtual const Headers &headers() const = 0;

    /// Closes the connection. A `read()` in progress fails.
    virtual void abort() = 0;

    /// Appends the next bytes of the body to `out` and returns true. Returns false at the end of a
    /// complete body. On failure, returns false and sets `error`: `ProgressTimeout` if nothing
    /// arrived within `timeout`, `StreamInterrupted` if the connection ended before the body did.
    virtual bool read(std::string &out, std::chrono::milliseconds timeout,
                      boost::asio::yield_context yield, std::error_code &error) = 0;

    /// Returns true if the server sent bytes after the end of a complete body. The connection has
    /// been closed in this case.
    virtual bool hasSurplusBytes() const { return false; }
};

/// Options of `HttpClient::openOnce()`.
struct ExchangeOptions
{
    /// Maximum time until the head of the response has arrived, including the time to connect.
    std::chrono::milliseconds headTimeout{ 1000 };
    std::chrono::milliseconds connectTimeout{ 1000 }; ///< Applies even if `headTimeout` is shorter.
    /// Maximum idle time of a connection that is reused. Zero always opens a new connection.
    std::chrono::milliseconds maxIdleTime{ 0 };
    /// Returns false for a response to an earlier request on the connection. Such a response is
    /// read and discarded. An empty function accepts every response.
    std::function<bool(const Headers &)> isOwnResponse;
    Cancellation *cancellation = nullptr; ///< Aborts the exchange; may be null. Not owned.
};

/// HTTP/1.1 client with a pool of idle connections for each endpoint. Not thread-safe: each thread
/// needs its own client. Calls from several coroutines of that thread may overlap. A response with
/// a transfer coding other than a single "chunked", or with a length beside it, fails with
/// `TargetFailed`, because its end cannot be determined reliably. So does one with a status outside
/// 100 to 599. A body that ends with its connection is incomplete if the request has not been
/// written to its end.
///
/// The error shows whether the server can have received the request. `TargetUnreachable` means that
/// no connection could be opened, so that no byte of the request was sent, with one exception: an
/// idempotent request may have been sent over a pooled connection that failed. After
/// `TargetFailed`, `ProgressTimeout` or `StreamInterrupted`, the server may have received it.
class HttpClient
{
public:
    HttpClient(boost::asio::any_io_executor executor, ClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends `request` and returns the complete response, or sets `error`. The error is
    /// `ProgressTimeout` if the body is incomplete `timeout` after the call, including the time to
    /// connect. The call may return later than that, because connecting and each attempt to receive
    /// the head have their own timeouts.
    std::optional<Response> send(const Address &address, const Request &request,
                                 std::chrono::milliseconds timeout,
                                 boost::asio::yield_context yield, std::error_code &error);

    /// As above, but the error is also `ProgressTimeout` if a limit of `limits` is reached.
    std::optional<Response> send(const Address &address, const Request &request,
                                 const TransferLimits &limits, boost::asio::yield_context yield,
                                 std::error_code &error);

    /// Sends `request` and returns once the head of the response has arrived, or sets `error`.
    /// Interim responses (1xx) are skipped; a long series of them ends with `TargetFailed`.
    /// `timeout` bounds the time from the start of sending to the end of the head, once more if the
    /// request is repeated. It does not include the time to connect.
    std::unique_ptr<ResponseStream> open(const Address &address, const Request &request,
                                         std::chrono::milliseconds timeout,
                                         boost::asio::yield_context yield, std::error_code &error);

    /// As `open()`, but never sends `request` a second time. `TargetUnreachable` always means
    /// that no byte was sent. `RequestCancelled` means that `options.cancellation` was cancelled;
    /// the request may have been sent or not.
    std::unique_ptr<ResponseStream> openOnce(const Address &address, const Request &request,
                                             const ExchangeOptions &options,
                                             boost::asio::yield_context yield,
                                             std::error_code &error);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace chervilfield::net
