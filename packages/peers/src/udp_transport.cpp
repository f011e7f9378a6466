#include "peers/udp_transport.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <array>
#include <atomic>

namespace chervilfield::peers {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// When many daemons restart together, up to two datagrams per member arrive at once.
constexpr int kReceiveBufferBytes = 1 << 20;

net::Address toAddress(const udp::endpoint &endpoint)
{
    return { endpoint.address().to_string(), endpoint.port() };
}

} // namespace

// Handlers that are pending in the context share ownership, so that they may run after the
// transport is destroyed.
class UdpTransport::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::io_context &context, Receiver receiver)
        : context_(context), socket_(context), receiver_(std::move(receiver))
    {
    }

    void open(const net::Address &address, std::error_code &error)
    {
        boost::system::error_code failure;
        const auto host = asio::ip::make_address(address.host, failure);
        if (!failure)
            socket_.open(host.is_v4() ? udp::v4() : udp::v6(), failure);
        if (!failure)
            socket_.bind({ host, address.port }, failure);
        if (!failure)
            socket_.non_blocking(true, failure);
        if (!failure) {
            boost::system::error_code ignored;
            socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
                               ignored);
            localAddress_ = toAddress(socket_.local_endpoint(failure));
        }
        error = failure;
        if (!error)
            asio::post(context_, [self = shared_from_this()] { self->receive(); });
    }

    void close()
    {
        isClosed_ = true;
        asio::post(context_, [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->socket_.close(ignored);
        });
    }

    void send(const net::Address &to, const Datagram &datagram)
    {
        auto bytes = encode(datagram);
        boost::system::error_code error;
        const auto host = asio::ip::make_address(to.host, error);
        if (!bytes || error) {
            ++failedSends_;
            return;
        }
        asio::post(context_, [self = shared_from_this(), endpoint = udp::endpoint(host, to.port),
                              content = *std::move(bytes)] { self->write(endpoint, content); });
    }

    const net::Address &localAddress() const { return localAddress_; }

    TransportCounters counters() const
    {
        return { .sentBytes = sentBytes_,
                 .sentDatagrams = sentDatagrams_,
                 .receivedBytes = receivedBytes_,
                 .receivedDatagrams = receivedDatagrams_,
                 .rejectedDatagrams = rejectedDatagrams_,
                 .failedSends = failedSends_ };
    }

private:
    void write(const udp::endpoint &endpoint, const std::string &bytes)
    {
        if (isClosed_)
            return;
        boost::system::error_code error;
        socket_.send_to(asio::buffer(bytes), endpoint, 0, error);
        // A datagram that does not fit into the send buffer is lost, which the protocols tolerate.
        if (error) {
            ++failedSends_;
            return;
        }
        sentBytes_ += bytes.size();
        ++sentDatagrams_;
    }

    void receive()
    {
        if (isClosed_)
            return;
        socket_.async_receive_from(
                asio::buffer(buffer_), senderEndpoint_,
                [self = shared_from_this()](const boost::system::error_code &error,
                                            std::size_t size) {
                    if (error == asio::error::operation_aborted)
                        return;
                    // Other errors only report that a receiver refused an earlier datagram (ICMP),
                    // so receiving continues.
                    if (!error && !self->isClosed_)
                        self->handle(size);
                    self->receive();
                });
    }

    void handle(std::size_t size)
    {
        receivedBytes_ += size;
        ++receivedDatagrams_;
        auto datagram = decode(std::string_view(buffer_.data(), size));
        if (!datagram) {
            ++rejectedDatagrams_;
            LOG_EVERY_N(WARNING, 1000)
                    << "[peers] datagram of " << size << " bytes from "
                    << net::toString(toAddress(senderEndpoint_)) << " is malformed";
            return;
        }
        receiver_(toAddress(senderEndpoint_), *std::move(datagram));
    }

    asio::io_context &context_;
    udp::socket socket_;
    Receiver receiver_;
    net::Address localAddress_;
    udp::endpoint senderEndpoint_;
    // One byte larger than the maximum, so that a longer datagram is detected instead of truncated
    // to a valid size.
    std::array<char, kMaxDatagramBytes + 1> buffer_{};
    std::atomic<bool> isClosed_{ false };
    std::atomic<std::uint64_t> sentBytes_{ 0 };
    std::atomic<std::uint64_t> sentDatagrams_{ 0 };
    std::atomic<std::uint64_t> receivedBytes_{ 0 };
    std::atomic<std::uint64_t> receivedDatagrams_{ 0 };
    std::atomic<std::uint64_t> rejectedDatagrams_{ 0 };
    std::atomic<std::uint64_t> failedSends_{ 0 };
};

UdpTransport::UdpTransport(asio::io_context &context, Receiver receiver)
    : implementation_(std::make_shared<Implementation>(context, std::move(receiver)))
{
}

UdpTransport::~UdpTransport()
{
    implementation_->close();
}

void UdpTransport::open(const net::Address &address, std::error_code &error)
{
    implementation_->open(address, error);
}

net::Address UdpTransport::localAddress() const
{
    return implementation_->localAddress();
}

void UdpTransport::send(const net::Address &to, const Datagram &datagram)
{
    implementation_->send(to, datagram);
}

TransportCounters UdpTransport::counters() const
{
    return implementation_->counters();
}

} // namespace chervilfield::peers
