#include "platform/platform_client.h"

#include "base/result.h"
#include "platform_json.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace chervilfield::platform {

namespace asio = boost::asio;
using base::Result;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// The outcome of one attempt of a write, or of reading the row back after it.
struct PlatformClient::Attempt
{
    enum Outcome {
        Written,   ///< The row has the id of this write.
        Refused,   ///< The service refused this attempt; `row` is the current row, if it exists.
        Unsent,    ///< The request was never sent.
        Undecided, ///< It is unknown whether the write took effect.
    };

    Outcome outcome = Undecided;
    std::optional<TableRow> row;
};

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
/// The largest integer that every JSON parser represents exactly. No row reaches this version.
constexpr std::uint64_t kImpossibleVersion = (std::uint64_t(1) << 53U) - 1;

std::string tablePath(const std::string &key)
{
    return "/table/" + net::percentEncode(key);
}

std::string objectPath(const std::string &name)
{
    return "/objects/" + net::percentEncode(name);
}

/// Returns true if and only if `row` proves that `write` has not taken and will never take effect,
/// because another write created the version that it would create.
bool provesNoEffect(const TableWrite &write, const TableRow &row)
{
    return row.version == write.ifVersion + 1 && row.writeId != write.writeId;
}

} // namespace

PlatformClient::PlatformClient(asio::any_io_executor executor, PlatformOptions options)
    : executor_(executor), options_(std::move(options)),
      client_(std::move(executor), { .connectTimeout = options_.timeout })
{
}

std::optional<net::Response> PlatformClient::send(const net::Address &address,
                                                  const net::Request &request,
                                                  asio::yield_context yield, std::error_code &error)
{
    ++requestCount_;
    return client_.send(address, request, options_.timeout, yield, error);
}

std::optional<net::Response> PlatformClient::get(const net::Address &address,
                                                 const std::string &target,
                                                 asio::yield_context yield, std::error_code &error)
{
    error.clear();
    std::error_code failure;
    auto response = send(address, { .target = target }, yield, failure);
    if (response && response->status == kOk)
        return response;
    const bool isAbsent = response && response->status == kNotFound;
    error = isAbsent ? Result::NotFound : Result::StoreUnavailable;
    return std::nullopt;
}

std::optional<TableRow> PlatformClient::read(const std::string &key, asio::yield_context yield,
                                             std::error_code &error)
{
    const auto response = get(options_.table, tablePath(key), yield, error);
    if (!response)
        return std::nullopt;
    auto row = parseRow(key, response->body);
    if (!row)
        error = Result::StoreUnavailable;
    return row;
}

std::optional<TableRow> PlatformClient::readLatest(const std::string &key,
                                                   asio::yield_context yield,
                                                   std::error_code &error)
{
    error.clear();
    Attempt attempt = tryWrite({ .key = key, .ifVersion = kImpossibleVersion }, yield);
    if (attempt.outcome == Attempt::Unsent || attempt.outcome == Attempt::Undecided)
        error = Result::StoreUnavailable;
    else if (!attempt.row)
        error = Result::NotFound;
    return std::move(attempt.row);
}

std::vector<TableRow> PlatformClient::list(const TableRange &range, asio::yield_context yield,
                                           std::error_code &error)
{
    const std::string target = "/table?prefix=" + net::percentEncode(range.prefix)
                               + "&after=" + net::percentEncode(range.after)
                               + "&limit=" + std::to_string(range.limit);
    const auto response = get(options_.table, target, yield, error);
    if (!response)
        return {};
    auto rows = parseRows(response->body);
    if (!rows)
        error = Result::StoreUnavailable;
    return std::move(rows).value_or(std::vector<TableRow>());
}

PlatformClient::Attempt PlatformClient::tryWrite(const TableWrite &write, asio::yield_context yield)
{
    std::error_code error;
    // The condition makes the request idempotent, so it may be repeated on a pooled connection.
    const auto response = send(options_.table,
                               { .method = "PUT",
                                 .target = tablePath(write.key),
                                 .headers = { { "Content-Type", "application/json" } },
                                 .body = encodeWrite(write),
                                 .idempotent = true },
                               yield, error);
    if (!response)
        return { error == Result::TargetUnreachable ? Attempt::Unsent : Attempt::Undecided, {} };
    if (response->status != kOk && response->status != kConflict)
        return {};
    auto row = parseRow(write.key, response->body);
    if (!row) // A conflict without a row means that the row does not exist.
        return { response->status == kConflict ? Attempt::Refused : Attempt::Undecided, {} };
    const bool isOwnWrite = row->writeId == write.writeId;
    return { isOwnWrite ? Attempt::Written : Attempt::Refused, std::move(row) };
}

PlatformClient::Attempt PlatformClient::readBack(const TableWrite &write, asio::yield_context yield)
{
    std::error_code error;
    auto row = read(write.key, yield, error);
    if (!row)
        return {};
    if (row->writeId == write.writeId)
        return { Attempt::Written, std::move(row) };
    // Any other version proves nothing: the read may be stale, or a later write may have replaced
    // this one.
    if (provesNoEffect(write, *row))
        return { Attempt::Refused, std::move(row) };
    return {};
}

void PlatformClient::sleepFor(milliseconds time, asio::yield_context yield)
{
    asio::steady_timer timer(executor_, time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

std::optional<TableRow> PlatformClient::write(const TableWrite &write, asio::yield_context yield,
                                              std::error_code &error)
{
    error.clear();
    const auto deadline = steady_clock::now() + options_.writeOutcomeTimeout;
    milliseconds delay = options_.initialRetryDelay;
    bool mayHaveTakenEffect = false;
    while (true) {
        Attempt attempt = tryWrite(write, yield);
        if (attempt.outcome == Attempt::Unsent && !mayHaveTakenEffect) {
            error = Result::StoreUnavailable;
            return std::nullopt;
        }
        // After an attempt that may have taken effect, a refusal is decisive only if the row proves
        // that it did not: a later write may have replaced the row that it wrote.
        const bool isDecisive =
                attempt.outcome == Attempt::Refused
                && (!mayHaveTakenEffect || (attempt.row && provesNoEffect(write, *attempt.row)));
        if (attempt.outcome != Attempt::Written && !isDecisive) {
            mayHaveTakenEffect = true;
            attempt = readBack(write, yield);
        }
        if (attempt.outcome == Attempt::Written)
            return attempt.row;
        if (attempt.outcome == Attempt::Refused) {
            error = Result::RevisionConflict;
            return attempt.row;
        }
        if (steady_clock::now() + delay >= deadline)
            break;
        sleepFor(delay, yield);
        delay *= 2;
    }
    error = Result::WriteUndecided;
    return std::nullopt;
}

std::optional<std::string> PlatformClient::readObject(const std::string &name,
                                                      asio::yield_context yield,
                                                      std::error_code &error)
{
    auto response = get(options_.objects, objectPath(name), yield, error);
    if (!response)
        return std::nullopt;
    return std::move(response->body);
}

void PlatformClient::writeObject(const std::string &name, const std::string &content,
                                 asio::yield_context yield, std::error_code &error)
{
    error.clear();
    std::error_code failure;
    const auto response =
            send(options_.objects, { .method = "PUT", .target = objectPath(name), .body = content },
                 yield, failure);
    if (!response)
        error = failure == Result::TargetUnreachable ? Result::StoreUnavailable
                                                     : Result::WriteUndecided;
    else if (response->status != kOk)
        error = Result::WriteUndecided;
}

std::vector<Instance> PlatformClient::instances(asio::yield_context yield, std::error_code &error)
{
    const auto response = get(options_.instances, "/instances", yield, error);
    if (!response)
        return {};
    auto result = parseInstances(response->body);
    if (!result)
        error = Result::StoreUnavailable;
    return std::move(result).value_or(std::vector<Instance>());
}

} // namespace chervilfield::platform
