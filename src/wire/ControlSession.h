#pragma once

#include "wire/ControlClient.h"
#include "wire/Process.h"

#include <functional>
#include <memory>
#include <optional>

namespace oleanderport {

// The session of an entry or sidecar with control. Renews the lease by heartbeat, holds the newest view. When control
// reports that the session has ended, opens a new one with a new incarnation.
class ControlSession {
public:
    struct Callbacks {
        std::function<void(const ClusterView&)> viewChanged;
        // A session was opened. It replaces the previous one, if any.
        std::function<void(const SessionId&)> opened;
        // Control ended the session.
        std::function<void()> ended;
        std::function<void()> leaseRenewed;
    };

    ControlSession(Process&, ControlClient&, Callbacks);

    // Opens a session for this node and renews it until stop().
    void start(const NodeInfo&);

    // Closes the session at control, then calls `done`, even when control does not answer.
    void stop(std::function<void()> done);

    // Requests the current view before the next heartbeat. Does nothing while a request is in flight or within
    // a tenth of the heartbeat interval after the previous refresh.
    void refresh();

    // Set while a session is open.
    const std::optional<SessionId>& id() const { return m_id; }
    const ClusterView& view() const { return m_view; }

    // No task may start at or after this time of Clock::now(). Counted from the time at which the request was sent.
    Milliseconds leaseEnd() const { return m_leaseEnd; }
    bool hasLease() const { return Clock::now() < m_leaseEnd; }
    // Time since the sending of the latest request that control answered, which confirmed the view; since the start when
    // there is none.
    Milliseconds contactAge() const { return Clock::now() - m_lastContact; }
    // Whether control has not confirmed the view for the length of the last lease that it granted.
    bool isViewUnconfirmed() const { return contactAge() >= m_grantedLease; }

private:
    void onHeartbeatTimer();
    void open();
    void renew();
    void applyResponse(const SessionResponse&, Milliseconds sentAt);
    // Applies the view or delta of the response. The view never goes back to an older version.
    void updateView(SessionResponse);
    HeartbeatRequest heartbeatRequest() const;
    void onSessionEnded();
    // Result of the "knownView" method, for operators and tests: the versions this process applies.
    Json::Value knownView() const;
    void setGauges();

    Process& m_process;
    ControlClient& m_client;
    Callbacks m_callbacks;
    NodeInfo m_node;
    std::optional<SessionId> m_id;
    ClusterView m_view;
    // Set when a delta did not match the view, or a response could not be read.
    bool m_needsFullView { false };
    Milliseconds m_leaseEnd {};
    // Length of the last lease, also after it has ended.
    Milliseconds m_grantedLease;
    Milliseconds m_lastContact { Clock::now() };
    bool m_requestInFlight { false };
    Milliseconds m_lastRefresh {};
    std::uint64_t m_generation { 0 };
    std::unique_ptr<EventLoop::Timer> m_timer;
    std::shared_ptr<bool> m_alive;
};

} // namespace oleanderport
