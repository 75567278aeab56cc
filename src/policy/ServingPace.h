#pragma once

#include "oleanderport/Clock.h"

#include <cstddef>
#include <optional>

// Limits how long a process serves queued calls without a break, and how many calls may queue. After a restart hundreds of
// processes open their sessions at the same leader. If its heartbeats to the Raft group waited behind these calls, the group
// would elect another leader, which would have to serve all of them from the beginning.
namespace oleanderport {

struct ServingPaceOptions {
    // Longest time that calls are served before timers and Raft messages are handled.
    Milliseconds slice { 20 };
    // A call that would wait longer is refused with a retry-after time. Shorter than a caller's timeout for one answer.
    Milliseconds maxWait { 500 };
    // Assumed time from one call to the next before any was measured, in milliseconds.
    double initialGap { 1 };
};

class ServingPace {
public:
    explicit ServingPace(const ServingPaceOptions& options)
        : m_options(options)
        , m_gap(options.initialGap)
    {
    }

    // Retry-after time for a call that arrives behind `waiting` others; nothing when it may wait here.
    std::optional<Milliseconds> retryAfter(std::size_t waiting) const
    {
        const Milliseconds wait = expectedWait(waiting);
        if (wait <= m_options.maxWait)
            return std::nullopt;
        return wait;
    }

    bool isSliceOver(Milliseconds begin, Milliseconds now) const { return now >= begin + m_options.slice; }

    // Records a slice that ended now and served `calls` calls; `callsLeft` wait for the next slice.
    void recordSlice(std::size_t calls, std::size_t callsLeft, Milliseconds now)
    {
        // The time between the ends of two slices includes the other work of the process. Time without calls is not counted.
        if (calls > 0 && m_lastSliceEnd) {
            const double gap = static_cast<double>((now - *m_lastSliceEnd).count) / static_cast<double>(calls);
            m_gap += newSliceWeight * (gap - m_gap);
        }
        m_lastSliceEnd.reset();
        if (callsLeft > 0)
            m_lastSliceEnd = now;
    }

    Milliseconds expectedWait(std::size_t waiting) const
    {
        return { static_cast<std::int64_t>(static_cast<double>(waiting) * m_gap) };
    }

private:
    static constexpr double newSliceWeight = 0.2;

    ServingPaceOptions m_options;
    double m_gap;
    // End of the last slice that left calls waiting.
    std::optional<Milliseconds> m_lastSliceEnd;
};

} // namespace oleanderport
