#pragma once

#include "base/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace chervilfield::admission {

using TimePoint = std::chrono::steady_clock::time_point;

/// Class of a request. Short work is interactive and quick to prefill; long work can wait. The
/// classes have separate budgets, so that short work does not queue behind long work.
enum class WorkClass : std::uint8_t { Short, Long };
inline constexpr std::size_t kWorkClassCount = 2;

/// Reason why a request was not admitted. Admission precedes dispatch, so the request was not run.
struct Refusal
{
    base::Result result = base::Result::Overloaded;
    base::WorkStatus work = base::WorkStatus::NotRun;
    std::chrono::milliseconds retryAfter{ 0 }; ///< 0 if a retry is not expected to help.
};

} // namespace chervilfield::admission
