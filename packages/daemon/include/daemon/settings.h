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

/// Settings of an instance on a platform whose store describes the deployment. Times in `bounds`
/// are limits of the platform, as numbers.
struct EntrySettings
{
    net::Address ready;                              ///< `entry.ready`
    net::Address directory;                          ///< `entry.directory`
    net::Address metrics;                            ///< `entry.metrics`
    bool enginesCheckFences = false;                 ///< `entry.engines_check_fences`
    std::chrono::milliseconds leaseDuration{ 3000 }; ///< `entry.lease_ms`
    std::chrono::milliseconds gracePeriod{ 8000 }; ///< `entry.grace_s`, from the signal to the kill
    std::chrono::milliseconds staleWeightsLimit{ 10000 }; ///< `entry.weights_limit_ms`
    std::chrono::milliseconds targetDrainTime{ 2000 }; ///< `entry.drain_ms`, of targets that leave
    double retryRatio = 0.2;                           ///< `entry.retry_ratio`
    double retryBurst = 50;                            ///< `entry.retry_burst`
    std::chrono::milliseconds retryWindow{ 10000 };    ///< `entry.retry_window_s`
    std::chrono::milliseconds maxAddressLifetime{ 5000 }; ///< `entry.address_lifetime_s`
};

/// Settings of one instance, read from a TOML file. Durations are written with a unit ("500ms",
/// "2s", "1m"), sizes as "64KiB" or "16MiB".
struct Settings
{
    std::string instanceName; ///< `instance.name`
    std::string dataCentre;   ///< `instance.data_centre`

    net::Address callers{ "127.0.0.1", 0 }; ///< `listen.callers`
    net::Address admin{ "127.0.0.1", 0 };   ///< `listen.admin`
    net::Address peers{ "127.0.0.1", 0 };   ///< `listen.peers`, for UDP and TCP

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
    std::chrono::milliseconds callTimeout{ 5000 };       ///< `traffic.call_timeout`, plain services

    std::chrono::milliseconds entriesTtl{ 2000 };  ///< `entries.ttl`
    std::chrono::milliseconds drainLimit{ 60000 }; ///< `shutdown.drain_limit`

    /// Set by the table `entry`: the deployment is described in the platform's store.
    std::optional<EntrySettings> entry;
};

/// One fault of a settings file.
struct SettingsError
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string key;
    std::string expected;
};

/// Returns "file:line:column: key: expected ...".
std::string toString(const SettingsError &error);

/// Parses `text`. Reports every fault in `errors`; the result is meaningful only without faults.
Settings parseSettings(std::string_view text, const std::string &file,
                       std::vector<SettingsError> &errors);

/// Reads and parses a file; a file that cannot be read is a fault as well.
Settings readSettings(const std::string &file, std::vector<SettingsError> &errors);

/// Parses "500ms", "2s", "5m" or "1h".
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// Parses a number of bytes with the unit "B", "KiB", "MiB" or "GiB".
std::optional<std::uint64_t> parseSize(std::string_view text);

} // namespace chervilfield::daemon
