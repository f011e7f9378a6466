#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::net {

/// Header field of an HTTP message. Names are case-insensitive.
struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// Returns the value of the first field with this name, or no value if there is none. The result is
/// valid until `headers` changes.
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);

/// HTTP/1.1 request with its complete body.
struct Request
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query, as in the request line.
    Headers headers;
    std::string body;
    /// Whether a second transmission of the request has no further effect. `HttpClient::open()`
    /// sends only such a request over a pooled connection, and repeats it if that connection was
    /// closed.
    bool idempotent = true;
    /// If not null, the client sends this instead of `body` and makes no copy of it.
    std::shared_ptr<const std::string> sharedBody{};
};

/// HTTP/1.1 response with its complete body.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
};

/// Returns the path of a request target, without the query.
std::string_view pathOf(std::string_view target);

/// Returns the percent-decoded value of the query parameter `name`, or no value if it is absent.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

/// Percent-encodes all characters of `text` that a query value may not contain.
std::string percentEncode(std::string_view text);

/// Returns a response with a JSON body.
Response jsonResponse(int status, std::string body);

} // namespace chervilfield::net
