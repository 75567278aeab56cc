#pragma once

#include "wire/ControlClient.h"
#include "wire/Process.h"

#include <functional>
#include <memory>
#include <optional>

namespace oleanderport {

// The session that an entry or sidecar keeps with control: opens it, renews the lease by heartbeat, holds the newest
// view. When control says that the session has ended, opens a new one with a new incarnation.
class ControlSession {
public:
    struct Callbacks {
        std::function<void(const ClusterView&)> viewChanged;
        // A session was opened; the former one, if any, is no more.
        std::function<void(const SessionId&)> opened;
        // The session was ended by control.
        std::function<void()> ended;
        std::function<void()> leaseRenewed;
    };

    ControlSession(Process&, ControlClient&, Callbacks);

    // Opens a session for this node and keeps it until stop().
    void start(const NodeInfo&);

    // Closes the session at control, then calls back, also when control does not answer.
    void stop(std::function<void()> done);

    // Asks control for the current view now rather than at the next heartbeat. Calls that follow each other within a
    // tenth of a heartbeat, or while an answer is awaited, do nothing.
    void refresh();

    // Set while a session is open.
    const std::optional<SessionId>& id() const { return m_id; }
    const ClusterView& view() const { return m_view; }

    // Nothing may start from this time on, on Clock::now(). Counted from the moment at which the request was sent.
    Milliseconds leaseEnd() const { return m_leaseEnd; }
    bool hasLease() const { return Clock::now() < m_leaseEnd; }

private:
    void beat();
    void open();
    void renew();
    void take(const SessionResponse&, Milliseconds sentAt);
    // Brings the view up to date. A view never goes back to an older version.
    void takeView(SessionResponse);
    HeartbeatRequest heartbeatRequest() const;
    void sessionEnded();
    // Answer of the "knownView" method: what this process has in force, for operators and tests.
    Json::Value knownView() const;
    void setGauges();

    Process& m_process;
    ControlClient& m_client;
    Callbacks m_callbacks;
    NodeInfo m_node;
    std::optional<SessionId> m_id;
    ClusterView m_view;
    // Set when a difference did not fit the view.
    bool m_needsWholeView { false };
    Milliseconds m_leaseEnd {};
    bool m_waiting { false };
    Milliseconds m_refreshedAt {};
    std::uint64_t m_round { 0 };
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
