#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/transfer.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace chervilfield::peers {

/// Selects configuration entries of a daemon.
struct EntriesQuery
{
    std::uint64_t after = 0; ///< Only entries with a greater revision are selected.
    /// Name of a table of the store; only its rows are selected. Empty for the entries of all
    /// tables. The product's own configuration has no tables.
    std::string table;
    bool acceptsCompressed = false; ///< Whether values may be compressed.
    /// Era of the store that `after` belongs to. A peer in a later era sends all entries. The
    /// product's own configuration has no eras.
    std::uint64_t storeEra = 0;
};

/// Functions that supply the responses to requests of peers over TCP. They run on the thread of the
/// HTTP server and must not block.
struct ExchangeSource
{
    /// Receives the member table of the peer and returns the table of this daemon.
    std::function<std::vector<membership::Member>(std::vector<membership::Member>)> exchangeTable;
    /// Returns the selected entries in ascending order of revisions.
    std::function<ConfigurationEntries(const EntriesQuery &)> entries;
};

/// Returns the handler for the HTTP server on the peer address. It serves `POST /peer/v1/members`
/// and `GET /peer/v1/configuration?after=<revision>&table=<name>&compression=zstd&era=<era>`, in
/// which `table`, `compression` and `era` are optional.
net::Handler makeExchangeHandler(ExchangeSource source);

/// Sends the member table of this daemon and returns the table of the peer. On failure, returns no
/// value and sets `error` to the error of the HTTP client, or to `TargetFailed` if the response is
/// not a member table. Must be called on the thread of `client`.
std::optional<std::vector<membership::Member>>
exchangeTable(net::HttpClient &client, const net::Address &peer,
              const std::vector<membership::Member> &table, std::chrono::milliseconds timeout,
              boost::asio::yield_context yield, std::error_code &error);

/// Returns the peer's entries that `query` selects. They may hold a whole configuration, so the
/// call is limited by progress. Errors and thread are the same as for `exchangeTable`.
std::optional<ConfigurationEntries> fetchEntries(net::HttpClient &client, const net::Address &peer,
                                                 const EntriesQuery &query,
                                                 const net::TransferLimits &limits,
                                                 boost::asio::yield_context yield,
                                                 std::error_code &error);

} // namespace chervilfield::peers
