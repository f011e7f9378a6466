#include "net/descriptors.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace chervilfield::net {

std::size_t descriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
}

void lowerDescriptorLimit(std::size_t count)
{
    constexpr std::size_t kMinCount = 64;
    rlimit limit{};
    if (count < kMinCount || getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur <= count)
        return;
    limit.rlim_cur = count;
    // On failure the limit of the platform stays in force.
    static_cast<void>(setrlimit(RLIMIT_NOFILE, &limit));
}

std::size_t connectionShare(std::size_t limit)
{
    return std::max<std::size_t>(limit / 16 * 7, 1);
}

} // namespace chervilfield::net
