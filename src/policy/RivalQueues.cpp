#include "policy/RivalQueues.h"

namespace oleanderport {

namespace {

    constexpr std::int64_t notSlowed = 100;
    // One minion alone may have another reason.
    constexpr std::size_t minSidecars = 2;

} // namespace

void RivalQueues::add(const std::string& sidecar)
{
    if (m_minions.emplace(nameDigest(sidecar), sidecar).second)
        divideMinions();
}

void RivalQueues::divideMinions()
{
    m_halfOfMinion.clear();
    std::size_t rank = 0;
    for (const auto& [digest, minion] : m_minions)
        m_halfOfMinion[minion] = 2 * rank++ < m_minions.size() ? 0 : 1;
}

void RivalQueues::reported(const std::string& sidecar, const std::vector<QueueSlowdown>& slowdowns)
{
    std::set<Queues>& pairs = m_reports[sidecar];
    pairs.clear();
    for (const auto& each : slowdowns) {
        if (each.percent > notSlowed)
            pairs.insert(ordered(each.queue, each.neighbour));
    }
    update();
}

void RivalQueues::remove(const std::string& sidecar)
{
    if (m_minions.erase({ nameDigest(sidecar), sidecar }) > 0)
        divideMinions();
    if (m_reports.erase(sidecar) > 0)
        update();
}

void RivalQueues::update()
{
    std::map<Queues, std::size_t> sidecars;
    for (const auto& [sidecar, pairs] : m_reports) {
        for (const auto& pair : pairs)
            ++sidecars[pair];
    }
    const auto former = std::exchange(m_rivals, {});
    for (const auto& [pair, count] : sidecars) {
        if (count >= minSidecars)
            m_rivals.insert(pair);
    }
    if (m_rivals == former)
        return;
    for (const auto& pair : m_rivals) {
        if (!former.contains(pair))
            m_changes.push_back({ .queue = pair.first, .neighbour = pair.second, .isKeptApart = true, .sidecars = sidecars[pair] });
    }
    for (const auto& pair : former) {
        if (!m_rivals.contains(pair))
            m_changes.push_back({ .queue = pair.first, .neighbour = pair.second, .isKeptApart = false, .sidecars = sidecars[pair] });
    }
    assignHalves();
}

// Greedy colouring in the order of digests, which all entries share. Queues that rival only themselves have no half.
void RivalQueues::assignHalves()
{
    m_halves.clear();
    std::map<std::uint64_t, std::set<std::uint64_t>> others;
    for (const auto& [a, b] : m_rivals) {
        if (a == b)
            continue;
        others[a].insert(b);
        others[b].insert(a);
    }
    for (const auto& [queue, rivals] : others) {
        int taken[2] = { 0, 0 };
        for (const auto rival : rivals) {
            if (const auto half = m_halves.find(rival); half != m_halves.end())
                ++taken[half->second];
        }
        m_halves[queue] = taken[0] <= taken[1] ? 0 : 1;
    }
}

bool RivalQueues::prefersOtherMinions(std::uint64_t queue, const std::string& sidecar) const
{
    const auto half = m_halves.find(queue);
    const auto minion = m_halfOfMinion.find(sidecar);
    return half != m_halves.end() && minion != m_halfOfMinion.end() && half->second != minion->second;
}

} // namespace oleanderport
