#include "net/address.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace chervilfield::net {

std::optional<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Address address{ .host = std::string(text.substr(0, colon)) };
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size())
        return std::nullopt;
    boost::system::error_code invalid;
    boost::asio::ip::make_address_v4(address.host, invalid);
    if (invalid)
        return std::nullopt;
    return address;
}

std::string toString(const Address &address)
{
    return address.host + ':' + std::to_string(address.port);
}

} // namespace chervilfield::net
