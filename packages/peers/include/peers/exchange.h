#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/transfer.h"

#include <chrono>
#include <functional>
#include <optional>
#include <system_error>
#include <vector>

namespace chervilfield::peers {

/// What a daemon answers to its peers over TCP. The functions run on the thread of the HTTP server
/// and must not block.
struct ExchangeSource
{
    /// Takes the peer's member table and returns this daemon's.
    std::function<std::vector<membership::Member>(std::vector<membership::Member>)> exchangeTable;
    /// Returns the entries of the configuration log after the revision.
    std::function<ConfigurationEntries(std::uint64_t after)> entriesAfter;
};

/// Returns the handler of the peer address: `POST /peer/v1/members` and
/// `GET /peer/v1/configuration?after=<revision>`.
net::Handler makeExchangeHandler(ExchangeSource source);

/// Sends this daemon's member table and returns the peer's, or sets `error`: an error of the HTTP
/// client, or `TargetFailed` if the answer is not a member table.
std::optional<std::vector<membership::Member>>
exchangeTable(net::HttpClient &client, const net::Address &peer,
              const std::vector<membership::Member> &table, std::chrono::milliseconds timeout,
              boost::asio::yield_context yield, std::error_code &error);

/// Returns the peer's configuration entries after a revision, or sets `error` as above.
std::optional<ConfigurationEntries> fetchEntries(net::HttpClient &client, const net::Address &peer,
                                                 std::uint64_t after,
                                                 std::chrono::milliseconds timeout,
                                                 boost::asio::yield_context yield,
                                                 std::error_code &error);

} // namespace chervilfield::peers
