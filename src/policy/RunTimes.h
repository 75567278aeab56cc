#pragma once

#include "oleanderport/Clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace oleanderport {

// Estimates the run time of the tasks of one service as a mean that favours newer runs. It replaces run times declared by
// callers, which are often far off.
class RunTimes {
public:
    void record(Milliseconds ranFor)
    {
        ++m_count;
        const double weight = m_count < windowSize ? 1.0 / static_cast<double>(m_count) : 1.0 / windowSize;
        m_mean += weight * (static_cast<double>(ranFor.count) - m_mean);
        if (m_count % windowSize == 1) {
            m_previousShortest = m_shortest;
            m_shortest = ranFor;
        }
        m_shortest = std::min(m_shortest, ranFor);
    }

    // Mean run time in milliseconds; nullopt before enough runs are known.
    std::optional<double> mean() const
    {
        if (m_count < minCount)
            return std::nullopt;
        return m_mean;
    }

    // Shortest of the newest 200 to 400 runs; nullopt before enough runs are known.
    std::optional<Milliseconds> shortest() const
    {
        if (m_count < minCount)
            return std::nullopt;
        return m_count <= windowSize ? m_shortest : std::min(m_shortest, m_previousShortest);
    }

private:
    static constexpr std::uint64_t minCount = 20;
    static constexpr std::uint64_t windowSize = 200;

    std::uint64_t m_count { 0 };
    double m_mean { 0 };
    // Shortest run of the current and of the previous window of 200 runs.
    Milliseconds m_shortest {};
    Milliseconds m_previousShortest {};
};

} // namespace oleanderport
