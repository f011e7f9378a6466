#pragma once

#include "base/event_log.h"
#include "entry/view_updater.h"
#include "net/address.h"
#include "net/http_client.h"

#include <boost/asio/spawn.hpp>

namespace chervilfield::entry {

/// Copies rows of the store from other instances. Runs on the thread of the client.
class RowFetcher
{
public:
    /// The referenced objects must outlive the fetcher.
    RowFetcher(net::HttpClient &client, ViewUpdater &viewUpdater, base::EventLog &log);

    /// Fetches the changed rows from a peer and merges them. Returns true if the peer is up to
    /// date.
    bool fetch(const net::Address &peer, const boost::asio::yield_context &yield);

private:
    net::HttpClient &client_;
    ViewUpdater &viewUpdater_;
    base::EventLog &log_;
};

} // namespace chervilfield::entry
