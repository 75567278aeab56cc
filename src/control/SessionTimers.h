#pragma once

#include "oleanderport/Clock.h"
#include "oleanderport/Messages.h"

#include <map>
#include <vector>

namespace oleanderport {

// When each session was last heard of by this control instance. Only the leader uses it.
class SessionTimers {
public:
    // `viewVersion` is the view that the holder of the session says it has.
    void recordContact(const SessionId&, Milliseconds now, std::uint64_t viewVersion);

    // The view that the holder confirmed last; zero when it was not heard of.
    std::uint64_t confirmedView(const SessionId&) const;

    // Sessions among `members` that have been silent for `timeout`. One never heard of counts from now on, so a new
    // leader gives every session the full time.
    std::vector<SessionId> expired(const std::vector<Member>& members, Milliseconds now, Milliseconds timeout);

    // Forgets everything, on a change of leadership.
    void clear() { m_contacts.clear(); }

private:
    struct Contact {
        Milliseconds at {};
        std::uint64_t viewVersion { 0 };
    };

    std::map<SessionId, Contact> m_contacts;
};

} // namespace oleanderport
