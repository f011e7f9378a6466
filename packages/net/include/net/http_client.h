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

struct ClientOptions
{
    std::chrono::milliseconds connectTimeout{ 1000 };
    std::size_t maxBodyBytes = 64U << 20U;
    std::size_t maxIdleConnectionsPerAddress = 64; ///< Kept-alive connections per endpoint.
    /// A connection whose other end acknowledges nothing for about this long is closed. Probes find
    /// the ones that went silent for good while a response is awaited.
    std::chrono::seconds unacknowledgedTimeout{ 3 };
};

/// Body of a response that is read while it arrives. Destroying it closes the connection unless
/// the body was read to its end.
class ResponseStream
{
public:
    virtual ~ResponseStream() = default;

    virtual int status() const = 0;
    virtual const Headers &headers() const = 0;

    /// Closes the connection; a `read` in progress fails.
    virtual void abort() = 0;

    /// Appends the next bytes of the body to `out` and returns true, or returns false at the true
    /// end of the body. On failure it returns false and sets `error`: `ProgressTimeout` if nothing
    /// arrived within `timeout`, `StreamInterrupted` if the connection ended early.
    virtual bool read(std::string &out, std::chrono::milliseconds timeout,
                      boost::asio::yield_context yield, std::error_code &error) = 0;
};

/// How one exchange uses connections, for a caller that decides itself about repetitions.
struct ExchangeOptions
{
    /// Covers the whole time until the head of the response.
    std::chrono::milliseconds headTimeout{ 1000 };
    std::chrono::milliseconds connectTimeout{ 1000 };
    /// An idle connection is reused if it was idle for at most this long; zero opens a new one.
    std::chrono::milliseconds maxIdleTime{ 0 };
    /// Returns false for a response that belongs to an earlier request of the connection, which is
    /// then read and dropped. Empty accepts every response.
    std::function<bool(const Headers &)> isOwnResponse;
    Cancellation *cancellation = nullptr;
};

/// HTTP/1.1 client for one executor. It keeps idle connections by endpoint. Use one client per
/// thread; calls from coroutines of that thread may overlap.
///
/// Errors tell whether the server can have seen the request: `TargetUnreachable` if and only if no
/// byte of the request was sent; `TargetFailed`, `ProgressTimeout` or `StreamInterrupted`
/// otherwise.
class HttpClient
{
public:
    HttpClient(boost::asio::any_io_executor executor, ClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends `request` and returns the whole response, or sets `error`. The timeout covers the
    /// whole exchange apart from connecting.
    std::optional<Response> send(const Address &address, const Request &request,
                                 std::chrono::milliseconds timeout,
                                 boost::asio::yield_context yield, std::error_code &error);

    /// Sends `request` and returns once the head of the response has arrived, or sets `error`.
    std::unique_ptr<ResponseStream> open(const Address &address, const Request &request,
                                         std::chrono::milliseconds timeout,
                                         boost::asio::yield_context yield, std::error_code &error);

    /// Sends `request` at most once and returns once the head of the response has arrived, or sets
    /// `error`. `TargetUnreachable` still means that no byte was sent; `RequestCancelled` that
    /// `options.cancellation` was used, whether or not the request was sent.
    std::unique_ptr<ResponseStream> openOnce(const Address &address, const Request &request,
                                             const ExchangeOptions &options,
                                             boost::asio::yield_context yield,
                                             std::error_code &error);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace chervilfield::net
