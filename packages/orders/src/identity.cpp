#include "orders/identity.h"

#include "base/hash.h"
#include "base/result.h"

#include <algorithm>

namespace chervilfield::orders {

namespace {

bool isPrintable(char c)
{
    return c > ' ' && c < 0x7f;
}

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
           || c == '_' || c == '.' || c == '~';
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (isUnreserved(c)) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += kDigits[byte >> 4U];
        encoded += kDigits[byte & 0xfU];
    }
    return encoded;
}

void appendLengthPrefixed(std::string &text, std::string_view part)
{
    // The length prefix keeps ("ab", "c") and ("a", "bc") apart.
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

std::optional<Identity> identify(std::string_view customer, const IdentityHeaders &headers,
                                 std::error_code &error)
{
    error.clear();
    if (!headers.orderTicket && !headers.idempotencyKey) {
        error = base::Result::MissingIdempotencyKey;
        return std::nullopt;
    }
    const bool hasTicket = headers.orderTicket.has_value();
    const std::string &value = hasTicket ? *headers.orderTicket : *headers.idempotencyKey;
    if (value.empty() || value.size() > kMaxIdentityLength
        || !std::ranges::all_of(value, isPrintable)) {
        error = base::Result::InvalidField;
        return std::nullopt;
    }
    return Identity{ .kind = hasTicket ? IdentityKind::Ticket : IdentityKind::Key,
                     .customer = std::string(customer),
                     .value = value };
}

std::string rowKey(const Identity &identity)
{
    return "orders/" + percentEncode(identity.customer) + "/" + percentEncode(identity.value);
}

std::string fingerprint(const RequestParts &request)
{
    // Two hashes of 64 bits with different seeds give a fingerprint of 128 bits.
    constexpr std::uint64_t kFirstSeed = 0;
    constexpr std::uint64_t kSecondSeed = 0x9e3779b97f4a7c15ULL;
    std::string text;
    for (const std::string_view part :
         { request.method, request.path, request.contentType, request.body }) {
        appendLengthPrefixed(text, part);
    }
    return base::toHex(base::hash64(text, kFirstSeed))
           + base::toHex(base::hash64(text, kSecondSeed));
}

} // namespace chervilfield::orders
