#pragma once

#include "base/event_log.h"
#include "entry/view_updater.h"
#include "net/address.h"
#include "net/http_client.h"

#include <boost/asio/spawn.hpp>

#include <memory>
#include <set>
#include <string>

namespace chervilfield::entry {

/// Copies rows of the store from other instances. Runs on the thread of the client.
class RowFetcher
{
public:
    /// The referenced objects must outlive the fetcher.
    RowFetcher(net::HttpClient &client, ViewUpdater &viewUpdater, base::EventLog &log);

    /// Fetches the changed rows of a table from a peer and merges them, after an earlier fetch of
    /// the table has ended. Returns true if the peer is up to date.
    bool fetch(const net::Address &peer, const std::string &table,
               const boost::asio::yield_context &yield);

    /// Returns true while a fetch of the table is in progress.
    bool isFetching(const std::string &table) const { return activeTables_->contains(table); }

private:
    net::HttpClient &client_;
    ViewUpdater &viewUpdater_;
    base::EventLog &log_;
    /// Tables with a fetch in progress.
    std::shared_ptr<std::set<std::string>> activeTables_ =
            std::make_shared<std::set<std::string>>();
};

} // namespace chervilfield::entry
