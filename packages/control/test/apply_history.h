#pragma once

#include "base/result.h"
#include "configuration/change.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilfield::control {

/// One call of apply as its caller saw it.
struct ApplyCall
{
    std::string writeId;
    configuration::RevisionNumber base = 0;
    std::chrono::steady_clock::time_point start;
    std::chrono::steady_clock::time_point end;
    base::Result outcome = base::Result::Ok;
    configuration::RevisionNumber revision = 0; ///< With success, the revision of the change.
};

/// Returns how the concurrent `calls` contradict the sequential `log`, or nothing.
std::vector<std::string> checkHistory(const std::vector<ApplyCall> &calls,
                                      const std::vector<configuration::Revision> &log);

} // namespace chervilfield::control
