#include "daemon/settings.h"

#include <toml++/toml.h>

#include <charconv>
#include <fstream>
#include <functional>
#include <limits>
#include <set>
#include <sstream>

namespace chervilfield::daemon {

using std::chrono::milliseconds;

namespace {

// Number with a unit, such as 500 and "ms".
struct Quantity
{
    std::uint64_t number;
    std::string_view unit;
};

std::optional<Quantity> parseQuantity(std::string_view text)
{
    Quantity quantity{};
    const auto [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), quantity.number);
    if (error != std::errc())
        return std::nullopt;
    quantity.unit = text.substr(static_cast<std::size_t>(end - text.data()));
    return quantity;
}

// Describes one key. `read` checks and stores its value, and returns false if the value is not of
// the form that `expected` describes.
struct KeyRule
{
    std::string_view table;
    std::string_view key;
    bool isAlwaysRequired;
    std::string_view expected;
    std::function<bool(const toml::node &, Settings &)> read;
};

auto textReader(std::string Settings::*member)
{
    return [member](const toml::node &node, Settings &settings) {
        const auto value = node.value<std::string>();
        if (!node.is_string() || value->empty())
            return false;
        settings.*member = *value;
        return true;
    };
}

auto addressReader(net::Address Settings::*member)
{
    return [member](const toml::node &node, Settings &settings) {
        const auto value = net::parseAddress(node.value_or(std::string()));
        if (value.has_value())
            settings.*member = *value;
        return value.has_value();
    };
}

auto durationReader(milliseconds Settings::*member, milliseconds minimum, milliseconds maximum)
{
    return [=](const toml::node &node, Settings &settings) {
        const auto value = parseDuration(node.value_or(std::string()));
        if (!value.has_value() || *value < minimum || *value > maximum)
            return false;
        settings.*member = *value;
        return true;
    };
}

auto countReader(std::uint64_t Settings::*member, std::int64_t minimum, std::int64_t maximum)
{
    return [=](const toml::node &node, Settings &settings) {
        const auto *value = node.as_integer();
        if (value == nullptr || value->get() < minimum || value->get() > maximum)
            return false;
        settings.*member = static_cast<std::uint64_t>(value->get());
        return true;
    };
}

auto sizeReader(std::uint64_t Settings::*member, std::uint64_t minimum, std::uint64_t maximum)
{
    return [=](const toml::node &node, Settings &settings) {
        const auto value = parseSize(node.value_or(std::string()));
        if (!value.has_value() || *value < minimum || *value > maximum)
            return false;
        settings.*member = *value;
        return true;
    };
}

// Returns the entry settings and creates them if this is the first key of their table.
EntrySettings &entrySettings(Settings &settings)
{
    if (!settings.entry)
        settings.entry.emplace();
    return *settings.entry;
}

auto entryAddressReader(net::Address EntrySettings::*member)
{
    return [member](const toml::node &node, Settings &settings) {
        const auto value = net::parseAddress(node.value_or(std::string()));
        if (value.has_value())
            entrySettings(settings).*member = *value;
        return value.has_value();
    };
}

auto entryNumberReader(double EntrySettings::*member,
                       double maximum = std::numeric_limits<double>::max())
{
    return [=](const toml::node &node, Settings &settings) {
        const auto value = node.value<double>();
        if (!node.is_number() || !(*value >= 0 && *value <= maximum))
            return false;
        entrySettings(settings).*member = *value;
        return true;
    };
}

// Reads a number of `unit`.
auto entryDurationReader(milliseconds EntrySettings::*member, std::chrono::duration<double> unit)
{
    return [=](const toml::node &node, Settings &settings) {
        const auto value = node.value<double>();
        constexpr double kMaxNumber = 1e6;
        if (!node.is_number() || *value < 0 || *value > kMaxNumber)
            return false;
        entrySettings(settings).*member = std::chrono::duration_cast<milliseconds>(unit * *value);
        return true;
    };
}

auto entryFlagReader(bool EntrySettings::*member)
{
    return [member](const toml::node &node, Settings &settings) {
        if (!node.is_boolean())
            return false;
        entrySettings(settings).*member = node.value_or(false);
        return true;
    };
}

bool readSeeds(const toml::node &node, Settings &settings)
{
    const toml::array *array = node.as_array();
    if (array == nullptr)
        return false;
    for (const toml::node &element : *array) {
        const auto seed = net::parseAddress(element.value_or(std::string()));
        if (!seed.has_value())
            return false;
        settings.seeds.push_back(*seed);
    }
    return true;
}

const std::vector<KeyRule> &keyRules()
{
    using std::chrono::hours;
    using std::chrono::minutes;
    using S = Settings;
    using E = EntrySettings;
    constexpr std::string_view kNumber = "a number that is not negative";
    constexpr std::chrono::duration<double> kSecond{ 1 };
    constexpr std::chrono::duration<double> kMillisecond{ 0.001 };
    constexpr std::string_view kAddress = "an address such as \"127.0.0.1:7400\"";
    constexpr milliseconds kMinTimeout{ 10 };
    static const std::vector<KeyRule> rules{
        { "instance", "name", true, "a non-empty string", textReader(&S::instanceName) },
        { "instance", "data_centre", true, "a non-empty string", textReader(&S::dataCentre) },
        { "listen", "callers", false, kAddress, addressReader(&S::callers) },
        { "listen", "admin", false, kAddress, addressReader(&S::admin) },
        { "listen", "peers", false, kAddress, addressReader(&S::peers) },
        { "platform", "address", true, kAddress, addressReader(&S::platform) },
        { "platform", "timeout", false, "a duration from 10ms to 1m",
          durationReader(&S::platformTimeout, kMinTimeout, minutes(1)) },
        { "platform", "configuration_poll", false, "a duration from 100ms to 4s",
          durationReader(&S::configurationPollInterval, milliseconds(100), milliseconds(4000)) },
        { "peers", "seeds", false, "an array of addresses", readSeeds },
        { "peers", "protocol_period", false, "a duration from 50ms to 10s",
          durationReader(&S::protocolPeriod, milliseconds(50), milliseconds(10000)) },
        { "traffic", "threads", false, "a whole number from 1 to 64",
          countReader(&S::threads, 1, 64) },
        { "traffic", "max_connections", false, "a whole number from 1 to 1000000",
          countReader(&S::maxConnections, 1, 1000000) },
        { "traffic", "max_body", false, "a size from 1KiB to 256MiB",
          sizeReader(&S::maxBodyBytes, 1U << 10U, 256U << 20U) },
        { "traffic", "first_token_timeout", false, "a duration from 10ms to 10m",
          durationReader(&S::firstTokenTimeout, kMinTimeout, minutes(10)) },
        { "traffic", "progress_timeout", false, "a duration from 10ms to 10m",
          durationReader(&S::progressTimeout, kMinTimeout, minutes(10)) },
        { "traffic", "call_timeout", false, "a duration from 10ms to 10m",
          durationReader(&S::callTimeout, kMinTimeout, minutes(10)) },
        { "entries", "ttl", false, "a duration from 100ms to 10m",
          durationReader(&S::entriesTtl, milliseconds(100), minutes(10)) },
        { "entry", "ready", false, kAddress, entryAddressReader(&E::ready) },
        { "entry", "directory", false, kAddress, entryAddressReader(&E::directory) },
        { "entry", "metrics", false, kAddress, entryAddressReader(&E::metrics) },
        { "entry", "engines_check_fences", false, "true or false",
          entryFlagReader(&E::enginesCheckFences) },
        { "entry", "learn_performance", false, "true or false",
          entryFlagReader(&E::learnsPerformance) },
        { "entry", "lease_ms", false, kNumber,
          entryDurationReader(&E::leaseDuration, kMillisecond) },
        { "entry", "grace_s", false, kNumber, entryDurationReader(&E::gracePeriod, kSecond) },
        { "entry", "weights_limit_ms", false, kNumber,
          entryDurationReader(&E::staleWeightsLimit, kMillisecond) },
        { "entry", "settle_ms", false, kNumber, entryDurationReader(&E::settleTime, kMillisecond) },
        { "entry", "drain_ms", false, kNumber,
          entryDurationReader(&E::targetDrainTime, kMillisecond) },
        { "entry", "memory_mb", false, "a number from 0 to 1000000",
          entryNumberReader(&E::memoryMb, 1e6) },
        { "entry", "max_fds", false, "a number from 0 to 10000000",
          entryNumberReader(&E::maxDescriptors, 1e7) },
        { "entry", "link_mbps", false, "a number from 0 to 1000000",
          entryNumberReader(&E::linkMbps, 1e6) },
        { "entry", "retry_ratio", false, kNumber, entryNumberReader(&E::retryRatio) },
        { "entry", "retry_burst", false, kNumber, entryNumberReader(&E::retryBurst) },
        { "entry", "retry_window_s", false, kNumber,
          entryDurationReader(&E::retryWindow, kSecond) },
        { "entry", "address_lifetime_s", false, kNumber,
          entryDurationReader(&E::maxAddressLifetime, kSecond) },
        { "shutdown", "drain_limit", false, "a duration from 1s to 24h",
          durationReader(&S::drainLimit, milliseconds(1000), hours(24)) },
    };
    return rules;
}

const KeyRule *findRule(std::string_view table, std::string_view key)
{
    for (const KeyRule &rule : keyRules()) {
        if (rule.table == table && rule.key == key)
            return &rule;
    }
    return nullptr;
}

bool isKnownTable(std::string_view table)
{
    for (const KeyRule &rule : keyRules()) {
        if (rule.table == table)
            return true;
    }
    return false;
}

// Returns true for the keys of the table `entry` that have no default.
bool isRequiredForEntry(std::string_view path)
{
    return path == "entry.ready" || path == "entry.directory" || path == "entry.metrics";
}

// Reads the settings from a parsed file and collects the errors with their positions.
class Reader
{
public:
    Reader(std::string file, Settings &settings, std::vector<SettingsError> &errors)
        : file_(std::move(file)), settings_(settings), errors_(errors)
    {
    }

    void read(const toml::table &root)
    {
        for (const auto &[name, node] : root) {
            const toml::table *table = node.as_table();
            if (table == nullptr || !isKnownTable(name.str()))
                reportError(name.source(), std::string(name.str()), "no such key");
            else
                readTable(name.str(), *table);
        }
        for (const KeyRule &rule : keyRules()) {
            const std::string path = std::string(rule.table) + '.' + std::string(rule.key);
            const bool isRequired =
                    rule.isAlwaysRequired || (settings_.entry && isRequiredForEntry(path));
            if (isRequired && !seen_.contains(path))
                reportError({}, path, "this key is required: " + std::string(rule.expected));
        }
    }

private:
    void readTable(std::string_view tableName, const toml::table &table)
    {
        for (const auto &[key, node] : table) {
            const std::string path = std::string(tableName) + '.' + std::string(key.str());
            const KeyRule *rule = findRule(tableName, key.str());
            if (rule == nullptr) {
                reportError(key.source(), path, "no such key");
                continue;
            }
            seen_.insert(path);
            if (!rule->read(node, settings_))
                reportError(node.source(), path, "expected " + std::string(rule->expected));
        }
    }

    void reportError(const toml::source_region &source, std::string key, std::string expected)
    {
        errors_.push_back({ .file = file_,
                            .line = source.begin.line,
                            .column = source.begin.column,
                            .key = std::move(key),
                            .expected = std::move(expected) });
    }

    std::string file_;
    Settings &settings_;
    std::vector<SettingsError> &errors_;
    std::set<std::string> seen_;
};

} // namespace

std::string toString(const SettingsError &error)
{
    return error.file + ':' + std::to_string(error.line) + ':' + std::to_string(error.column) + ": "
           + error.key + ": " + error.expected;
}

std::optional<milliseconds> parseDuration(std::string_view text)
{
    const auto quantity = parseQuantity(text);
    constexpr std::uint64_t kMaxNumber = 1'000'000'000;
    if (!quantity.has_value() || quantity->number > kMaxNumber)
        return std::nullopt;
    const auto number = static_cast<std::int64_t>(quantity->number);
    if (quantity->unit == "ms")
        return milliseconds(number);
    if (quantity->unit == "s")
        return std::chrono::seconds(number);
    if (quantity->unit == "m")
        return std::chrono::minutes(number);
    if (quantity->unit == "h")
        return std::chrono::hours(number);
    return std::nullopt;
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    const auto quantity = parseQuantity(text);
    constexpr std::uint64_t kMaxNumber = 1'000'000'000;
    if (!quantity.has_value() || quantity->number > kMaxNumber)
        return std::nullopt;
    if (quantity->unit == "B")
        return quantity->number;
    if (quantity->unit == "KiB")
        return quantity->number << 10U;
    if (quantity->unit == "MiB")
        return quantity->number << 20U;
    if (quantity->unit == "GiB")
        return quantity->number << 30U;
    return std::nullopt;
}

Settings parseSettings(std::string_view text, const std::string &file,
                       std::vector<SettingsError> &errors)
{
    Settings settings;
    try {
        const toml::table root = toml::parse(text, file);
        Reader(file, settings, errors).read(root);
    } catch (const toml::parse_error &error) {
        errors.push_back({ .file = file,
                           .line = error.source().begin.line,
                           .column = error.source().begin.column,
                           .key = "(syntax)",
                           .expected = std::string(error.description()) });
    }
    return settings;
}

Settings readSettings(const std::string &file, std::vector<SettingsError> &errors)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream) {
        errors.push_back({ .file = file, .key = "(file)", .expected = "a readable file" });
        return {};
    }
    return parseSettings(text.str(), file, errors);
}

} // namespace chervilfield::daemon
