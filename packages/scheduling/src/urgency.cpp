#include "scheduling/urgency.h"

#include <algorithm>

namespace chervilfield::scheduling {

bool isLong(const ScheduledRequest &request)
{
    return request.promptTokens > kLongPromptTokens;
}

int engineUrgency(const ScheduledRequest &request)
{
    constexpr int kLevelsPerPriority = 2;
    // Level 0 is kept for streams of the highest priority that have begun.
    constexpr int kFirstLevel = 1;
    const int priority = std::clamp(request.priority, 0, kMaxUrgency);
    const int level = kFirstLevel + kLevelsPerPriority * priority + (isLong(request) ? 1 : 0);
    return std::min(level, kMaxUrgency) - (request.hasStarted ? 1 : 0);
}

} // namespace chervilfield::scheduling
