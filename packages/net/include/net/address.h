#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilfield::net {

/// Numeric IPv4 address and port of an endpoint.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/// Parses "a.b.c.d:port". Returns no value if the text has another form. Host names are not
/// resolved.
std::optional<Address> parseAddress(std::string_view text);

/// Formats an address as "a.b.c.d:port".
std::string toString(const Address &address);

} // namespace chervilfield::net
