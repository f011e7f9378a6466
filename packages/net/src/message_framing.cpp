#include "message_framing.h"

#include <boost/beast/core/string.hpp>

#include <iterator>
#include <string_view>

namespace chervilfield::net::detail {

namespace http = boost::beast::http;

namespace {

std::string_view trimmed(std::string_view value)
{
    constexpr std::string_view kWhiteSpace = " \t";
    const std::size_t begin = value.find_first_not_of(kWhiteSpace);
    if (begin == std::string_view::npos)
        return {};
    return value.substr(begin, value.find_last_not_of(kWhiteSpace) + 1 - begin);
}

} // namespace

bool hasReliableLength(unsigned httpVersion, const http::fields &fields, bool isChunked)
{
    const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
    if (begin == end)
        return true;
    constexpr unsigned kHttp11 = 11;
    return httpVersion >= kHttp11 && isChunked && std::next(begin) == end
           && boost::beast::iequals(trimmed(begin->value()), "chunked");
}

} // namespace chervilfield::net::detail
