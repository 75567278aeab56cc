#include "policy/RequestBudget.h"

#include <algorithm>
#include <utility>

namespace oleanderport {

template <typename Change>
void RequestBudget::change(Connection connection, Change apply)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.isClosed)
        return;
    Held& held = found->second;
    m_bytes -= held.bytes();
    m_reclaimable.erase({ held.reclaimableBytes(), connection });
    apply(held);
    m_bytes += held.bytes();
    if (held.reclaimableBytes() > 0)
        m_reclaimable.emplace(held.reclaimableBytes(), connection);
    if (held.isTooLarge())
        m_tooLarge.insert(connection);
    else
        m_tooLarge.erase(connection);
}

void RequestBudget::eraseIfDone(Connection connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end() && found->second.isClosed && found->second.bytes() == 0)
        m_connections.erase(found);
}

void RequestBudget::opened(Connection connection, std::size_t maxRequestBytes, Milliseconds now)
{
    m_connections[connection] = { .maxRequestBytes = maxRequestBytes, .activeAt = now };
}

void RequestBudget::active(Connection connection, Milliseconds now)
{
    if (const auto found = m_connections.find(connection); found != m_connections.end())
        found->second.activeAt = now;
}

void RequestBudget::closed(Connection connection)
{
    change(connection, [](Held& held) { held = { .handledBytes = held.handledBytes, .isClosed = true }; });
    eraseIfDone(connection);
}

void RequestBudget::received(Connection connection, std::size_t bytes)
{
    change(connection, [bytes](Held& held) { held.receivedBytes += bytes; });
}

void RequestBudget::handedOver(Connection connection, std::size_t nextBytes)
{
    change(connection, [nextBytes](Held& held) {
        held.handledBytes += held.receivedBytes - std::min(nextBytes, held.receivedBytes);
        held.receivedBytes = nextBytes;
    });
}

void RequestBudget::released(Connection connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    m_bytes -= std::exchange(found->second.handledBytes, 0);
    eraseIfDone(connection);
}

void RequestBudget::unsent(Connection connection, std::size_t bytes)
{
    change(connection, [bytes](Held& held) { held.unsentBytes = bytes; });
}

std::vector<RequestBudget::Connection> RequestBudget::longestIdle(Milliseconds now, Milliseconds minIdle, std::size_t count) const
{
    std::vector<std::pair<Milliseconds, Connection>> idle;
    for (const auto& [connection, held] : m_connections) {
        const bool isBusy = held.isClosed || held.handledBytes > 0 || held.unsentBytes > 0;
        if (!isBusy && now >= held.activeAt + minIdle)
            idle.emplace_back(held.activeAt, connection);
    }
    std::sort(idle.begin(), idle.end());
    std::vector<Connection> chosen;
    for (std::size_t i = 0; i < std::min(count, idle.size()); ++i)
        chosen.push_back(idle[i].second);
    return chosen;
}

std::optional<RequestBudget::Victim> RequestBudget::victim() const
{
    if (!m_tooLarge.empty())
        return Victim { .connection = *m_tooLarge.begin(), .reason = RequestRefusal::TooLarge };
    if (m_bytes <= m_maxBytes || m_reclaimable.empty())
        return std::nullopt;
    return Victim { .connection = m_reclaimable.rbegin()->second, .reason = RequestRefusal::OverBudget };
}

} // namespace oleanderport
