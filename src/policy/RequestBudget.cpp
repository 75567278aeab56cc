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

void RequestBudget::opened(Connection connection, std::size_t maxRequestBytes)
{
    m_connections[connection].maxRequestBytes = maxRequestBytes;
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

std::optional<RequestBudget::Victim> RequestBudget::victim() const
{
    if (!m_tooLarge.empty())
        return Victim { .connection = *m_tooLarge.begin(), .reason = RequestRefusal::TooLarge };
    if (m_bytes <= m_maxBytes || m_reclaimable.empty())
        return std::nullopt;
    return Victim { .connection = m_reclaimable.rbegin()->second, .reason = RequestRefusal::OverBudget };
}

} // namespace oleanderport
