#pragma once

#include "net/address.h"
#include "peers/datagram.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace chervilfield::peers {

/// Traffic counters of a transport since it was opened. Bytes exclude IP and UDP headers.
struct TransportCounters
{
    std::uint64_t sentBytes = 0;
    std::uint64_t sentDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t rejectedDatagrams = 0; ///< Received datagrams that were malformed.
    /// Datagrams that were too large, had an invalid address or were refused by the kernel.
    std::uint64_t failedSends = 0;
};

/// A UDP socket for datagrams between daemons. It keeps no protocol state. The receiver is called
/// on the thread that runs `context`; `send` may be called from any thread. Destroy the transport
/// on that thread or after the context has stopped; the receiver is not called afterwards.
class UdpTransport
{
public:
    using Receiver = std::function<void(const net::Address &from, Datagram datagram)>;

    UdpTransport(boost::asio::io_context &context, Receiver receiver);
    ~UdpTransport();
    UdpTransport(const UdpTransport &) = delete;
    UdpTransport &operator=(const UdpTransport &) = delete;

    /// Binds the socket and starts to receive. With port 0 the kernel chooses the port. Sets
    /// `error` if binding fails. Must be called before the other functions.
    void open(const net::Address &address, std::error_code &error);

    /// Returns the bound address.
    net::Address localAddress() const;

    /// Encodes the datagram on the calling thread and sends it without confirmation of delivery.
    /// Failures only count in `TransportCounters::failedSends`.
    void send(const net::Address &to, const Datagram &datagram);

    /// Returns the current counters. May be called from any thread.
    TransportCounters counters() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace chervilfield::peers
