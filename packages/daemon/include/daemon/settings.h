#pragma once

#include "net/address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::daemon {

/// Settings of the table `entry`, for an instance on a platform whose store describes the
/// deployment. Times are written as numbers; the key gives the unit.
struct EntrySettings
{
    net::Address ready;     ///< `entry.ready`: address for readiness checks.
    net::Address directory; ///< `entry.directory`: address that serves the address lists.
    net::Address metrics;   ///< `entry.metrics`: address that serves the metrics.
    /// `entry.engines_check_fences`: whether engines refuse an old fencing token.
    bool enginesCheckFences = false;
    /// `entry.learn_performance`: whether the performance of targets is learned.
    bool learnsPerformance = false;
    /// `entry.lease_ms`: duration of the weight rollout lease.
    std::chrono::milliseconds leaseDuration{ 3000 };
    /// `entry.grace_s`: time from the stop signal until the platform kills the process.
    std::chrono::milliseconds gracePeriod{ 8000 };
    /// `entry.weights_limit_ms`: time after the operator sets a new weight version from which no
    /// request may start on an older one.
    std::chrono::milliseconds staleWeightsLimit{ 10000 };
    /// `entry.settle_ms`: time after the start of an instance within which the platform does not
    /// apply its limits.
    std::chrono::milliseconds settleTime{ 3000 };
    /// `entry.drain_ms`: time for which a target that leaves still accepts requests.
    std::chrono::milliseconds targetDrainTime{ 2000 };
    /// `entry.memory_mb`: memory of the instance in MiB; 0 if unknown.
    double memoryMb = 0;
    /// `entry.max_fds`: maximum number of open descriptors; 0 for the limit of the process.
    double maxDescriptors = 0;
    /// `entry.link_mbps`: bandwidth of the instance's network link in Mbit/s; 0 if unknown.
    double linkMbps = 0;
    double retryRatio = 0.2; ///< `entry.retry_ratio`: retries that the platform allows per request.
    /// `entry.retry_burst`: retries that the platform allows in each `retryWindow` in addition.
    double retryBurst = 50;
    std::chrono::milliseconds retryWindow{ 10000 }; ///< `entry.retry_window_s`
    /// `entry.address_lifetime_s`: maximum lifetime of address lists. A longer `entries.ttl` is
    /// reduced to it.
    std::chrono::milliseconds maxAddressLifetime{ 5000 };
};

/// Settings of one instance, read from a TOML file. Outside the table `entry`, durations are
/// written with a unit, such as "500ms", "2s" or "1m", and sizes as "64KiB" or "16MiB".
struct Settings
{
    std::string instanceName; ///< `instance.name`
    std::string dataCentre;   ///< `instance.data_centre`

    net::Address callers{ "127.0.0.1", 0 }; ///< `listen.callers`
    net::Address admin{ "127.0.0.1", 0 };   ///< `listen.admin`
    net::Address peers{ "127.0.0.1", 0 };   ///< `listen.peers`, for TCP and UDP

    net::Address platform;                                       ///< `platform.address`
    std::chrono::milliseconds platformTimeout{ 800 };            ///< `platform.timeout`
    std::chrono::milliseconds configurationPollInterval{ 1000 }; ///< `platform.configuration_poll`

    std::vector<net::Address> seeds;                 ///< `peers.seeds`
    std::chrono::milliseconds protocolPeriod{ 500 }; ///< `peers.protocol_period`

    std::uint64_t threads = 2;                           ///< `traffic.threads`
    std::uint64_t maxConnections = 10000;                ///< `traffic.max_connections`
    std::uint64_t maxBodyBytes = 16U << 20U;             ///< `traffic.max_body`
    std::chrono::milliseconds firstTokenTimeout{ 5000 }; ///< `traffic.first_token_timeout`
    std::chrono::milliseconds progressTimeout{ 1000 };   ///< `traffic.progress_timeout`
    std::chrono::milliseconds callTimeout{ 5000 };       ///< `traffic.call_timeout`, for services

    /// `entries.ttl`: lifetime of the address lists that callers receive.
    std::chrono::milliseconds entriesTtl{ 2000 };
    /// `shutdown.drain_limit`: maximum time for requests in progress at the shutdown.
    std::chrono::milliseconds drainLimit{ 60000 };

    /// Has a value if the file contains the table `entry`. The deployment is then read from the
    /// platform's store.
    std::optional<EntrySettings> entry;
};

/// An error in a settings file.
struct SettingsError
{
    std::string file;
    std::uint32_t line = 0;   ///< Counted from 1; 0 if the error has no position.
    std::uint32_t column = 0; ///< Counted from 1; 0 if the error has no position.
    std::string key;          ///< Table and key, such as "traffic.threads".
    std::string expected;     ///< Description of the expected value, or of the error.
};

/// Formats an error as "file:line:column: key: expected".
std::string toString(const SettingsError &error);

/// Parses `text` and appends every error to `errors`. The result is valid only if there are none.
/// `file` is the name for error messages.
Settings parseSettings(std::string_view text, const std::string &file,
                       std::vector<SettingsError> &errors);

/// Reads and parses a file. A file that cannot be read is reported in `errors` as well.
Settings readSettings(const std::string &file, std::vector<SettingsError> &errors);

/// Parses a whole number with the unit "ms", "s", "m" or "h". Returns no value for any other text.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// Parses a whole number with the unit "B", "KiB", "MiB" or "GiB" and returns it in bytes. Returns
/// no value for any other text.
std::optional<std::uint64_t> parseSize(std::string_view text);

} // namespace chervilfield::daemon
