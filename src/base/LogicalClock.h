#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstdint>

namespace oleanderport {

// The Lamport time of one process. Every event takes a higher time; every message carries the time of its sender, and
// the receiver goes on from the higher of both. The time runs at least with the wall clock, so that events that do not
// depend on one another stand about as they happened; a wrong wall clock cannot disturb the order of those that do.
class LogicalClock {
public:
    // Time to send along with a message.
    std::uint64_t time() const { return m_time; }

    // Time of a new event at the given wall-clock time.
    std::uint64_t next(Milliseconds unixTime)
    {
        const auto wall = static_cast<std::uint64_t>(std::max<std::int64_t>(unixTime.count, 0)) * ticksPerMillisecond;
        m_time = std::max(m_time + 1, wall);
        return m_time;
    }

    // Takes in the time that came with a message.
    void advanceTo(std::uint64_t time) { m_time = std::max(m_time, time); }

private:
    // Room for the events of one millisecond, so that a busy process does not run ahead of the others.
    static constexpr std::uint64_t ticksPerMillisecond = 1'000;

    std::uint64_t m_time { 0 };
};

} // namespace oleanderport
