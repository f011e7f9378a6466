#pragma once

#include "base/time_line.h"
#include "control/configuration_control.h"
#include "control/configuration_log.h"
#include "net/http_message.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::admin {

/// The revision that an instance has in force, as far as this daemon knows.
struct InstanceStatus
{
    std::string instance;
    std::string dataCentre;
    configuration::RevisionNumber revision = 0;
};

/// What the API needs from other parts of the daemon. Functions that are not set answer 404, and
/// the status then lists this instance only. They run on the thread of the API.
struct AdminHooks
{
    InstanceStatus self; ///< `revision` is ignored.
    std::function<std::vector<InstanceStatus>()> peers;
    std::function<net::Response(const net::Request &)> explain;
    std::function<void()> drain;
    base::TimeLine *timeLine = nullptr;
    /// Returns the time lines of the other instances after a time, each as `timeLineJson` makes it.
    std::function<std::vector<std::string>(const std::string &after, boost::asio::yield_context)>
            peerTimeLines;
};

/// Returns `{"events":[...]}` with the events of this process later than `after`, which is written
/// as `<milliseconds>.<counter>`, or no value if it is not.
std::optional<std::string> timeLineJson(const base::TimeLine &timeLine, const std::string &after);

/// The operators' API of one daemon (section 3.4 of the design). All functions run on the thread of
/// `context`. `docs/operators.md` describes requests and responses.
class AdminApi
{
public:
    AdminApi(boost::asio::io_context &context, control::ConfigurationControl &control,
             control::ConfigurationLog &log, AdminHooks hooks);

    /// Returns the response to one request. Errors are responses with a body as callers get it,
    /// and with `errors`, the list of faults of a change.
    net::Response handle(const net::Request &request, boost::asio::yield_context yield);

    /// Returns a handler for `net::HttpServer`; this object must outlive it.
    net::Handler handler();

private:
    net::Response apply(const net::Request &request, boost::asio::yield_context yield);
    net::Response get(const net::Request &request) const;
    net::Response status() const;
    net::Response timeLine(const net::Request &request, boost::asio::yield_context yield) const;
    net::Response drain(const net::Request &request) const;
    void adopt(const control::ApplyResult &result, bool dryRun, boost::asio::yield_context yield);

    boost::asio::io_context &context_;
    control::ConfigurationControl &control_;
    control::ConfigurationLog &log_;
    AdminHooks hooks_;
};

} // namespace chervilfield::admin
