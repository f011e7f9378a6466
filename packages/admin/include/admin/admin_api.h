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

/// The latest revision that this daemon knows an instance to have in force.
struct InstanceStatus
{
    std::string instance;
    std::string dataCentre;
    configuration::RevisionNumber revision = 0;
};

/// Functions and data that other parts of the daemon provide to the API. All functions run on the
/// thread of the API. A request that needs an unset `explain`, `drain` or `timeLine` is answered
/// with 404. Without `peers`, the status lists this instance only.
struct AdminHooks
{
    InstanceStatus self; ///< This instance; its `revision` is ignored.
    std::function<std::vector<InstanceStatus>()> peers;
    std::function<net::Response(const net::Request &)> explain;
    std::function<void()> drain;
    base::TimeLine *timeLine = nullptr; ///< The events of this process. Not owned.
    /// Returns the time lines of the other instances after a time, each as returned by
    /// `timeLineJson`. If not set, responses hold only the events of this process.
    std::function<std::vector<std::string>(const std::string &after, boost::asio::yield_context)>
            peerTimeLines;
};

/// Returns `{"events":[...]}` with the events of this process later than `after`, or no value if
/// `after` does not have the form `<milliseconds>[.<counter>]`.
std::optional<std::string> timeLineJson(const base::TimeLine &timeLine, const std::string &after);

/// Administration API of one daemon, for operators (section 3.4 of the design). All functions must
/// be called on the thread of `context`. `docs/operators.md` describes requests and responses.
class AdminApi
{
public:
    /// Keeps references to `context`, `control` and `log`, which must outlive this object.
    AdminApi(boost::asio::io_context &context, control::ConfigurationControl &control,
             control::ConfigurationLog &log, AdminHooks hooks);

    /// Returns the response to one request. An error response has the same body as one to a caller.
    /// For a change, the body also has `revision`, the latest revision, and `errors`, the list of
    /// faults of the change.
    net::Response handle(const net::Request &request, boost::asio::yield_context yield);

    /// Returns a handler for `net::HttpServer`; this object must outlive it.
    net::Handler handler();

private:
    net::Response apply(const net::Request &request, boost::asio::yield_context yield);
    net::Response get(const net::Request &request) const;
    net::Response status() const;
    net::Response timeLine(const net::Request &request, boost::asio::yield_context yield) const;
    net::Response drain(const net::Request &request) const;
    void putInForce(const control::ApplyResult &result, bool isDryRun,
                    boost::asio::yield_context yield);

    boost::asio::io_context &context_;
    control::ConfigurationControl &control_;
    control::ConfigurationLog &log_;
    AdminHooks hooks_;
};

} // namespace chervilfield::admin
