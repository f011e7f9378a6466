#pragma once

#include "net/address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::ctl {

/// Command of `chervilfieldctl`.
enum class Command {
    Help,
    Version,
    Apply,
    Get,
    Diff,
    Delete,
    Status,
    Explain,
    Timeline,
    Drain,
};

/// Exit codes of `chervilfieldctl`; scripts may rely on them. `docs/operators.md` lists them.
enum class ExitCode {
    Ok = 0,
    Failed = 1,      ///< An error without an exit code of its own.
    Usage = 2,       ///< The command line is not valid.
    Invalid = 3,     ///< The change is not valid; nothing was changed.
    Conflict = 4,    ///< Another change was accepted first; nothing was changed.
    Unavailable = 5, ///< The daemon or the store does not respond; nothing was changed.
    Undecided = 6,   ///< It is unknown whether the change took effect.
    TimedOut = 7,    ///< `status --wait` ended before the revision was in force everywhere.
    NotFound = 8,    ///< The requested resource or function does not exist.
};

/// Parsed command line.
struct Options
{
    Command command = Command::Help;
    std::vector<std::string> arguments; ///< The arguments that follow the command.
    net::Address server{ "127.0.0.1", 0 };
    /// Bounds each request, and the whole wait of `status --wait`.
    std::chrono::milliseconds timeout{ 10000 };
    std::optional<std::string> file; ///< Path of the resource file; "-" is the standard input.
    std::optional<std::uint64_t> ifRevision; ///< Base revision; the latest one if not set.
    std::optional<std::string> writeId; ///< Write id of an earlier attempt; a new one if not set.
    bool shouldPrintJson = false;
    bool isDryRun = false;
    bool shouldOnlyCheck = false; ///< `--check`: validates the file without a daemon.
    bool shouldWait = false;      ///< `--wait`: waits until the revision is in force everywhere.
};

/// Parses the command line with `getopt_long`. If it is not valid, returns no value and stores in
/// `error` what was expected and what was found. Not thread-safe.
std::optional<Options> parseOptions(int argc, char **argv, std::string &error);

/// Returns the text of `--help`.
std::string helpText();

} // namespace chervilfield::ctl
