#pragma once

#include "control/configuration_control.h"
#include "control/configuration_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace chervilfield::control {

/// Options of `ConfigurationFollower`.
struct ConfigurationFollowerOptions
{
    /// Mean time between two polls. A random jitter of up to 20 % either way spreads the load of
    /// many daemons.
    std::chrono::milliseconds pollInterval{ 1000 };
    /// Returns the entries of a peer after a revision (see `ConfigurationControl::entriesAfter`);
    /// empty if no peer has any. The function must enforce its own timeout.
    std::function<std::vector<LogEntry>(RevisionNumber after, boost::asio::yield_context yield)>
            fetchFromPeers;
    /// Time after which `start()` also fetches from a peer if the platform has not answered.
    std::chrono::milliseconds peerFetchDelay{ 100 };
    /// Time after which `start()` returns if any configuration is in force. A daemon must be ready
    /// within 1 s while the store is down, and a request to a hanging store takes nearly that long.
    std::chrono::milliseconds startTimeout{ 500 };
};

/// Source of the first configuration of a daemon.
enum class StartSource { Nothing, Table, Objects, Peers };

/// Fetches log entries from the table, the object service and peers, and offers them to
/// `ConfigurationControl`. Runs on the control I/O thread and holds no configuration itself. The
/// follower and the `ConfigurationLog` that it is given must not be destroyed before `context` has
/// stopped.
class ConfigurationFollower
{
public:
    ConfigurationFollower(boost::asio::io_context &context, ConfigurationControl &control,
                          ConfigurationFollowerOptions options);

    /// Fetches the first configuration from the table; if the table does not answer, from the
    /// object service and a peer. Returns once the configuration is in force. Its revision is 0
    /// only if the log is empty or no source has answered. Requests that are still open after
    /// `startTimeout` continue in the background.
    StartSource start(ConfigurationLog &log, boost::asio::yield_context yield);

    /// Polls the table once per interval and after each `requestPoll()`, until `stop()` is called.
    void run(ConfigurationLog &log, boost::asio::yield_context yield);

    /// Makes `run()` poll without waiting for the interval. May be called from any thread.
    void requestPoll();

    /// Makes `run()` return. May be called from any thread.
    void stop();

private:
    void poll(ConfigurationLog &log, boost::asio::yield_context yield);
    void fetchEntriesFromPeers(boost::asio::yield_context yield);
    void fetchEntriesFromObjects(ConfigurationLog &log, boost::asio::yield_context yield);
    void waitUntilInForce(RevisionNumber revision, boost::asio::yield_context yield);
    StartSource startFromPlatform(ConfigurationLog &log, boost::asio::yield_context yield);

    boost::asio::io_context &context_;
    ConfigurationControl &control_;
    ConfigurationFollowerOptions options_;
    boost::asio::steady_timer timer_;
    bool isPollRequested_ = false;
    bool isStopped_ = false;
    bool isTableReachable_ = true;
};

/// Returns "nothing", "table", "objects" or "peers".
std::string_view toString(StartSource source);

} // namespace chervilfield::control
