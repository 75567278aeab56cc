#pragma once

#include "oleanderport/Clock.h"
#include "oleanderport/Messages.h"

#include <map>
#include <vector>

namespace oleanderport {

// Time of the last contact with the process of each session. Used only by the leader.
class SessionTimers {
public:
    // `viewVersion` is the view version that the session's process reported.
    void recordContact(const SessionId&, Milliseconds now, std::uint64_t viewVersion);

    // View version that the session's process reported last; zero if none was recorded.
    std::uint64_t confirmedView(const SessionId&) const;

    // Sessions of `members` without contact for `timeout`. For a session without a record the time starts now, so a new leader gives
    // every session the full timeout. Records of other sessions are removed.
    std::vector<SessionId> expired(const std::vector<Member>& members, Milliseconds now, Milliseconds timeout);

    // Removes all records, when this instance is not the leader or was paused.
    void clear() { m_contacts.clear(); }

private:
    struct Contact {
        Milliseconds at {};
        std::uint64_t viewVersion { 0 };
    };

    std::map<SessionId, Contact> m_contacts;
};

} // namespace oleanderport
