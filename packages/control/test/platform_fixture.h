#pragma once

#include "net/http_server.h"
#include "platform/platform_client.h"
#include "platform/platform_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <vector>

namespace chervilfield::control {

/// Stand-in of the platform services on a loopback port. The services and the coroutines that use
/// them run on the thread that calls `run()`.
class PlatformFixture
{
public:
    PlatformFixture() : service(context)
    {
        const auto handler = [this](net::Exchange &exchange, boost::asio::yield_context yield) {
            service.handle(exchange, yield);
        };
        server_ = std::make_unique<net::HttpServer>(
                std::vector<net::ServerWorker>{ { &context, handler } }, net::ServerOptions());
        std::error_code error;
        server_->listen({ "127.0.0.1", 0 }, error);
        if (error)
            throw std::runtime_error(error.message());
    }

    /// Returns client options with the addresses of the stand-in and the given timeout per request.
    platform::PlatformOptions options(std::chrono::milliseconds timeout) const
    {
        return { .table = server_->localAddress(),
                 .objects = server_->localAddress(),
                 .instances = server_->localAddress(),
                 .timeout = timeout,
                 .writeOutcomeTimeout = 5 * timeout,
                 .initialRetryDelay = timeout / 10 };
    }

    /// Runs the coroutines until all have finished. Rethrows the first exception thrown by any.
    void run(const std::vector<std::function<void(boost::asio::yield_context)>> &bodies)
    {
        std::size_t running = bodies.size();
        std::exception_ptr failure;
        for (const auto &body : bodies) {
            net::spawnCoroutine(context, "[test]", [&](boost::asio::yield_context yield) {
                try {
                    body(yield);
                } catch (const std::exception &) {
                    failure = failure ? failure : std::current_exception();
                }
                if (--running == 0)
                    context.stop();
            });
        }
        context.run();
        context.restart();
        if (failure)
            std::rethrow_exception(failure);
    }

    /// Suspends the coroutine for `time`.
    void pause(std::chrono::milliseconds time, boost::asio::yield_context yield)
    {
        boost::asio::steady_timer timer(context, time);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    /// Waits until `condition` holds, for at most 5 s. Returns whether it holds.
    bool waitUntil(const std::function<bool()> &condition, boost::asio::yield_context yield)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            pause(std::chrono::milliseconds(1), yield);
        return condition();
    }

    boost::asio::io_context context;
    standins::PlatformService service;

private:
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace chervilfield::control
