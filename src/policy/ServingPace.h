#pragma once

#include "oleanderport/Clock.h"

#include <cstddef>
#include <optional>

// How much of the calls that wait a process serves at a stretch, and how many may wait. Answers the load of a restart, in
// which hundreds of processes open their sessions at the same leader: its heartbeats to the group must not wait behind
// them, or the group elects another leader, which has to serve the same crowd from the beginning.
namespace oleanderport {

struct ServingPaceOptions {
    // Longest that calls are served before timers and the group's messages have their turn.
    Milliseconds slice { 20 };
    // A call that would wait longer than this is told when to come back. Less than a caller waits for one answer.
    Milliseconds maxWait { 500 };
    // Time from one call to the next as long as none was timed, in milliseconds.
    double initialGap { 1 };
};

class ServingPace {
public:
    explicit ServingPace(const ServingPaceOptions& options)
        : m_options(options)
        , m_gap(options.initialGap)
    {
    }

    // When a call that arrives behind so many others is to come again; nothing when it may wait here.
    std::optional<Milliseconds> retryAfter(std::size_t waiting) const
    {
        const Milliseconds wait = expectedWait(waiting);
        if (wait <= m_options.maxWait)
            return std::nullopt;
        return wait;
    }

    bool isSliceOver(Milliseconds begin, Milliseconds now) const { return now >= begin + m_options.slice; }

    // Learns from a slice that ended now and served so many calls; `callsLeft` wait for the next.
    void recordSlice(std::size_t calls, std::size_t callsLeft, Milliseconds now)
    {
        // From one slice to the next the rest of the process's work has its turn as well. Time without calls says nothing.
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
