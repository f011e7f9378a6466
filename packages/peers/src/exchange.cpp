#include "peers/exchange.h"

#include "base/result.h"

#include <glog/logging.h>

#include <charconv>

namespace chervilfield::peers {

namespace {

constexpr std::string_view kMembersPath = "/peer/v1/members";
constexpr std::string_view kConfigurationPath = "/peer/v1/configuration";
constexpr std::string_view kCompression = "zstd";
constexpr const char *kContentType = "application/x-thrift";

net::Response thriftResponse(std::string body)
{
    return { .status = 200,
             .headers = { { "Content-Type", kContentType } },
             .body = std::move(body) };
}

net::Response errorResponse(base::Result code)
{
    const base::ResultInfo &info = base::resultInfo(code);
    return { .status = info.httpStatus, .headers = {}, .body = std::string(info.name) };
}

net::Response answerMembers(const ExchangeSource &source, const net::Request &request)
{
    if (request.method != "POST")
        return errorResponse(base::Result::MethodNotAllowed);
    auto members = decodeTable(request.body);
    if (!members)
        return errorResponse(base::Result::InvalidField);
    return thriftResponse(encodeTable(source.exchangeTable(*std::move(members))));
}

// Returns no value if the text is not a number.
std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

net::Response answerConfiguration(const ExchangeSource &source, const net::Request &request)
{
    if (request.method != "GET")
        return errorResponse(base::Result::MethodNotAllowed);
    const auto after = parseNumber(net::queryParameter(request.target, "after").value_or(""));
    const auto era = parseNumber(net::queryParameter(request.target, "era").value_or("0"));
    if (!after || !era)
        return errorResponse(base::Result::InvalidField);
    const EntriesQuery query{
        .after = *after,
        .table = net::queryParameter(request.target, "table").value_or(""),
        .acceptsCompressed = net::queryParameter(request.target, "compression") == kCompression,
        .storeEra = *era
    };
    return thriftResponse(encodeEntries(source.entries(query)));
}

net::Response answer(const ExchangeSource &source, const net::Request &request)
{
    const std::string_view path = net::pathOf(request.target);
    if (path == kMembersPath)
        return answerMembers(source, request);
    if (path == kConfigurationPath)
        return answerConfiguration(source, request);
    return errorResponse(base::Result::UnknownPath);
}

// Sends the request and returns the body of a response with status 200; otherwise sets `error`.
std::optional<std::string> fetch(net::HttpClient &client, const net::Address &peer,
                                 const net::Request &request, const net::TransferLimits &limits,
                                 boost::asio::yield_context yield, std::error_code &error)
{
    auto response = client.send(peer, request, limits, std::move(yield), error);
    if (!response || error)
        return std::nullopt;
    if (response->status != 200) {
        LOG(WARNING) << "[peers] " << net::toString(peer) << " answered " << request.target
                     << " with status " << response->status << ", expected 200";
        error = base::Result::TargetFailed;
        return std::nullopt;
    }
    return std::move(response->body);
}

} // namespace

net::Handler makeExchangeHandler(ExchangeSource source)
{
    return [source = std::move(source)](net::Exchange &exchange, boost::asio::yield_context yield) {
        std::error_code error;
        exchange.respond(answer(source, exchange.request()), yield, error);
    };
}

std::optional<std::vector<membership::Member>>
exchangeTable(net::HttpClient &client, const net::Address &peer,
              const std::vector<membership::Member> &table, std::chrono::milliseconds timeout,
              boost::asio::yield_context yield, std::error_code &error)
{
    const net::Request request{ .method = "POST",
                                .target = std::string(kMembersPath),
                                .headers = { { "Content-Type", kContentType } },
                                .body = encodeTable(table) };
    const net::TransferLimits limits{ .headTimeout = timeout,
                                      .progressTimeout = timeout,
                                      .maxTime = timeout };
    const auto body = fetch(client, peer, request, limits, std::move(yield), error);
    if (!body)
        return std::nullopt;
    auto members = decodeTable(*body);
    if (!members)
        error = base::Result::TargetFailed;
    return members;
}

std::optional<ConfigurationEntries> fetchEntries(net::HttpClient &client, const net::Address &peer,
                                                 const EntriesQuery &query,
                                                 const net::TransferLimits &limits,
                                                 boost::asio::yield_context yield,
                                                 std::error_code &error)
{
    net::Request request{ .method = "GET",
                          .target = std::string(kConfigurationPath)
                                    + "?after=" + std::to_string(query.after),
                          .headers = {},
                          .body = {} };
    if (!query.table.empty())
        request.target += "&table=" + net::percentEncode(query.table);
    if (query.acceptsCompressed)
        request.target += "&compression=" + std::string(kCompression);
    if (query.storeEra > 0)
        request.target += "&era=" + std::to_string(query.storeEra);
    const auto body = fetch(client, peer, request, limits, std::move(yield), error);
    if (!body)
        return std::nullopt;
    auto entries = decodeEntries(*body);
    if (!entries)
        error = base::Result::TargetFailed;
    return entries;
}

} // namespace chervilfield::peers
