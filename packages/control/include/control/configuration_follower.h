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

struct ConfigurationFollowerOptions
{
    std::chrono::milliseconds pollInterval{ 1000 }; ///< Varied by a fifth to spread the load.
    /// Returns a peer's entries after a revision (see `ConfigurationControl::entriesAfter`), or
    /// nothing. It must limit its own time.
    std::function<std::vector<LogEntry>(RevisionNumber after, boost::asio::yield_context yield)>
            fetchFromPeers;
    /// A start asks a peer as well if the platform has not answered for this long.
    std::chrono::milliseconds peerFetchDelay{ 100 };
    /// A start ends after this time with what is in force, if anything is. The limit for readiness
    /// with the store down is 1 s, and a request to a store that hangs takes nearly as long.
    std::chrono::milliseconds startTimeout{ 500 };
};

/// Where a daemon got its first configuration from.
enum class StartSource { Nothing, Table, Objects, Peers };

/// Brings log entries from the table, the object service and peers to the owner of the
/// configuration in force. Runs on the control I/O thread and owns no state of the configuration.
/// Destroy it only after `context` has stopped.
class ConfigurationFollower
{
public:
    ConfigurationFollower(boost::asio::io_context &context, ConfigurationControl &control,
                          ConfigurationFollowerOptions options);

    /// Offers the first configuration: from the table, else from the object service and a peer.
    /// Returns once the configuration is in force; its revision may be 0 only if the log is empty
    /// or no source has answered. Requests that are open at `startTimeout` go on.
    StartSource start(ConfigurationLog &log, boost::asio::yield_context yield);

    /// Polls the table at each interval and after `requestPoll()`, until `stop()`.
    void run(ConfigurationLog &log, boost::asio::yield_context yield);

    /// Polls without waiting for the interval. May be called from any thread.
    void requestPoll();

    /// Ends `run()`. May be called from any thread.
    void stop();

private:
    void poll(ConfigurationLog &log, boost::asio::yield_context yield);
    void askPeers(boost::asio::yield_context yield);
    void askObjects(ConfigurationLog &log, boost::asio::yield_context yield);
    void waitInForce(RevisionNumber revision, boost::asio::yield_context yield);
    StartSource startFromPlatform(ConfigurationLog &log, boost::asio::yield_context yield);

    boost::asio::io_context &context_;
    ConfigurationControl &control_;
    ConfigurationFollowerOptions options_;
    boost::asio::steady_timer timer_;
    bool kicked_ = false;
    bool stopped_ = false;
    bool tableAnswers_ = true;
};

/// Returns "nothing", "table", "objects" or "peers".
std::string_view toString(StartSource source);

} // namespace chervilfield::control
