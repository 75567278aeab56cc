#include "policy/MinionHealth.h"

#include "policy/Backoff.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace oleanderport {

namespace {

    // Weight of a new run time in the moving average.
    constexpr double newRunWeight = 0.2;

    double medianOf(std::vector<double> values)
    {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

} // namespace

MinionHealth::MinionHealth(const MinionHealthOptions& options)
    : m_options(options)
{
}

void MinionHealth::add(const SessionId& id, std::int64_t slots) { m_minions[id].slots = slots; }

void MinionHealth::remove(const SessionId& id)
{
    m_minions.erase(id);
    m_runTimes.clear();
}

void MinionHealth::record(const SessionId& id, TaskOutcome outcome, Milliseconds ranFor, Milliseconds now)
{
    const auto found = m_minions.find(id);
    if (found == m_minions.end() || outcome == TaskOutcome::Running)
        return;
    Minion& minion = found->second;
    if (outcome == TaskOutcome::NotStarted)
        return backOff(minion, now);
    const bool succeeded = outcome == TaskOutcome::Done;
    countRun(minion, succeeded, ranFor, now);
    // The minion or the connection to it failed; an immediate retry there would fail as well.
    if (outcome == TaskOutcome::Unknown)
        backOff(minion, now);
    else
        minion.consecutiveBackoffs = 0;
    if (minion.ejectedUntil)
        return advanceProbation(minion, succeeded, now);
    if (!succeeded && failsMoreThanOthers(id, minion) && mayEject(now))
        eject(minion, now);
}

void MinionHealth::recordStuck(const SessionId& id, Milliseconds now)
{
    const auto found = m_minions.find(id);
    if (found == m_minions.end())
        return;
    Minion& minion = found->second;
    ++minion.consecutiveStuck;
    if (!minion.ejectedUntil && isStuckMoreThanOthers(id, minion) && mayEject(now))
        eject(minion, now);
    record(id, TaskOutcome::Failed, {}, now);
}

bool MinionHealth::isStuckMoreThanOthers(const SessionId& id, const Minion& minion) const
{
    const auto stuckOthers = std::count_if(m_minions.begin(), m_minions.end(),
        [&](const auto& item) { return item.first != id && item.second.consecutiveStuck >= m_options.consecutiveStuckRuns; });
    return minion.consecutiveStuck >= m_options.consecutiveStuckRuns && stuckOthers * 2 < static_cast<std::ptrdiff_t>(m_minions.size());
}

void MinionHealth::decay(Minion& minion, Milliseconds now) const
{
    const double halfLives = static_cast<double>((now - minion.decayedAt).count) / static_cast<double>(m_options.halfLife.count);
    const double factor = std::exp2(-std::max(halfLives, 0.0));
    minion.results *= factor;
    minion.failures *= factor;
    minion.decayedAt = now;
}

void MinionHealth::countRun(Minion& minion, bool succeeded, Milliseconds ranFor, Milliseconds now)
{
    decay(minion, now);
    minion.results += 1;
    if (!succeeded) {
        minion.failures += 1;
        // The duration of a failed run doesn't show the minion's speed.
        return;
    }
    minion.consecutiveStuck = 0;
    const double time = static_cast<double>(ranFor.count);
    minion.meanRunTime = minion.timedRuns == 0 ? time : minion.meanRunTime + newRunWeight * (time - minion.meanRunTime);
    minion.timedRuns += 1;
    m_runTimes.clear();
}

void MinionHealth::backOff(Minion& minion, Milliseconds now)
{
    // Tasks in flight at the same time are refused together and count as one refusal.
    if (now < minion.backoffUntil)
        return;
    minion.backoffUntil = now + exponentialBackoff(m_options.initialBackoff, minion.consecutiveBackoffs, m_options.maxBackoff);
    ++minion.consecutiveBackoffs;
}

void MinionHealth::eject(Minion& minion, Milliseconds now)
{
    minion.ejectedUntil = now + exponentialBackoff(m_options.baseEjectionTime, minion.consecutiveEjections, m_options.maxEjectionTime);
    minion.probation = 1;
    ++minion.consecutiveEjections;
}

void MinionHealth::advanceProbation(Minion& minion, bool succeeded, Milliseconds now)
{
    // Results of runs that were in flight at the ejection don't count as probes.
    if (now < *minion.ejectedUntil)
        return;
    if (!succeeded)
        return eject(minion, now);
    minion.probation *= 2;
    if (minion.probation < minion.slots)
        return;
    minion.ejectedUntil.reset();
    minion.consecutiveEjections = 0;
    minion.results = 0;
    minion.failures = 0;
}

bool MinionHealth::mayEject(Milliseconds now) const
{
    if (m_minions.size() < 2)
        return false;
    const auto limit = static_cast<std::size_t>(m_options.maxEjectedRatio * static_cast<double>(m_minions.size()));
    return ejectedCount(now) < std::max<std::size_t>(limit, 1);
}

bool MinionHealth::failsMoreThanOthers(const SessionId& id, const Minion& minion) const
{
    if (minion.results < m_options.minResults)
        return false;
    const double share = minion.failures / minion.results;
    std::vector<double> others;
    for (const auto& [otherId, other] : m_minions) {
        if (otherId != id && other.results >= 1)
            others.push_back(other.failures / other.results);
    }
    return share >= m_options.failureRatio && !others.empty() && share >= medianOf(others) + m_options.failureRatioMargin;
}

std::optional<double> MinionHealth::medianRunTimeOfOthers(const Minion& minion) const
{
    // Called for every candidate of a placement, so it must not visit every other minion.
    if (m_runTimes.empty()) {
        for (const auto& [id, other] : m_minions) {
            if (isTimed(other))
                m_runTimes.push_back(other.meanRunTime);
        }
        std::sort(m_runTimes.begin(), m_runTimes.end());
    }
    if (m_runTimes.size() < 2)
        return std::nullopt;
    const auto own = std::lower_bound(m_runTimes.begin(), m_runTimes.end(), minion.meanRunTime);
    const auto middle = m_runTimes.begin() + static_cast<std::ptrdiff_t>((m_runTimes.size() - 1) / 2);
    return middle < own ? *middle : *(middle + 1);
}

std::int64_t MinionHealth::allowanceBySpeed(const Minion& minion) const
{
    const auto medianRunTime = isTimed(minion) ? medianRunTimeOfOthers(minion) : std::nullopt;
    if (!medianRunTime)
        return minion.slots;
    const double median = std::max(*medianRunTime, 1.0);
    if (minion.meanRunTime < median * m_options.stragglerRatio)
        return minion.slots;
    const double share = median / minion.meanRunTime;
    return std::max<std::int64_t>(std::llround(share * static_cast<double>(minion.slots)), 1);
}

std::optional<std::int64_t> MinionHealth::allowance(const SessionId& id, Milliseconds now) const
{
    const auto found = m_minions.find(id);
    if (found == m_minions.end())
        return std::nullopt;
    const Minion& minion = found->second;
    const bool isEjected = minion.ejectedUntil && now < *minion.ejectedUntil;
    if (isEjected || now < minion.backoffUntil)
        return 0;
    if (minion.ejectedUntil)
        return minion.probation;
    const std::int64_t limit = allowanceBySpeed(minion);
    if (limit >= minion.slots)
        return std::nullopt;
    return limit;
}

std::size_t MinionHealth::ejectedCount(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(m_minions.begin(), m_minions.end(),
        [now](const auto& item) { return item.second.ejectedUntil && now < *item.second.ejectedUntil; }));
}

} // namespace oleanderport
