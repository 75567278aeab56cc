#include "policy/TaskInterference.h"

#include <algorithm>
#include <cmath>

namespace oleanderport {

namespace {

    constexpr double percent = 100;
    constexpr std::int64_t notSlowed = 100;

} // namespace

void TaskInterference::Sample::add(double value, double maxRuns)
{
    runs = std::min(runs + 1, maxRuns);
    const double weight = 1 / runs;
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

void TaskInterference::record(std::uint64_t queue, const std::string& job, const std::set<std::uint64_t>& neighbours, double ratio, Milliseconds now)
{
    std::string& lastJob = m_queues[queue];
    if (ratio <= 0 || lastJob == job)
        return;
    lastJob = job;
    for (const auto neighbour : neighbours)
        m_queues.try_emplace(neighbour);
    const double value = std::log(ratio);
    for (const auto& [neighbour, name] : m_queues) {
        const Queues queues { queue, neighbour };
        Pair& pair = m_pairs[queues];
        if (pair.beside.runs > 0 && now > pair.lastBesideAt + m_options.forgetAfter)
            pair.beside = {};
        if (neighbours.contains(neighbour)) {
            pair.lastBesideAt = now;
            pair.beside.add(value, m_options.maxRuns);
        } else {
            pair.without.add(value, m_options.maxRuns);
        }
        judge(queues, pair);
    }
}

void TaskInterference::judge(const Queues& queues, Pair& pair)
{
    const bool isCompared = pair.beside.runs >= m_options.minRuns && pair.without.runs >= m_options.minRuns;
    // A pair that is kept apart stays so while too few of its runs meet to tell.
    if (!isCompared && (!pair.isSlowed || pair.beside.runs > 0))
        return;
    const double difference = isCompared ? pair.beside.mean - pair.without.mean : 0;
    const double error = isCompared ? std::sqrt(pair.beside.variance / pair.beside.runs + pair.without.variance / pair.without.runs) : 0;
    const double threshold = std::log(pair.isSlowed ? m_options.releaseRatio : m_options.slowdownRatio);
    const bool isSlowed = difference >= threshold && (pair.isSlowed || difference >= m_options.minStandardErrors * error);
    if (isSlowed == pair.isSlowed)
        return;
    pair.isSlowed = isSlowed;
    report(queues, isSlowed ? static_cast<std::int64_t>(std::exp(difference) * percent) : notSlowed);
}

void TaskInterference::report(const Queues& queues, std::int64_t slowdownPercent)
{
    ++m_version;
    const auto found = std::find_if(m_slowdowns.begin(), m_slowdowns.end(),
        [&queues](const QueueSlowdown& each) { return each.queue == queues.first && each.neighbour == queues.second; });
    if (found != m_slowdowns.end())
        found->percent = slowdownPercent;
    else
        m_slowdowns.push_back({ .queue = queues.first, .neighbour = queues.second, .percent = slowdownPercent });
}

} // namespace oleanderport
