#include "entry/row_fetcher.h"

#include "base/result.h"
#include "peers/exchange.h"

#include <chrono>
#include <numeric>
#include <system_error>

namespace chervilfield::entry {

using std::chrono::milliseconds;

namespace {

// The head timeout is several round trips between data centres. Many instances may share the link
// of the peer.
constexpr net::TransferLimits kLimits{ .headTimeout = milliseconds(300),
                                       .progressTimeout = milliseconds(1000),
                                       .maxTime = milliseconds(5000) };
// Smaller transfers are frequent, and a line for each would hide the others.
constexpr std::size_t kMinLoggedBytes = 16U << 10U;

std::size_t valueBytes(const peers::ConfigurationEntries &entries)
{
    return std::accumulate(entries.entries.begin(), entries.entries.end(), std::size_t{ 0 },
                           [](std::size_t sum, const peers::ConfigurationEntry &entry) {
                               return sum + entry.value.size();
                           });
}

} // namespace

RowFetcher::RowFetcher(net::HttpClient &client, ViewUpdater &viewUpdater, base::EventLog &log)
    : client_(client), viewUpdater_(viewUpdater), log_(log)
{
}

bool RowFetcher::fetch(const net::Address &peer, const boost::asio::yield_context &yield)
{
    const auto requestedAt = ViewUpdater::Clock::now();
    const std::uint64_t after = viewUpdater_.version();
    std::error_code error;
    const auto entries = peers::fetchEntries(client_, peer, after, kLimits, yield, error);
    const std::size_t bytes = entries ? valueBytes(*entries) : 0;
    if (!entries || bytes >= kMinLoggedBytes)
        log_.write("rows", entries ? "fetched" : "fetch-failed",
                   { { "peer", toString(peer) },
                     { "after", after },
                     { "bytes", bytes },
                     { "took_ms", ViewUpdater::Clock::now() - requestedAt },
                     { "result", base::resultInfo(base::toResult(error)).name } });
    return entries && viewUpdater_.merge(*entries, requestedAt);
}

} // namespace chervilfield::entry
