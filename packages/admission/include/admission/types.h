#pragma once

#include "base/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace chervilfield::admission {

using TimePoint = std::chrono::steady_clock::time_point;

/// Short work is interactive and quick to prefill; long work can wait. They never share a budget,
/// so that short work does not queue behind long work.
enum class WorkClass : std::uint8_t { Short, Long };
inline constexpr std::size_t kWorkClassCount = 2;

/// Why a request was not admitted. Admission happens before dispatch, so the work was not run.
struct Refusal
{
    base::Result result = base::Result::Overloaded;
    base::WorkStatus work = base::WorkStatus::NotRun;
    std::chrono::milliseconds retryAfter{ 0 }; ///< 0 if a retry is not expected to help.
};

} // namespace chervilfield::admission
