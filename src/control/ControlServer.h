#pragma once

#include "control/OperatorMethods.h"
#include "control/PacedCalls.h"
#include "control/Replicator.h"
#include "control/SessionTimers.h"
#include "policy/ViewDelta.h"
#include "wire/Process.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace oleanderport {

// One control instance: serves sessions, claims and operators from the replicated state.
class ControlServer final : public RoleProcess {
public:
    ControlServer(EventLoop&, const Settings&);

    Result<void> start() override;
    void shutDown(std::function<void()> done) override;
    void reconfigure(const Settings&) override;

    // Serves what is not one of this process's own paths. Has to be set before start().
    void setHttpHandler(HttpHandler handler) { m_httpHandler = std::move(handler); }
    OperatorMethods& operators() { return m_operatorMethods; }
    Process& process() { return m_process; }

private:
    struct SessionCall {
        PacedCalls::Priority priority { PacedCalls::Priority::Low };
        std::function<void()> serve;
        std::function<void(const Error&)> refuse;
    };
    struct HeldCall {
        Milliseconds deadline {};
        SessionCall call;
    };

    template <typename Response>
    using Reply = std::function<void(Result<Response>)>;

    void registerSessionMethods();
    void registerClaimMethods();
    SessionResponse sessionResponse(const SessionId&, const KnownView&);
    // Encoded once a version, and the same for all.
    const std::string& catalogueJson(const QueueCatalogue&);
    const std::string& viewJson(const EnvironmentRecord&);
    void openSession(const OpenSessionRequest&, const Reply<SessionResponse>&);
    void heartbeat(const HeartbeatRequest&, const Reply<SessionResponse>&);
    // Serves a session's call in its turn, where this instance leads. While no leader is known the call is held for a
    // moment, since one is about to be: hundreds of processes that ask again and again would hold it up.
    void admitSessionCall(SessionCall);
    // Takes calls that were held up again, once a leader is known or their time is up.
    void retryHeldCalls(Milliseconds now);
    bool isLeaderKnown() const { return m_replicator->isLeader() || !m_replicator->leaderAddress().empty(); }
    void tick();

    Process m_process;
    std::unique_ptr<Replicator> m_replicator;
    SessionTimers m_timers;
    OperatorMethods m_operatorMethods;
    HttpHandler m_httpHandler;
    // JSON of what has this version.
    struct VersionedJson {
        std::uint64_t version { 0 };
        std::string text;
    };
    VersionedJson m_catalogueJson;
    // By environment, without the catalogue.
    std::map<std::string, VersionedJson> m_viewJson;
    PacedCalls m_sessionCalls;
    std::deque<HeldCall> m_heldCalls;
    std::unique_ptr<EventLoop::Timer> m_heldCallsTimer;
    std::unique_ptr<EventLoop::Timer> m_tickTimer;
    Milliseconds m_lastTick {};
};

} // namespace oleanderport
