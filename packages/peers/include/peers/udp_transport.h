#pragma once

#include "net/address.h"
#include "peers/datagram.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace chervilfield::peers {

/// Traffic of a transport since it was opened, without IP and UDP headers.
struct TransportCounters
{
    std::uint64_t sentBytes = 0;
    std::uint64_t sentDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t rejectedDatagrams = 0; ///< Received datagrams that were malformed.
    std::uint64_t failedSends = 0; ///< Datagrams that were too large or that the kernel refused.
};

/// UDP socket for datagrams between daemons. It owns no protocol state: decoded datagrams go to the
/// receiver on the thread that runs `context`, and may be sent from any thread. Destroy it on that
/// thread or after the context has stopped; the receiver is not called afterwards.
class UdpTransport
{
public:
    using Receiver = std::function<void(const net::Address &from, Datagram datagram)>;

    UdpTransport(boost::asio::io_context &context, Receiver receiver);
    ~UdpTransport();
    UdpTransport(const UdpTransport &) = delete;
    UdpTransport &operator=(const UdpTransport &) = delete;

    /// Binds and starts to receive. Port 0 lets the kernel choose. Sets `error` if binding fails.
    void open(const net::Address &address, std::error_code &error);

    /// Returns the bound address.
    net::Address localAddress() const;

    /// Encodes the datagram on the calling thread and sends it. There is no report of delivery.
    void send(const net::Address &to, const Datagram &datagram);

    TransportCounters counters() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace chervilfield::peers
