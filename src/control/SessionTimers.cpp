#include "control/SessionTimers.h"

namespace oleanderport {

void SessionTimers::recordContact(const SessionId& id, Milliseconds now, std::uint64_t viewVersion)
{
    m_contacts[id] = { .at = now, .viewVersion = viewVersion };
}

std::uint64_t SessionTimers::confirmedView(const SessionId& id) const
{
    const auto contact = m_contacts.find(id);
    return contact == m_contacts.end() ? 0 : contact->second.viewVersion;
}

std::vector<SessionId> SessionTimers::expired(
    const std::vector<Member>& members, Milliseconds now, Milliseconds timeout)
{
    std::map<SessionId, Contact> kept;
    std::vector<SessionId> expired;
    for (const auto& member : members) {
        const auto contact = m_contacts.find(member.id);
        const Contact last = contact == m_contacts.end() ? Contact { .at = now } : contact->second;
        kept[member.id] = last;
        if (now >= last.at + timeout)
            expired.push_back(member.id);
    }
    m_contacts = std::move(kept);
    return expired;
}

} // namespace oleanderport
