#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::orders {

/// What a caller sent to identify a call that must not be repeated.
struct IdentityHeaders
{
    std::optional<std::string> idempotencyKey;
    std::optional<std::string> orderTicket;
};

enum class IdentityKind { Key, Ticket };

/// Identity of an order. All attempts with the same identity are the same order.
struct Identity
{
    IdentityKind kind = IdentityKind::Key;
    std::string customer;
    std::string value; ///< The idempotency key or the ticket.

    bool operator==(const Identity &) const = default;
};

/// Longest idempotency key or ticket that is accepted, in bytes.
inline constexpr std::size_t kMaxIdentityLength = 200;

/// Returns the identity of a call. A ticket takes precedence, and a call that carries one is never
/// identified by its key: a retry of it at another instance would otherwise run under the key.
/// Errors: `MissingIdempotencyKey`, `InvalidField` (empty, too long or not printable ASCII).
std::optional<Identity> identify(std::string_view customer, const IdentityHeaders &headers,
                                 std::error_code &error);

/// Returns the table row of an order placed by key: `orders/<customer>/<key>`. Both parts are
/// percent-encoded, so that a slash in a key cannot address the row of another customer.
std::string rowKey(const Identity &identity);

/// The parts of a request that make it the same request as another one.
struct RequestParts
{
    std::string_view method;
    std::string_view path; ///< Path and query.
    std::string_view contentType;
    std::string_view body;
};

/// Returns a 128-bit fingerprint of the request as 32 hexadecimal digits. It detects the reuse of a
/// key for a different request; it is not a cryptographic hash.
std::string fingerprint(const RequestParts &request);

} // namespace chervilfield::orders
