#include "control/SessionTimers.h"

namespace oleanderport {

void SessionTimers::heard(const SessionId& id, Milliseconds now) { m_heard[id] = now; }

std::vector<SessionId> SessionTimers::expired(
    const std::vector<Member>& members, Milliseconds now, Milliseconds timeout)
{
    std::map<SessionId, Milliseconds> kept;
    std::vector<SessionId> expired;
    for (const auto& member : members) {
        const auto heard = m_heard.find(member.id);
        const Milliseconds last = heard == m_heard.end() ? now : heard->second;
        kept[member.id] = last;
        if (now >= last + timeout)
            expired.push_back(member.id);
    }
    m_heard = std::move(kept);
    return expired;
}

} // namespace oleanderport
