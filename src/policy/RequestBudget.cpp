#include "policy/RequestBudget.h"

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    // More than an ordinary job or a heartbeat costs.
    constexpr std::size_t smallRequestBytes = 16 * 1024;

} // namespace

template <typename Change>
void RequestBudget::recount(Held& held, Change apply)
{
    m_bytes -= held.bytes();
    m_unreclaimableBytes -= held.unreclaimableBytes();
    apply(held);
    m_bytes += held.bytes();
    m_unreclaimableBytes += held.unreclaimableBytes();
}

template <typename Change>
void RequestBudget::change(Connection connection, Change apply)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.isClosed)
        return;
    Held& held = found->second;
    m_reclaimable.erase({ held.reclaimableBytes(), connection });
    recount(held, apply);
    if (held.reclaimableBytes() > 0)
        m_reclaimable.emplace(held.reclaimableBytes(), connection);
    if (const auto reason = refusalOf(held))
        m_refused.insert_or_assign(connection, *reason);
    else
        m_refused.erase(connection);
}

std::optional<RequestRefusal> RequestBudget::refusalOf(const Held& held) const
{
    if (held.receivedBytes > held.maxRequestBytes)
        return RequestRefusal::TooLarge;
    if (held.receivedHead.lines > m_maxLines)
        return RequestRefusal::TooManyHeaders;
    return std::nullopt;
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
    const auto found = m_connections.find(connection);
    if (found != m_connections.end() && found->second.receivedBytes == 0)
        found->second.activeAt = now;
}

void RequestBudget::closed(Connection connection)
{
    change(connection, [](Held& held) { held = { .handledBytes = held.handledBytes, .handledHead = held.handledHead, .isClosed = true }; });
    eraseIfDone(connection);
}

void RequestBudget::received(Connection connection, std::size_t bytes, const HeadPart& head)
{
    change(connection, [bytes, &head](Held& held) {
        held.receivedBytes += bytes;
        held.receivedHead += head;
    });
}

void RequestBudget::handedOver(Connection connection, std::size_t nextBytes, const HeadPart& nextHead)
{
    change(connection, [nextBytes, &nextHead](Held& held) {
        held.handledBytes += held.receivedBytes - std::min(nextBytes, held.receivedBytes);
        held.handledHead += std::exchange(held.receivedHead, nextHead);
        held.receivedBytes = nextBytes;
    });
}

bool RequestBudget::retain(Connection connection, std::size_t bytes)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.isClosed)
        return true;
    const std::size_t limit = bytes > smallRequestBytes ? m_maxBytes / 2 : m_maxBytes / 4 * 3;
    if (m_unreclaimableBytes - found->second.handledBytes + bytes > limit)
        return false;
    change(connection, [bytes](Held& held) { held.handledBytes = bytes; });
    return true;
}

void RequestBudget::released(Connection connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    Held& held = found->second;
    const auto release = [](Held& each) {
        each.handledBytes = 0;
        const HeadPart head = std::exchange(each.handledHead, {});
        if (each.unsentBytes > 0)
            each.answeredHead = head;
    };
    if (!held.isClosed)
        return change(connection, release);
    recount(held, release);
    eraseIfDone(connection);
}

void RequestBudget::unsent(Connection connection, std::size_t bytes)
{
    change(connection, [bytes](Held& held) {
        held.unsentBytes = bytes;
        if (bytes == 0)
            held.answeredHead = {};
    });
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
    if (!m_refused.empty())
        return Victim { .connection = m_refused.begin()->first, .reason = m_refused.begin()->second };
    if (m_bytes <= m_maxBytes || m_reclaimable.empty())
        return std::nullopt;
    return Victim { .connection = m_reclaimable.rbegin()->second, .reason = RequestRefusal::OverBudget };
}

} // namespace oleanderport
