#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::orders {

/// Headers with which a caller identifies a call that must not run twice.
struct IdentityHeaders
{
    std::optional<std::string> idempotencyKey; ///< Value of `Idempotency-Key`.
    std::optional<std::string> orderTicket;    ///< Value of `Order-Ticket`.
};

/// Kind of an order's identity.
enum class IdentityKind {
    Key,   ///< Idempotency key that the caller chose.
    Ticket ///< Single-use ticket that a process of the router issued.
};

/// Identity of an order. All attempts with the same identity are the same order.
struct Identity
{
    IdentityKind kind = IdentityKind::Key;
    std::string customer;
    std::string value; ///< The idempotency key or the ticket.

    bool operator==(const Identity &) const = default;
};

/// Maximum length of an idempotency key or ticket, in bytes.
inline constexpr std::size_t kMaxIdentityLength = 200;

/// Returns the identity of a call. A call with a ticket is always identified by the ticket, never
/// by its key: otherwise a retry at another instance, which does not know the ticket, would run the
/// order again under the key. Errors: `MissingIdempotencyKey`, `InvalidField` (empty, too long or
/// not printable ASCII).
std::optional<Identity> identify(std::string_view customer, const IdentityHeaders &headers,
                                 std::error_code &error);

/// Returns the table key of an order that is identified by an idempotency key:
/// `orders/<customer>/<key>`. Both parts are percent-encoded, so that a slash in a key cannot
/// address the row of another customer.
std::string rowKey(const Identity &identity);

/// Parts of a request that the fingerprint covers.
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
