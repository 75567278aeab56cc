#include "oleanderport/Clock.h"

#include <ctime>

namespace oleanderport {

namespace {

    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    constexpr std::int64_t nanosecondsPerMicrosecond = 1'000;
    constexpr std::int64_t microsecondsPerMillisecond = 1'000;

    std::int64_t readMicroseconds(clockid_t id)
    {
        timespec value {};
        clock_gettime(id, &value);
        return value.tv_sec * microsecondsPerSecond + value.tv_nsec / nanosecondsPerMicrosecond;
    }

} // namespace

Milliseconds Clock::now() { return { nowMicroseconds() / microsecondsPerMillisecond }; }

std::int64_t Clock::nowMicroseconds() { return readMicroseconds(CLOCK_BOOTTIME); }

Milliseconds Clock::unixNow() { return { readMicroseconds(CLOCK_REALTIME) / microsecondsPerMillisecond }; }

} // namespace oleanderport
