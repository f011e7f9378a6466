#include "ctl/commands.h"

#include "admin_client.h"
#include "base/hash.h"
#include "configuration/json.h"
#include "configuration/validation.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

namespace chervilfield::ctl {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds kStatusPollInterval{ 200 };
/// Maximum attempts to apply a change whose response was lost. The write id makes them idempotent.
constexpr int kMaxApplyAttempts = 3;

/// Returns a member as text, or "-" if it is missing.
std::string memberText(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr)
        return "-";
    return value->is_string() ? std::string(value->get_string()) : serialize(*value);
}

std::string newWriteId()
{
    std::random_device random;
    const auto randomBits = [&] { return (std::uint64_t(random()) << 32U) | random(); };
    return "ctl-" + base::toHex(randomBits()) + base::toHex(randomBits());
}

/// Runs one command with the given options and output streams.
class CommandRunner
{
public:
    CommandRunner(const Options &options, std::ostream &out, std::ostream &err)
        : options_(options), out_(out), err_(err)
    {
    }

    ExitCode run();

private:
    ExitCode applyFile(bool isDryRun);
    ExitCode applyChanges(configuration::ResourceChanges changes, bool isDryRun);
    ExitCode deleteResources();
    ExitCode get();
    ExitCode status();
    ExitCode explain();
    ExitCode timeline();
    ExitCode drain();

    std::optional<configuration::ResourceChanges> readFile(ExitCode &code);
    ExitCode reportResponse(const AdminResponse &response);
    void printRows(const json::value &body, std::string_view member,
                   std::initializer_list<std::string_view> columns);
    ExitCode fail(ExitCode code, const std::string &message);

    const Options &options_;
    std::ostream &out_;
    std::ostream &err_;
};

ExitCode CommandRunner::fail(ExitCode code, const std::string &message)
{
    err_ << "chervilfieldctl: " << message << '\n';
    return code;
}

/// Prints the whole body with `--output json`, or else only an error. Returns the exit code.
ExitCode CommandRunner::reportResponse(const AdminResponse &response)
{
    if (options_.shouldPrintJson && !response.body.is_null()) {
        out_ << response.text << '\n';
        return response.code;
    }
    if (response.code == ExitCode::Ok)
        return response.code;
    const json::object *body = response.body.if_object();
    const json::value *error = body == nullptr ? nullptr : body->if_contains("error");
    if (error == nullptr || !error->is_object())
        return fail(response.code, response.text);
    const json::object &fields = error->get_object();
    fail(response.code, memberText(fields, "message") + " (" + memberText(fields, "name")
                                + ", work " + memberText(fields, "work") + ")");
    printRows(response.body, "errors", { "subject", "field", "message" });
    return response.code;
}

/// Prints one line for each object in the array `member`: the values of `columns`, separated by
/// tabs.
void CommandRunner::printRows(const json::value &body, std::string_view member,
                              std::initializer_list<std::string_view> columns)
{
    const json::object *object = body.if_object();
    const json::value *rows = object == nullptr ? nullptr : object->if_contains(member);
    if (rows == nullptr || !rows->is_array())
        return;
    for (const json::value &row : rows->get_array()) {
        std::string line;
        for (const std::string_view column : columns)
            line += (line.empty() ? "" : "\t") + memberText(row.as_object(), column);
        out_ << line << '\n';
    }
}

/// Returns the resources in the file. If it is not readable or not valid, prints the faults, stores
/// the exit code in `code` and returns no value.
std::optional<configuration::ResourceChanges> CommandRunner::readFile(ExitCode &code)
{
    std::ifstream file;
    if (*options_.file != "-") {
        file.open(*options_.file);
        if (!file) {
            code = fail(ExitCode::Usage, *options_.file + ": expected a readable file");
            return std::nullopt;
        }
    }
    std::istream &input = *options_.file == "-" ? std::cin : file;
    const std::string text{ std::istreambuf_iterator<char>(input), {} };
    std::vector<configuration::ValidationError> errors;
    auto changes = configuration::parseResources(text, errors);
    code = ExitCode::Invalid;
    for (const auto &error : errors)
        err_ << *options_.file << ": " << toString(error) << '\n';
    return changes;
}

ExitCode CommandRunner::applyFile(bool isDryRun)
{
    ExitCode code = ExitCode::Ok;
    auto changes = readFile(code);
    if (!changes)
        return code;
    if (!options_.shouldOnlyCheck)
        return applyChanges(std::move(*changes), isDryRun);
    // Only the daemon knows whether the resources to delete exist.
    changes->deletes.clear();
    const auto errors = validate(configuration::Configuration(), *changes);
    for (const auto &error : errors)
        err_ << *options_.file << ": " << toString(error) << '\n';
    return errors.empty() ? ExitCode::Ok : ExitCode::Invalid;
}

ExitCode CommandRunner::applyChanges(configuration::ResourceChanges changes, bool isDryRun)
{
    configuration::Change change{ .changes = std::move(changes) };
    if (options_.ifRevision) {
        change.baseRevision = *options_.ifRevision;
    } else {
        const AdminResponse status = sendRequest(options_, { .target = "/admin/v1/status" });
        if (status.code != ExitCode::Ok)
            return reportResponse(status);
        change.baseRevision = status.body.at("revision").to_number<std::uint64_t>();
    }
    change.writeId = options_.writeId.value_or(newWriteId());
    const net::Request request{ .method = "POST",
                                .target = std::string("/admin/v1/apply?dryRun=")
                                          + (isDryRun ? "true" : "false"),
                                .headers = { { "Content-Type", "application/json" } },
                                .body = toJson(change) };
    AdminResponse response = sendRequest(options_, request);
    const bool mayHaveTakenEffect = !isDryRun && response.code == ExitCode::Undecided;
    for (int i = 1; i < kMaxApplyAttempts && response.code == ExitCode::Undecided; ++i)
        response = sendRequest(options_, request);
    // An attempt that finds the daemon or the store unavailable does not tell whether an earlier
    // one took effect.
    if (mayHaveTakenEffect && response.code == ExitCode::Unavailable)
        response.code = ExitCode::Undecided;
    else if (isDryRun && response.code == ExitCode::Undecided)
        response.code = ExitCode::Unavailable;
    const ExitCode code = reportResponse(response);
    if (code == ExitCode::Undecided) {
        fail(code, "repeat with --if-revision " + std::to_string(change.baseRevision)
                           + " --write-id " + change.writeId);
    }
    if (code == ExitCode::Ok && !options_.shouldPrintJson) {
        printRows(response.body, "differences", { "difference", "resource", "name" });
        out_ << (isDryRun ? "would be revision " : "revision ")
             << response.body.at("revision").to_number<std::uint64_t>() << '\n';
    }
    return code;
}

ExitCode CommandRunner::deleteResources()
{
    using configuration::ResourceKind;
    constexpr ResourceKind kKinds[] = { ResourceKind::Pool, ResourceKind::Target,
                                        ResourceKind::Customer, ResourceKind::Intent };
    const std::string &name = options_.arguments.front();
    const auto *kind = std::ranges::find_if(kKinds, [&](ResourceKind candidate) {
        return configuration::toString(candidate) == name;
    });
    if (kind == std::end(kKinds)) {
        return fail(ExitCode::Usage,
                    "delete: expected pool, target, customer or intent, found '" + name + "'");
    }
    configuration::ResourceChanges changes;
    for (std::size_t i = 1; i < options_.arguments.size(); ++i)
        changes.deletes.push_back({ *kind, options_.arguments[i] });
    return applyChanges(std::move(changes), options_.isDryRun);
}

ExitCode CommandRunner::get()
{
    const auto &arguments = options_.arguments;
    std::string target = "/admin/v1/" + (arguments.empty() ? "resources" : arguments[0]);
    if (arguments.size() > 1)
        target += "?name=" + net::percentEncode(arguments[1]);
    const AdminResponse response = sendRequest(options_, { .target = target });
    const ExitCode code = reportResponse(response);
    if (code == ExitCode::Ok && !options_.shouldPrintJson) {
        for (const json::value &resource : response.body.at("resources").as_array())
            out_ << serialize(resource) << '\n';
    }
    return code;
}

/// Returns whether every instance in a status response has the latest revision in force.
bool isInForceEverywhere(const json::value &status)
{
    const auto &instances = status.at("instances").as_array();
    const auto revisionOf = [](const json::value &instance) {
        return instance.at("revision").to_number<std::uint64_t>();
    };
    std::uint64_t latest = status.at("highestKnown").to_number<std::uint64_t>();
    for (const json::value &instance : instances)
        latest = std::max(latest, revisionOf(instance));
    return std::ranges::all_of(
            instances, [&](const json::value &instance) { return revisionOf(instance) == latest; });
}

ExitCode CommandRunner::status()
{
    const auto deadline = steady_clock::now() + options_.timeout;
    AdminResponse response = sendRequest(options_, { .target = "/admin/v1/status" });
    while (options_.shouldWait && response.code == ExitCode::Ok
           && !isInForceEverywhere(response.body)) {
        if (steady_clock::now() >= deadline) {
            response.code = ExitCode::TimedOut;
            break;
        }
        std::this_thread::sleep_for(kStatusPollInterval);
        response = sendRequest(options_, { .target = "/admin/v1/status" });
    }
    if (response.body.is_null() || response.body.as_object().contains("error")
        || options_.shouldPrintJson)
        return reportResponse(response);
    printRows(response.body, "instances", { "instance", "dataCentre", "revision" });
    if (response.code == ExitCode::TimedOut)
        return fail(response.code, "the latest revision is not in force everywhere");
    return response.code;
}

ExitCode CommandRunner::explain()
{
    std::string target = "/admin/v1/explain";
    for (const std::string &argument : options_.arguments) {
        const std::size_t equals = argument.find('=');
        if (equals == std::string::npos)
            return fail(ExitCode::Usage, "explain: expected KEY=VALUE, found '" + argument + "'");
        target += (target.find('?') == std::string::npos ? "?" : "&")
                  + net::percentEncode(argument.substr(0, equals)) + "="
                  + net::percentEncode(argument.substr(equals + 1));
    }
    const AdminResponse response = sendRequest(options_, { .target = target });
    const ExitCode code = reportResponse(response);
    if (code == ExitCode::Ok && !options_.shouldPrintJson)
        out_ << response.text << '\n';
    return code;
}

ExitCode CommandRunner::timeline()
{
    std::string target = "/admin/v1/timeline";
    if (!options_.arguments.empty())
        target += "?after=" + net::percentEncode(options_.arguments.front());
    const AdminResponse response = sendRequest(options_, { .target = target });
    const ExitCode code = reportResponse(response);
    if (code == ExitCode::Ok && !options_.shouldPrintJson) {
        printRows(response.body, "events",
                  { "wallMs", "counter", "instance", "part", "kind", "subject", "detail" });
    }
    return code;
}

ExitCode CommandRunner::drain()
{
    const AdminResponse response =
            sendRequest(options_, { .method = "POST", .target = "/admin/v1/drain" });
    const ExitCode code = reportResponse(response);
    if (code == ExitCode::Ok && !options_.shouldPrintJson)
        out_ << "draining\n";
    return code;
}

ExitCode CommandRunner::run()
{
    switch (options_.command) {
    case Command::Help:
        out_ << helpText();
        return ExitCode::Ok;
    case Command::Version:
        out_ << "chervilfieldctl " CHERVILFIELD_VERSION "\n";
        return ExitCode::Ok;
    case Command::Apply:
        return applyFile(options_.isDryRun);
    case Command::Diff:
        return applyFile(true);
    case Command::Delete:
        return deleteResources();
    case Command::Get:
        return get();
    case Command::Status:
        return status();
    case Command::Explain:
        return explain();
    case Command::Timeline:
        return timeline();
    case Command::Drain:
        break;
    }
    return drain();
}

} // namespace

ExitCode run(const Options &options, std::ostream &out, std::ostream &err)
{
    try {
        return CommandRunner(options, out, err).run();
    } catch (const std::exception &error) {
        // Boost.JSON throws if the response does not have the expected form.
        err << "chervilfieldctl: expected a response of the administration API: " << error.what()
            << '\n';
        return ExitCode::Failed;
    }
}

} // namespace chervilfield::ctl
