#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <optional>

namespace oleanderport {

// Learns how long the tasks of one service run, as a mean in which newer runs count more. It stands in for run times
// that callers declare, which are often far off.
class RunTimes {
public:
    void record(Milliseconds ranFor)
    {
        ++m_count;
        const double weight = m_count < steadyCount ? 1.0 / static_cast<double>(m_count) : 1.0 / steadyCount;
        m_mean += weight * (static_cast<double>(ranFor.count) - m_mean);
    }

    // Mean run time in milliseconds; nothing before enough runs are known.
    std::optional<double> mean() const
    {
        if (m_count < leastCount)
            return std::nullopt;
        return m_mean;
    }

private:
    static constexpr std::uint64_t leastCount = 20;
    static constexpr std::uint64_t steadyCount = 200;

    std::uint64_t m_count { 0 };
    double m_mean { 0 };
};

} // namespace oleanderport
