#include "ctl/options.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace chervilfield::ctl {

namespace {

struct CommandRow
{
    std::string_view name;
    Command command;
    std::size_t minArguments;
    std::size_t maxArguments;
    bool needsFile;
};

constexpr std::size_t kAnyNumber = 1000;

constexpr CommandRow kCommands[] = {
    { "help", Command::Help, 0, 0, false },
    { "apply", Command::Apply, 0, 0, true },
    { "get", Command::Get, 0, 2, false },
    { "diff", Command::Diff, 0, 0, true },
    { "delete", Command::Delete, 2, kAnyNumber, false },
    { "status", Command::Status, 0, 0, false },
    { "explain", Command::Explain, 0, kAnyNumber, false },
    { "timeline", Command::Timeline, 0, 1, false },
    { "drain", Command::Drain, 0, 0, false },
};

enum OptionKey {
    ServerKey = 's',
    OutputKey = 'o',
    FileKey = 'f',
    TimeoutKey = 't',
    RevisionKey = 256,
    WriteIdKey,
    DryRunKey,
    CheckKey,
    WaitKey,
    HelpKey,
    VersionKey,
};

constexpr option kOptions[] = {
    { "server", required_argument, nullptr, ServerKey },
    { "output", required_argument, nullptr, OutputKey },
    { "file", required_argument, nullptr, FileKey },
    { "timeout", required_argument, nullptr, TimeoutKey },
    { "if-revision", required_argument, nullptr, RevisionKey },
    { "write-id", required_argument, nullptr, WriteIdKey },
    { "dry-run", no_argument, nullptr, DryRunKey },
    { "check", no_argument, nullptr, CheckKey },
    { "wait", no_argument, nullptr, WaitKey },
    { "help", no_argument, nullptr, HelpKey },
    { "version", no_argument, nullptr, VersionKey },
    { nullptr, 0, nullptr, 0 },
};

template<typename T>
bool parseNumber(std::string_view text, T &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc() && end == text.data() + text.size();
}

std::string found(std::string_view text)
{
    return ", found '" + std::string(text) + "'";
}

/// Stores an option that has a value. Returns what was expected on a malformed one.
std::string storeValue(int key, const std::string &value, Options &options)
{
    if (key == FileKey) {
        options.file = value;
    } else if (key == WriteIdKey) {
        options.writeId = value;
    } else if (key == ServerKey) {
        const auto address = net::parseAddress(value);
        if (!address)
            return "--server: expected a numeric address and port" + found(value);
        options.server = *address;
    } else if (key == OutputKey) {
        if (value != "json" && value != "text")
            return "--output: expected json or text" + found(value);
        options.shouldPrintJson = value == "json";
    } else if (key == TimeoutKey) {
        unsigned seconds = 0;
        if (!parseNumber(value, seconds) || seconds == 0)
            return "--timeout: expected a number of seconds" + found(value);
        options.timeout = std::chrono::seconds(seconds);
    } else {
        std::uint64_t revision = 0;
        if (!parseNumber(value, revision))
            return "--if-revision: expected a number" + found(value);
        options.ifRevision = revision;
    }
    return {};
}

std::string storeOption(int key, Options &options)
{
    switch (key) {
    case DryRunKey:
        options.isDryRun = true;
        return {};
    case CheckKey:
        options.shouldOnlyCheck = true;
        return {};
    case WaitKey:
        options.shouldWait = true;
        return {};
    case HelpKey:
        options.command = Command::Help;
        return {};
    case VersionKey:
        options.command = Command::Version;
        return {};
    default:
        return storeValue(key, optarg, options);
    }
}

/// Checks the command and its arguments. Returns what was expected, or an empty text.
std::string storeCommand(int argc, char **argv, Options &options)
{
    const std::string name = argv[optind];
    const auto *row = std::ranges::find(kCommands, name, &CommandRow::name);
    if (row == std::end(kCommands))
        return "expected a command" + found(name);
    options.command = row->command;
    options.arguments.assign(argv + optind + 1, argv + argc);
    const std::size_t count = options.arguments.size();
    if (count < row->minArguments || count > row->maxArguments)
        return name + ": expected another number of arguments" + found(std::to_string(count));
    if (row->needsFile && !options.file)
        return name + ": expected -f FILE, found none";
    if (options.server.port == 0 && !options.shouldOnlyCheck && options.command != Command::Help)
        return name + ": expected --server ADDRESS:PORT, found none";
    return {};
}

} // namespace

std::optional<Options> parseOptions(int argc, char **argv, std::string &error)
{
    Options options;
    optind = 0;
    opterr = 0;
    bool isInformation = false;
    for (int key = 0; (key = getopt_long(argc, argv, "s:o:f:t:", kOptions, nullptr)) != -1;) {
        if (key == '?')
            error = "expected a known option with its value" + found(argv[optind - 1]);
        else
            error = storeOption(key, options);
        if (!error.empty())
            return std::nullopt;
        isInformation |= key == HelpKey || key == VersionKey;
    }
    if (isInformation)
        return options;
    error = optind < argc ? storeCommand(argc, argv, options) : "expected a command, found none";
    if (!error.empty())
        return std::nullopt;
    return options;
}

std::string helpText()
{
    return R"(usage: chervilfieldctl --server ADDRESS:PORT [OPTIONS] COMMAND

commands
  apply -f FILE            applies the resources in FILE as one change
  diff -f FILE             shows what apply would change
  get [KIND [NAME]]        shows resources: pools, targets, customers, intents
  delete KIND NAME...      deletes resources; KIND is pool, target, customer or intent
  status [--wait]          shows the revision in force of each instance
  explain KEY=VALUE...     shows how a request is routed
  timeline [AFTER]         shows recent events of the instance
  drain                    takes the instance out of service without interrupting requests

options
  -s, --server ADDRESS:PORT  administration address of any instance
  -f, --file FILE            JSON file with resources; - reads the standard input
  -o, --output json|text     form of the output
  -t, --timeout SECONDS      limit for the command (10)
      --if-revision N        applies only on top of revision N
      --write-id ID          repeats an attempt whose outcome is not known
      --dry-run              validates and shows differences without changing anything
      --check                validates FILE without a daemon
      --wait                 status: waits until all instances have the latest revision
      --help, --version

exit codes: 0 done, 1 failed, 2 usage, 3 invalid change, 4 conflict, 5 unavailable, 6 undecided,
7 timed out, 8 not found
)";
}

} // namespace chervilfield::ctl
