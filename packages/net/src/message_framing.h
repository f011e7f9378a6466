#pragma once

#include <boost/beast/http/message.hpp>

namespace chervilfield::net::detail {

/// Returns true if the length of the message can be determined reliably (RFC 9112, 6.1 and 6.3).
/// Messages that lack or combine lengths are left to the parser, which ignores transfer codings
/// other than a final "chunked".
bool hasReliableLength(unsigned httpVersion, const boost::beast::http::fields &fields,
                       bool isChunked);

} // namespace chervilfield::net::detail
