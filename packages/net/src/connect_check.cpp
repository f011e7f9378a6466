#include "net/connect_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace chervilfield::net {

bool refusesConnection(const Address &address, std::chrono::milliseconds timeout,
                       boost::asio::yield_context yield)
{
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(address.host, error);
    if (error)
        return false;
    boost::beast::tcp_stream stream(yield.get_executor());
    stream.expires_after(timeout);
    stream.async_connect({ host, address.port }, yield[error]);
    return error == boost::asio::error::connection_refused;
}

} // namespace chervilfield::net
