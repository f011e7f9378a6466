#pragma once

#include "ctl/options.h"

#include <iosfwd>

namespace chervilfield::ctl {

/// Runs one command against the administration API at `options.server` and returns the exit code.
/// Prints results, and the list of faults of a change that the daemon refuses, to `out`, and other
/// errors to `err`. With `--output json`, prints error responses to `out` as the daemon sent them.
/// Blocks the calling thread.
ExitCode run(const Options &options, std::ostream &out, std::ostream &err);

} // namespace chervilfield::ctl
