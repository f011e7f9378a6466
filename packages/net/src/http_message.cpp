#include "net/http_message.h"

#include <algorithm>
#include <cctype>

namespace chervilfield::net {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0
                             && hexValue(text[i + 2]) >= 0;
        if (escaped) {
            decoded += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (percentDecode(pair.substr(0, equals)) != name)
            continue;
        return equals == std::string_view::npos ? std::string()
                                                : percentDecode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    constexpr std::string_view kUnreserved = "-._~/:";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || kUnreserved.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            encoded += '%';
            encoded += kDigits[byte / 16];
            encoded += kDigits[byte % 16];
        }
    }
    return encoded;
}

Response jsonResponse(int status, std::string body)
{
    return { .status = status,
             .headers = { { "Content-Type", "application/json" } },
             .body = std::move(body) };
}

} // namespace chervilfield::net
