#pragma once

#include "net/address.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <memory>

namespace chervilfield::entry {

/// Stand-in for the network link of a server. Forwards TCP connections on a local address to the
/// server and limits what all of them together receive from it.
class ThrottledLink
{
public:
    using Tcp = boost::asio::ip::tcp;

    ThrottledLink(boost::asio::io_context &context, const net::Address &server,
                  double bytesPerSecond)
        : state_(std::make_shared<State>(context, server, bytesPerSecond))
    {
        net::spawnCoroutine(context, "[test]", [state = state_](const Yield &yield) {
            acceptConnections(state, yield);
        });
    }

    net::Address address() const
    {
        return { "127.0.0.1", state_->acceptor.local_endpoint().port() };
    }

    /// Returns the number of bytes that the server has sent through the link.
    std::size_t sentBytes() const { return state_->sentBytes; }

private:
    using Yield = boost::asio::yield_context;
    using Clock = std::chrono::steady_clock;

    struct State
    {
        State(boost::asio::io_context &ioContext, const net::Address &address, double rate)
            : context(ioContext), server(boost::asio::ip::make_address(address.host), address.port),
              bytesPerSecond(rate),
              acceptor(ioContext, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        {
        }

        boost::asio::io_context &context;
        Tcp::endpoint server;
        double bytesPerSecond;
        Tcp::acceptor acceptor;
        Clock::time_point freeAt{}; ///< When the link has sent all that it was given.
        std::size_t sentBytes = 0;
    };
    using StatePtr = std::shared_ptr<State>;
    using SocketPtr = std::shared_ptr<Tcp::socket>;

    static void acceptConnections(const StatePtr &state, const Yield &yield)
    {
        while (true) {
            const auto client = std::make_shared<Tcp::socket>(state->context);
            const auto server = std::make_shared<Tcp::socket>(state->context);
            boost::system::error_code error;
            state->acceptor.async_accept(*client, yield[error]);
            if (!error)
                server->async_connect(state->server, yield[error]);
            if (error)
                return;
            net::spawnCoroutine(state->context, "[test]", [=](const Yield &inner) {
                forward(state, client, server, false, inner);
            });
            net::spawnCoroutine(state->context, "[test]", [=](const Yield &inner) {
                forward(state, server, client, true, inner);
            });
        }
    }

    static void forward(const StatePtr &state, const SocketPtr &from, const SocketPtr &to,
                        bool isLimited, const Yield &yield)
    {
        constexpr std::size_t kSegmentBytes = 1460;
        std::array<char, kSegmentBytes> segment{};
        boost::system::error_code error;
        boost::asio::steady_timer timer(state->context);
        while (!error) {
            const std::size_t size =
                    from->async_read_some(boost::asio::buffer(segment), yield[error]);
            if (error)
                break;
            if (isLimited) {
                const std::chrono::duration<double> time(static_cast<double>(size)
                                                         / state->bytesPerSecond);
                state->freeAt = std::max(state->freeAt, Clock::now())
                                + std::chrono::duration_cast<Clock::duration>(time);
                state->sentBytes += size;
                timer.expires_at(state->freeAt);
                timer.async_wait(yield[error]);
            }
            boost::asio::async_write(*to, boost::asio::buffer(segment, size), yield[error]);
        }
        boost::system::error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    StatePtr state_;
};

} // namespace chervilfield::entry
