#include "entry/row_fetcher.h"

#include "base/result.h"
#include "peers/exchange.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <numeric>
#include <system_error>
#include <utility>

namespace chervilfield::entry {

using std::chrono::milliseconds;

namespace {

// Several round trips between data centres.
constexpr milliseconds kHeadTimeout{ 300 };
// Many instances may share the link of the peer.
constexpr net::TransferLimits kLimits{ .headTimeout = kHeadTimeout,
                                       .progressTimeout = milliseconds(1000),
                                       .maxTime = milliseconds(5000) };
// The rows of targets are small, and another peer should be asked soon.
constexpr net::TransferLimits kTargetLimits{ .headTimeout = kHeadTimeout,
                                             .progressTimeout = milliseconds(300),
                                             .maxTime = milliseconds(1000) };
constexpr milliseconds kWaitInterval{ 20 };
// Smaller transfers are frequent, and a line for each would hide the others.
constexpr std::size_t kMinLoggedBytes = 16U << 10U;

std::size_t valueBytes(const peers::ConfigurationEntries &entries)
{
    return std::accumulate(entries.entries.begin(), entries.entries.end(), std::size_t{ 0 },
                           [](std::size_t sum, const peers::ConfigurationEntry &entry) {
                               return sum + entry.value.size();
                           });
}

// Removes the table from the active ones at the end of a fetch, which may be after the end of the
// fetcher, when the context destroys its coroutines.
class ActiveTable
{
public:
    ActiveTable(std::shared_ptr<std::set<std::string>> tables, std::string table)
        : tables_(std::move(tables)), table_(std::move(table))
    {
    }
    ~ActiveTable() { tables_->erase(table_); }
    ActiveTable(const ActiveTable &) = delete;
    ActiveTable &operator=(const ActiveTable &) = delete;

private:
    std::shared_ptr<std::set<std::string>> tables_;
    std::string table_;
};

} // namespace

RowFetcher::RowFetcher(net::HttpClient &client, ViewUpdater &viewUpdater, base::EventLog &log)
    : client_(client), viewUpdater_(viewUpdater), log_(log)
{
}

bool RowFetcher::fetch(const net::Address &peer, const std::string &table,
                       const boost::asio::yield_context &yield)
{
    // A second copy of the same rows would halve the bandwidth of the first one.
    while (!activeTables_->insert(table).second) {
        boost::asio::steady_timer timer(yield.get_executor(), kWaitInterval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
    const ActiveTable active(activeTables_, table);
    const auto requestedAt = ViewUpdater::Clock::now();
    const fleet::StoreVersion known = viewUpdater_.storeVersion(table);
    const peers::EntriesQuery query{
        .after = known.version, .table = table, .acceptsCompressed = true, .storeEra = known.era
    };
    std::error_code error;
    const bool hasTargets = table == viewUpdater_.schema().targetTable;
    const auto entries = peers::fetchEntries(client_, peer, query,
                                             hasTargets ? kTargetLimits : kLimits, yield, error);
    const std::size_t bytes = entries ? valueBytes(*entries) : 0;
    if (!entries || bytes >= kMinLoggedBytes)
        log_.write("rows", entries ? "fetched" : "fetch-failed",
                   { { "peer", toString(peer) },
                     { "table", table },
                     { "after", query.after },
                     { "bytes", bytes },
                     { "took_ms", ViewUpdater::Clock::now() - requestedAt },
                     { "result", base::resultInfo(base::toResult(error)).name } });
    return entries && viewUpdater_.merge(*entries, requestedAt, table);
}

} // namespace chervilfield::entry
