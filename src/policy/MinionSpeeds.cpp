#include "policy/MinionSpeeds.h"

#include <algorithm>
#include <cmath>

namespace oleanderport {

namespace {

    // The summary is read for each candidate of a placement.
    constexpr Milliseconds summaryPeriod { 100 };

} // namespace

void MinionSpeeds::record(const std::string& minion, double ratio, Milliseconds now)
{
    Minion& known = m_minions[minion];
    if (now > known.lastAt + m_options.forgetAfter)
        known = {};
    known.lastAt = now;
    known.runs += 1;
    const double bounded = std::clamp(ratio, 1 / m_options.maxRatio, m_options.maxRatio);
    known.logRatio += std::max(1 / known.runs, m_options.minWeight) * (std::log(bounded) - known.logRatio);
}

void MinionSpeeds::remove(const std::string& minion)
{
    m_minions.erase(minion);
    m_summarizedAt.reset();
}

bool MinionSpeeds::isKnown(const Minion& minion, Milliseconds now) const
{
    return minion.runs >= m_options.minRuns && now <= minion.lastAt + m_options.forgetAfter;
}

void MinionSpeeds::summarize(Milliseconds now) const
{
    if (m_summarizedAt && now < *m_summarizedAt + summaryPeriod)
        return;
    m_summarizedAt = now;
    m_mean = 1;
    double sum = 0;
    std::size_t known = 0;
    for (const auto& [name, minion] : m_minions) {
        if (!isKnown(minion, now))
            continue;
        sum += std::exp(minion.logRatio);
        ++known;
    }
    if (known > 0)
        m_mean = sum / static_cast<double>(known);
}

double MinionSpeeds::slowness(const std::string& minion, Milliseconds now) const
{
    const auto found = m_minions.find(minion);
    if (found == m_minions.end() || !isKnown(found->second, now))
        return 1;
    summarize(now);
    return std::exp(found->second.logRatio) / m_mean;
}

} // namespace oleanderport
