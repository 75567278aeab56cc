#pragma once

#include "oleanderport/Clock.h"
#include "oleanderport/Messages.h"

#include <map>
#include <vector>

namespace oleanderport {

// When each session was last heard of by this control instance. Only the leader uses it.
class SessionTimers {
public:
    void heard(const SessionId&, Milliseconds now);

    // Sessions among `members` that have been silent for `timeout`. One never heard of counts from now on, so a new
    // leader gives every session the full time.
    std::vector<SessionId> expired(const std::vector<Member>& members, Milliseconds now, Milliseconds timeout);

    // Forgets everything, on a change of leadership.
    void clear() { m_heard.clear(); }

private:
    std::map<SessionId, Milliseconds> m_heard;
};

} // namespace oleanderport
