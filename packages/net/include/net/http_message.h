#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::net {

/// One header field of an HTTP message. Names compare without regard to case.
struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// Returns the value of the first field called `name`, or no value if there is none. The view is
/// valid as long as `headers` is unchanged.
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);

/// An HTTP/1.1 request with its whole body.
struct Request
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query, as in the request line.
    Headers headers;
    std::string body;
    /// True if sending the request a second time has no further effect. Only such a request is
    /// sent over a pooled connection and repeated when that connection turns out to be closed.
    bool idempotent = true;
};

/// An HTTP/1.1 response with its whole body.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
};

/// Returns the path of a request target, without the query.
std::string_view pathOf(std::string_view target);

/// Returns the percent-decoded value of query parameter `name`, or no value if it is absent.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

/// Returns `text` with all characters percent-encoded that may not appear in a query value.
std::string percentEncode(std::string_view text);

/// Returns a response with a JSON body.
Response jsonResponse(int status, std::string body);

} // namespace chervilfield::net
