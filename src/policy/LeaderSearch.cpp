#include "policy/LeaderSearch.h"

#include "policy/Backoff.h"

#include <algorithm>
#include <random>

namespace oleanderport {

namespace {

    bool contains(const std::vector<std::string>& list, const std::string& address)
    {
        return std::find(list.begin(), list.end(), address) != list.end();
    }

} // namespace

LeaderSearch::LeaderSearch(std::vector<std::string> peers, const LeaderSearchOptions& options)
    : m_options(options)
    , m_peers(std::move(peers))
    , m_target(m_peers.front())
{
}

void LeaderSearch::setPeers(std::vector<std::string> peers)
{
    m_peers = std::move(peers);
    const auto configured = [this](const std::string& address) { return contains(m_peers, address); };
    m_learned.erase(std::remove_if(m_learned.begin(), m_learned.end(), configured), m_learned.end());
}

void LeaderSearch::failed(const std::string& address, const std::string& named)
{
    if (m_confirmed == address)
        m_confirmed.clear();
    if (m_target != address)
        return;
    if (isKnown(address))
        m_lastCalled = address;
    // The group may include instances that this process does not know. A leader outside of them is tried when a known one
    // names it; if it does not answer, the next known one is tried.
    const bool follows = !named.empty() && named != address && (isKnown(named) || isKnown(address));
    m_target = follows ? named : after(m_lastCalled);
}

void LeaderSearch::learn(const std::vector<std::string>& instances, std::uint64_t random)
{
    if (instances.empty())
        return;
    std::vector<std::string> learned;
    for (const auto& address : instances) {
        if (!contains(m_peers, address) && !contains(learned, address))
            learned.push_back(address);
    }
    // The order is kept while the group stays the same, so that the search reaches every instance.
    if (std::is_permutation(learned.begin(), learned.end(), m_learned.begin(), m_learned.end()))
        return;
    std::mt19937_64 engine(random);
    std::shuffle(learned.begin(), learned.end(), engine);
    m_learned = std::move(learned);
}

std::string LeaderSearch::nextQuery(const std::string& asked, Milliseconds now)
{
    if (m_lastQueryAt && now < *m_lastQueryAt + m_options.queryAfter)
        return {};
    std::string next = after(m_lastQueried.empty() ? asked : m_lastQueried);
    if (next == asked)
        next = after(next);
    if (next == asked)
        return {};
    m_lastQueried = next;
    m_lastQueryAt = now;
    return next;
}

Milliseconds LeaderSearch::queryDelay(std::uint64_t random) const { return jitteredRetryAfter(m_options.queryAfter, random); }

bool LeaderSearch::isKnown(const std::string& address) const { return contains(m_peers, address) || contains(m_learned, address); }

std::vector<std::string> LeaderSearch::known() const
{
    std::vector<std::string> all = m_peers;
    all.insert(all.end(), m_learned.begin(), m_learned.end());
    return all;
}

std::string LeaderSearch::after(const std::string& address) const
{
    const auto all = known();
    const auto position = std::find(all.begin(), all.end(), address);
    return position == all.end() || position + 1 == all.end() ? all.front() : *(position + 1);
}

} // namespace oleanderport
