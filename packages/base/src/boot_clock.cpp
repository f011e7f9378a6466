#include "base/boot_clock.h"

#include <ctime>

namespace chervilfield::base {

BootClock::time_point BootClock::now() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace chervilfield::base
