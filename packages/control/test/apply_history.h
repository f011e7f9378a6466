#pragma once

#include "base/result.h"
#include "configuration/change.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilfield::control {

/// One call of `ConfigurationLog::apply` as its caller saw it.
struct ApplyCall
{
    std::string writeId;
    configuration::RevisionNumber base = 0; ///< Base revision of the change.
    std::chrono::steady_clock::time_point start;
    std::chrono::steady_clock::time_point end;
    base::Result outcome = base::Result::Ok;
    configuration::RevisionNumber revision = 0; ///< On success, the revision of the change.
};

/// Checks concurrent `calls` against the sequential `log`. Returns a description of each violation;
/// empty if the log is a valid order of the calls.
std::vector<std::string> checkHistory(const std::vector<ApplyCall> &calls,
                                      const std::vector<configuration::Revision> &log);

} // namespace chervilfield::control
