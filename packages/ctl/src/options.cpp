#include "ctl/options.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace chervilfield::ctl {

namespace {

/// Name of a command and the arguments that it accepts.
struct CommandSyntax
{
    std::string_view name;
    Command command;
    std::size_t minArguments;
    std::size_t maxArguments;
    bool needsFile;
};

/// Larger than any practical number of arguments.
constexpr std::size_t kUnlimitedArguments = 1000;

constexpr CommandSyntax kCommands[] = {
    { "help", Command::Help, 0, 0, false },
    { "apply", Command::Apply, 0, 0, true },
    { "get", Command::Get, 0, 2, false },
    { "diff", Command::Diff, 0, 0, true },
    { "delete", Command::Delete, 2, kUnlimitedArguments, false },
    { "status", Command::Status, 0, 0, false },
    { "explain", Command::Explain, 0, kUnlimitedArguments, false },
    { "timeline", Command::Timeline, 0, 1, false },
    { "drain", Command::Drain, 0, 0, false },
};

/// Keys of the options in `getopt_long`. Options without a short form have keys above `char`.
enum OptionKey {
    ServerKey = 's',
    OutputKey = 'o',
    FileKey = 'f',
    TimeoutKey = 't',
    IfRevisionKey = 256,
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
    { "if-revision", required_argument, nullptr, IfRevisionKey },
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

std::string foundText(std::string_view text)
{
    return ", found '" + std::string(text) + "'";
}

/// Stores an option that has a value. Returns the error, or an empty text if the value is valid.
std::string storeValue(int key, const std::string &value, Options &options)
{
    if (key == FileKey) {
        options.file = value;
    } else if (key == WriteIdKey) {
        options.writeId = value;
    } else if (key == ServerKey) {
        const auto address = net::parseAddress(value);
        if (!address)
            return "--server: expected a numeric address and port" + foundText(value);
        options.server = *address;
    } else if (key == OutputKey) {
        if (value != "json" && value != "text")
            return "--output: expected json or text" + foundText(value);
        options.shouldPrintJson = value == "json";
    } else if (key == TimeoutKey) {
        unsigned seconds = 0;
        if (!parseNumber(value, seconds) || seconds == 0)
            return "--timeout: expected a number of seconds" + foundText(value);
        options.timeout = std::chrono::seconds(seconds);
    } else {
        std::uint64_t revision = 0;
        if (!parseNumber(value, revision))
            return "--if-revision: expected a number" + foundText(value);
        options.ifRevision = revision;
    }
    return {};
}

/// Stores any option. Returns the error, or an empty text if the option is valid.
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

/// Checks and stores the command and its arguments. Returns the error, or an empty text if they are
/// valid.
std::string storeCommand(int argc, char **argv, Options &options)
{
    const std::string name = argv[optind];
    const auto *row = std::ranges::find(kCommands, name, &CommandSyntax::name);
    if (row == std::end(kCommands))
        return "expected a command" + foundText(name);
    options.command = row->command;
    options.arguments.assign(argv + optind + 1, argv + argc);
    const std::size_t count = options.arguments.size();
    if (count < row->minArguments || count > row->maxArguments)
        return name + ": expected another number of arguments" + foundText(std::to_string(count));
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
    bool isHelpOrVersion = false;
    for (int key = 0; (key = getopt_long(argc, argv, "s:o:f:t:", kOptions, nullptr)) != -1;) {
        if (key == '?')
            error = "expected a known option with its value" + foundText(argv[optind - 1]);
        else
            error = storeOption(key, options);
        if (!error.empty())
            return std::nullopt;
        isHelpOrVersion |= key == HelpKey || key == VersionKey;
    }
    if (isHelpOrVersion)
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
