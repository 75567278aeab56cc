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

// A control instance. Serves sessions, job claims and operators' methods from the replicated state.
class ControlServer final : public RoleProcess {
public:
    ControlServer(EventLoop&, const Settings&);

    Result<void> start() override;
    void shutDown(std::function<void()> done) override;
    void reconfigure(const Settings&) override;

    // Handles HTTP requests for paths that this process doesn't serve itself. Must be set before start().
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
    void registerGroupMethods();
    SessionResponse sessionResponse(const SessionId&, const KnownView&);
    // The JSON is encoded once for each version and shared by all receivers.
    const std::string& catalogueJson(const QueueCatalogue&);
    const std::string& viewJson(const EnvironmentRecord&);
    void openSession(const OpenSessionRequest&, const Reply<SessionResponse>&);
    void heartbeat(const HeartbeatRequest&, const Reply<SessionResponse>&);
    // Queues a session call if this instance leads. While no leader is known, the call is held for a short time, because a
    // leader is expected soon and the retries of hundreds of processes would delay the election.
    void admitSessionCall(SessionCall);
    // Admits the held calls once a leader is known; refuses those whose deadline has passed before that.
    void retryHeldCalls(Milliseconds now);
    bool isLeaderKnown() const { return m_replicator->isLeader() || !m_replicator->leaderAddress().empty(); }
    void tick();

    Process m_process;
    std::unique_ptr<Replicator> m_replicator;
    SessionTimers m_timers;
    OperatorMethods m_operatorMethods;
    HttpHandler m_httpHandler;
    // Cached JSON of the object at this version.
    struct VersionedJson {
        std::uint64_t version { 0 };
        std::string text;
    };
    VersionedJson m_catalogueJson;
    // Key: environment. The views omit the catalogue.
    std::map<std::string, VersionedJson> m_viewJson;
    PacedCalls m_sessionCalls;
    std::deque<HeldCall> m_heldCalls;
    std::unique_ptr<EventLoop::Timer> m_heldCallsTimer;
    std::unique_ptr<EventLoop::Timer> m_tickTimer;
    Milliseconds m_lastTick {};
};

} // namespace oleanderport
