#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstdint>

namespace oleanderport {

// Lamport clock of one process. Every event advances it; every message carries the sender's time, and the receiver
// continues from the higher of the two. The time never falls behind the wall clock, so that independent events are
// ordered roughly as they happened; a wrong wall clock can't disturb the causal order.
class LogicalClock {
public:
    // Current time, sent with each message.
    std::uint64_t time() const { return m_time; }

    // Advances the clock for a new event at the given wall-clock time and returns the event's time.
    std::uint64_t next(Milliseconds unixTime)
    {
        const auto wall = static_cast<std::uint64_t>(std::max<std::int64_t>(unixTime.count, 0)) * ticksPerMillisecond;
        m_time = std::max(m_time + 1, wall);
        return m_time;
    }

    // Advances the clock to the time received with a message, if that is later.
    void advanceTo(std::uint64_t time) { m_time = std::max(m_time, time); }

private:
    // Leaves room for many events per millisecond, so that the clock of a busy process doesn't run ahead of the others.
    static constexpr std::uint64_t ticksPerMillisecond = 1'000;

    std::uint64_t m_time { 0 };
};

} // namespace oleanderport
