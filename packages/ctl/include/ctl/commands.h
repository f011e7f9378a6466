#pragma once

#include "ctl/options.h"

#include <iosfwd>

namespace chervilfield::ctl {

/// Runs one command against the administration address and returns the exit code. Results go to
/// `out`; errors go to `err`, or with `--output json` to `out` as the daemon sent them.
ExitCode run(const Options &options, std::ostream &out, std::ostream &err);

} // namespace chervilfield::ctl
