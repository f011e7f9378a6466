#include "control/configuration_log.h"

#include "base/result.h"
#include "configuration/json.h"

#include <glog/logging.h>

#include <algorithm>
#include <optional>

namespace chervilfield::control {

using base::Result;
using configuration::Configuration;
using configuration::ConfigurationPtr;
using configuration::Revision;
using configuration::RevisionNumber;

namespace {

constexpr std::string_view kLogPrefix = "config/log/";
constexpr std::string_view kSnapshotName = "config/snapshot";
/// Number of digits of the largest revision. Keys are padded to it, so that they sort by revision.
constexpr std::size_t kKeyDigits = 20;

/// Parses a log entry. Logs an error and returns no value if the entry is invalid or its revision
/// is not `expected`.
std::optional<Revision> parseEntry(const std::string &name, const std::string &text,
                                   RevisionNumber expected)
{
    std::vector<configuration::ValidationError> errors;
    auto entry = configuration::parseRevision(text, errors);
    if (!entry) {
        LOG(ERROR) << "[control] Log entry " << name
                   << " cannot be parsed: " << toString(errors.front()) << '.';
    } else if (entry->number != expected) {
        LOG(ERROR) << "[control] Log entry " << name << " has revision " << entry->number
                   << ", expected " << expected << '.';
        entry.reset();
    }
    return entry;
}

} // namespace

std::string logKey(RevisionNumber revision)
{
    const std::string digits = std::to_string(revision);
    return std::string(kLogPrefix) + std::string(kKeyDigits - digits.size(), '0') + digits;
}

ConfigurationLog::ConfigurationLog(platform::PlatformClient &platform,
                                   ConfigurationLogOptions options)
    : platform_(platform), options_(options)
{
}

std::vector<Revision> ConfigurationLog::readAfter(RevisionNumber after,
                                                  boost::asio::yield_context yield,
                                                  std::error_code &error)
{
    std::vector<Revision> entries;
    while (true) {
        const auto rows = platform_.list({ .prefix = std::string(kLogPrefix),
                                           .after = logKey(after),
                                           .limit = options_.pageSize },
                                         yield, error);
        for (const platform::TableRow &row : rows) {
            // A stale list may miss a row in the middle. The next read then returns it.
            if (row.key != logKey(after + 1))
                return entries;
            auto entry = parseEntry(row.key, row.value, after + 1);
            if (!entry)
                return entries;
            entries.push_back(std::move(*entry));
            ++after;
        }
        if (error || rows.size() < options_.pageSize)
            return entries;
    }
}

std::vector<Revision> ConfigurationLog::readLatestAfter(RevisionNumber after,
                                                        boost::asio::yield_context yield,
                                                        std::error_code &error)
{
    std::vector<Revision> entries = readAfter(after, yield, error);
    while (!error) {
        const RevisionNumber next = (entries.empty() ? after : entries.back().number) + 1;
        const auto row = platform_.readLatest(logKey(next), yield, error);
        if (!row)
            break;
        auto entry = parseEntry(row->key, row->value, next);
        if (!entry)
            break;
        entries.push_back(std::move(*entry));
    }
    if (error == Result::NotFound)
        error.clear();
    return entries;
}

ConfigurationPtr ConfigurationLog::readSnapshot(boost::asio::yield_context yield,
                                                std::error_code &error)
{
    const auto text = platform_.readObject(std::string(kSnapshotName), yield, error);
    if (!text)
        return nullptr;
    std::vector<configuration::ValidationError> errors;
    auto snapshot = configuration::parseConfiguration(*text, errors);
    if (snapshot == nullptr) {
        LOG(ERROR) << "[control] The snapshot object cannot be parsed: " << toString(errors.front())
                   << '.';
        error = Result::NotFound;
    }
    return snapshot;
}

std::vector<Revision> ConfigurationLog::readObjectsAfter(RevisionNumber after,
                                                         boost::asio::yield_context yield,
                                                         std::error_code &error)
{
    std::vector<Revision> entries;
    while (true) {
        const std::string name = logKey(++after);
        const auto text = platform_.readObject(name, yield, error);
        if (!text)
            break;
        auto entry = parseEntry(name, *text, after);
        if (!entry)
            break;
        entries.push_back(std::move(*entry));
    }
    if (error == Result::NotFound)
        error.clear();
    return entries;
}

/// Returns true if the log has the same write at the revision of `entry`, because an earlier
/// attempt of the operator was applied.
bool ConfigurationLog::isAlreadyApplied(const Revision &entry, const ApplyResult &result,
                                        boost::asio::yield_context yield, std::error_code &error)
{
    const auto found = std::ranges::find(result.entries, entry.number, &Revision::number);
    if (found != result.entries.end())
        return found->writeId == entry.writeId;
    const auto row = platform_.read(logKey(entry.number), yield, error);
    return row && row->writeId == entry.writeId;
}

ApplyResult ConfigurationLog::apply(const ConfigurationPtr &inForce, const ApplyRequest &request,
                                    boost::asio::yield_context yield, std::error_code &error)
{
    error.clear();
    ApplyResult result;
    const Revision entry = toRevision(request.change);
    result.entries = readAfter(inForce->revision(), yield, error);
    ConfigurationPtr head = fold(inForce, result.entries).configuration;
    if (!error && entry.number > head->revision() + 1) {
        // The operator has seen a later revision than this read, which must have been stale.
        result.entries = readLatestAfter(inForce->revision(), yield, error);
        head = fold(inForce, result.entries).configuration;
    }
    if (error)
        return result;
    result.configuration = head;
    result.revision = head->revision();
    if (entry.number <= head->revision()) {
        const bool isApplied = isAlreadyApplied(entry, result, yield, error);
        if (isApplied)
            result.revision = entry.number;
        else if (!error || error == Result::NotFound)
            error = Result::RevisionConflict;
        return result;
    }
    if (entry.number != head->revision() + 1) {
        error = Result::RevisionConflict;
        return result;
    }
    result.errors = validate(*head, entry.changes);
    if (!configuration::isValidName(entry.writeId)) {
        result.errors.push_back(
                { "change", "writeId",
                  "expected 1 to 63 letters, digits or . _ - /, found '" + entry.writeId + "'" });
    }
    if (!result.errors.empty()) {
        error = Result::ValidationFailed;
        return result;
    }
    result.configuration = configuration::apply(*head, entry.number, entry.changes);
    result.differences = diff(*head, *result.configuration);
    if (!request.dryRun) {
        platform_.write({ .key = logKey(entry.number),
                          .value = toJson(entry),
                          .ifVersion = 0,
                          .writeId = entry.writeId },
                        yield, error);
    }
    if (error)
        return result;
    result.revision = entry.number;
    if (!request.dryRun)
        result.entries.push_back(entry);
    return result;
}

void ConfigurationLog::publishObjects(const Revision &entry, const Configuration &configuration,
                                      boost::asio::yield_context yield)
{
    std::error_code error;
    platform_.writeObject(logKey(entry.number), toJson(entry), yield, error);
    if (!error && entry.number % options_.snapshotInterval == 0)
        platform_.writeObject(std::string(kSnapshotName), toJson(configuration), yield, error);
    if (error) {
        LOG(WARNING) << "[control] Copying revision " << entry.number
                     << " to the object service failed: " << error.message() << '.';
    }
}

} // namespace chervilfield::control
