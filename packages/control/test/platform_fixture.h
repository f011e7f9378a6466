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

/// A stand-in platform and coroutines that use it, all on the thread that calls `run`.
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

    platform::PlatformOptions options(std::chrono::milliseconds timeout) const
    {
        return { .table = server_->localAddress(),
                 .objects = server_->localAddress(),
                 .instances = server_->localAddress(),
                 .timeout = timeout,
                 .writeOutcomeTimeout = 5 * timeout,
                 .initialRetryDelay = timeout / 10 };
    }

    /// Runs the coroutines until all have ended. Rethrows the first exception of one of them.
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

    void pause(std::chrono::milliseconds time, boost::asio::yield_context yield)
    {
        boost::asio::steady_timer timer(context, time);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    /// Waits until `holds` or 5 s have passed, and returns whether it holds.
    bool waitUntil(const std::function<bool()> &holds, boost::asio::yield_context yield)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!holds() && std::chrono::steady_clock::now() < deadline)
            pause(std::chrono::milliseconds(1), yield);
        return holds();
    }

    boost::asio::io_context context;
    standins::PlatformService service;

private:
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace chervilfield::control
