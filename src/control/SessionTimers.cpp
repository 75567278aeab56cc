#include "control/SessionTimers.h"

namespace oleanderport {

void SessionTimers::heard(const SessionId& id, Milliseconds now, std::uint64_t viewVersion)
{
    m_heard[id] = { .at = now, .viewVersion = viewVersion };
}

std::uint64_t SessionTimers::confirmedView(const SessionId& id) const
{
    const auto heard = m_heard.find(id);
    return heard == m_heard.end() ? 0 : heard->second.viewVersion;
}

std::vector<SessionId> SessionTimers::expired(
    const std::vector<Member>& members, Milliseconds now, Milliseconds timeout)
{
    std::map<SessionId, Heard> kept;
    std::vector<SessionId> expired;
    for (const auto& member : members) {
        const auto heard = m_heard.find(member.id);
        const Heard last = heard == m_heard.end() ? Heard { .at = now } : heard->second;
        kept[member.id] = last;
        if (now >= last.at + timeout)
            expired.push_back(member.id);
    }
    m_heard = std::move(kept);
    return expired;
}

} // namespace oleanderport
