#include "control/ControlServer.h"

#include "base/EnvironmentDocument.h"
#include "control/LocalReplicator.h"

#include <fmt/format.h>

namespace oleanderport {

namespace {

    constexpr Milliseconds tickPeriod { 100 };

    // Passes the alternative that belongs to the proposed command on to the one who asked.
    template <typename Wanted, typename Response>
    Replicator::Done forward(std::function<void(Result<Response>)> reply, std::function<Response(const Wanted&)> make)
    {
        return [reply = std::move(reply), make = std::move(make)](const Result<ControlOutcome>& outcome) {
            if (!outcome.has_value())
                return reply(outcome.assume_error());
            reply(make(std::get<Wanted>(outcome.assume_value())));
        };
    }

} // namespace

ControlServer::ControlServer(EventLoop& loop, const Settings& settings)
    : m_process(loop, settings)
    , m_replicator(std::make_unique<LocalReplicator>(ControlStateOptions {}))
{
    addSessionMethods();
    addClaimMethods();
    addOperatorMethods();
}

Result<void> ControlServer::start()
{
    BOOST_OUTCOME_TRYV(m_process.listen({}));
    m_timer = m_process.loop.every(tickPeriod, [this] { tick(); });
    return boost::outcome_v2::success();
}

void ControlServer::shutDown(std::function<void()> done)
{
    m_process.events.record(EventKind::ProcessStopping);
    m_process.server->stopAccepting();
    m_timer.reset();
    done();
}

std::optional<Error> ControlServer::refusalUnlessLeader() const
{
    if (m_replicator->isLeader())
        return std::nullopt;
    return Error { .code = ErrorCode::NotLeader,
        .ran = Ran::No,
        .step = "control",
        .peer = m_replicator->leaderAddress(),
        .message = "this instance is not the leader" };
}

SessionResponse ControlServer::sessionResponse(const SessionId& id, std::uint64_t knownView) const
{
    const ControlState& state = m_replicator->state();
    const Member* member = state.member(id);
    SessionResponse response { .session = id, .lease = {}, .view = std::nullopt };
    const bool mayStart = member && (member->node.role != Role::Sidecar || !state.isOut(member->node.dataCentre));
    if (mayStart)
        response.lease = m_process.settings.lease;
    if (!member)
        return response;
    const ClusterView& view = state.view(member->node.environment);
    if (view.version != knownView)
        response.view = view;
    return response;
}

void ControlServer::heartbeat(const HeartbeatRequest& request, const Reply<SessionResponse>& reply)
{
    if (const auto refusal = refusalUnlessLeader())
        return reply(*refusal);
    if (!m_replicator->state().member(request.session)) {
        return reply(Error { .code = ErrorCode::StaleIncarnation,
            .ran = Ran::No,
            .step = "control.heartbeat",
            .peer = m_process.settings.instance,
            .message = "the session has ended" });
    }
    m_timers.heard(request.session, Clock::now());
    reply(sessionResponse(request.session, request.viewVersion));
}

void ControlServer::addSessionMethods()
{
    m_process.rpc.addTyped<OpenSessionRequest, SessionResponse>(
        "openSession", [this](const OpenSessionRequest& request, Reply<SessionResponse> reply) {
            m_replicator->propose(
                request, forward<SessionId, SessionResponse>(std::move(reply), [this](const SessionId& id) {
                    m_timers.heard(id, Clock::now());
                    m_process.events.record(EventKind::SessionOpened,
                        { .detail = fmt::format("{} incarnation {}", id.instance, id.incarnation) });
                    return sessionResponse(id, 0);
                }));
        });
    m_process.rpc.addTyped<HeartbeatRequest, SessionResponse>(
        "heartbeat", [this](const HeartbeatRequest& request, const Reply<SessionResponse>& reply) {
            heartbeat(request, reply);
        });
    m_process.rpc.addTyped<HeartbeatRequest, Nothing>(
        "closeSession", [this](const HeartbeatRequest& request, Reply<Nothing> reply) {
            m_replicator->propose(CloseSession { .session = request.session },
                forward<Nothing, Nothing>(std::move(reply), [](const Nothing& nothing) { return nothing; }));
        });
}

void ControlServer::addClaimMethods()
{
    m_process.rpc.addTyped<ClaimRequest, ClaimResponse>(
        "claim", [this](const ClaimRequest& request, Reply<ClaimResponse> reply) {
            m_replicator->propose(request,
                forward<ClaimResponse, ClaimResponse>(
                    std::move(reply), [](const ClaimResponse& response) { return response; }));
        });
    m_process.rpc.addTyped<FindJobRequest, FindJobResponse>(
        "findJob", [this](const FindJobRequest& request, const Reply<FindJobResponse>& reply) {
            if (const auto refusal = refusalUnlessLeader())
                return reply(*refusal);
            reply(m_replicator->state().findJob(request));
        });
}

void ControlServer::addOperatorMethods()
{
    m_process.rpc.addTyped<Nothing, ClusterView>("view", [this](const Nothing&, const Reply<ClusterView>& reply) {
        if (const auto refusal = refusalUnlessLeader())
            return reply(*refusal);
        reply(m_replicator->state().view());
    });
    m_process.rpc.addTyped<ApplyDocument, DocumentApplied>(
        "applyDocument", [this](const ApplyDocument& change, Reply<DocumentApplied> reply) {
            auto config = parseEnvironment(change.text, "document");
            if (!config.has_value())
                return reply(std::move(config).assume_error());
            m_replicator->propose(AcceptDocument { .change = change, .config = config.assume_value() },
                forward<DocumentApplied, DocumentApplied>(std::move(reply), [this](const DocumentApplied& applied) {
                    m_process.events.record(
                        EventKind::ConfigurationApplied, { .detail = fmt::format("version {}", applied.version) });
                    return applied;
                }));
        });
    m_process.rpc.addTyped<DataCentreChange, DataCentreChanged>(
        "changeDataCentre", [this](const DataCentreChange& change, Reply<DataCentreChanged> reply) {
            m_replicator->propose(change,
                forward<DataCentreChanged, DataCentreChanged>(
                    std::move(reply), [this, change](DataCentreChanged changed) {
                        changed.inForceWithin = m_process.settings.lease;
                        m_process.events.record(change.out ? EventKind::DataCentreOut : EventKind::DataCentreIn,
                            { .detail = change.dataCentre });
                        return changed;
                    }));
        });
}

void ControlServer::tick()
{
    if (!m_replicator->isLeader()) {
        m_timers.clear();
        return;
    }
    const auto members = m_replicator->state().members();
    for (const auto& id : m_timers.expired(members, Clock::now(), m_process.settings.sessionTimeout)) {
        log(LogLevel::Warning, { .step = "control.session", .peer = id.instance }, "session timed out");
        m_process.events.record(EventKind::SessionEnded,
            { .detail = fmt::format("{} incarnation {}", id.instance, id.incarnation) });
        m_replicator->propose(CloseSession { .session = id }, [](const Result<ControlOutcome>&) {});
    }
}

} // namespace oleanderport
