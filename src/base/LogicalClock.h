#pragma once

#include <algorithm>
#include <cstdint>

namespace oleanderport {

// The Lamport time of one process. Every event takes the next time; every message carries the time of its sender, and
// the receiver goes on from the higher of both.
class LogicalClock {
public:
    // Time to send along with a message.
    std::uint64_t stamp() const { return m_time; }

    // Time of a new event.
    std::uint64_t next() { return ++m_time; }

    // Takes in the time that came with a message.
    void witness(std::uint64_t time) { m_time = std::max(m_time, time); }

private:
    std::uint64_t m_time { 0 };
};

} // namespace oleanderport
