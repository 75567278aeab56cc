#include "control/ControlServer.h"

#include "control/Forward.h"
#include "policy/ViewDelta.h"
#include "policy/ViewScope.h"

#include <fmt/format.h>

namespace oleanderport {

namespace {

    constexpr Milliseconds tickPeriod { 100 };
    constexpr Milliseconds maxTickGap { 1'000 };
    // Longer than an election and shorter than a process's timeout for one answer; see ControlClient.
    constexpr Milliseconds maxHoldTime { 300 };
    constexpr std::size_t maxHeldCalls { 2'000 };

} // namespace

ControlServer::ControlServer(EventLoop& loop, const Settings& settings)
    : m_process(loop, settings)
    , m_replicator(makeReplicator(m_process, ControlStateOptions {}))
    , m_operatorMethods(m_process, *m_replicator, m_timers)
    , m_sessionCalls(loop, {})
{
    m_replicator->onLeaderChange([this] {
        // Deferred, because the replicator must not be called from within its own callback.
        if (!m_heldCalls.empty() && isLeaderKnown() && !m_heldCallsTimer)
            m_heldCallsTimer = m_process.loop.once({}, [this] { retryHeldCalls(Clock::now()); });
    });
    m_process.gaugeUpdaters.push_back([this] {
        m_process.metrics.set("session_calls_waiting", static_cast<double>(m_sessionCalls.waiting() + m_heldCalls.size()));
    });
    registerSessionMethods();
    registerClaimMethods();
    registerGroupMethods();
    m_operatorMethods.registerMethods();
}

Result<void> ControlServer::start()
{
    BOOST_OUTCOME_TRYV(m_replicator->start());
    BOOST_OUTCOME_TRYV(m_process.listen(m_httpHandler));
    m_tickTimer = m_process.loop.every(tickPeriod, [this] { tick(); });
    return boost::outcome_v2::success();
}

void ControlServer::reconfigure(const Settings& settings) { m_process.settings = settings; }

void ControlServer::shutDown(std::function<void()> done)
{
    m_process.events.record(EventKind::ProcessStopping);
    m_process.server->stopAccepting();
    m_tickTimer.reset();
    m_heldCallsTimer.reset();
    m_heldCalls.clear();
    done();
}

const std::string& ControlServer::catalogueJson(const QueueCatalogue& catalogue)
{
    if (m_catalogueJson.text.empty() || m_catalogueJson.version != catalogue.version)
        m_catalogueJson = { .version = catalogue.version, .text = writeJson(toJson(catalogue)) };
    return m_catalogueJson.text;
}

const std::string& ControlServer::viewJson(const EnvironmentRecord& environment)
{
    const ClusterView& view = environment.view;
    VersionedJson& encoded = m_viewJson[environment.name];
    if (encoded.text.empty() || encoded.version != view.version) {
        const ClusterView withoutCatalogue {
            .version = view.version, .config = view.config, .dataCentresOut = view.dataCentresOut, .members = view.members, .catalogue = {}
        };
        encoded = { .version = view.version, .text = writeJson(toJson(withoutCatalogue)) };
        m_process.metrics.add("views_encoded_total");
    }
    return encoded.text;
}

SessionResponse ControlServer::sessionResponse(const SessionId& id, const KnownView& known)
{
    const ControlState& state = m_replicator->state();
    const Member* member = state.member(id);
    SessionResponse response { .session = id, .lease = {}, .delta = std::nullopt, .view = std::nullopt };
    const bool mayHoldLease = member && (member->node.role != Role::Sidecar || !state.isOut(member->node.dataCentre));
    if (mayHoldLease)
        response.lease = m_process.settings.lease;
    if (!member)
        return response;
    const EnvironmentRecord& environment = *state.environment(member->node.environment);
    if (environment.view.version == known.version)
        return response;
    const ViewPart part = viewPartFor(member->node);
    response.delta = viewDelta(environment, known, part);
    if (response.delta) {
        if (response.delta->catalogue)
            response.catalogueText = catalogueJson(*response.delta->catalogue);
        response.delta->catalogue.reset();
    } else if (part == ViewPart::Whole) {
        response.viewText = viewJson(environment);
        if (environment.view.catalogue)
            response.catalogueText = catalogueJson(*environment.view.catalogue);
    } else {
        response.view = dataCentresOutPart(environment.view);
    }
    return response;
}

void ControlServer::admitSessionCall(SessionCall call)
{
    if (!isLeaderKnown() && m_heldCalls.size() < maxHeldCalls) {
        m_heldCalls.push_back({ .deadline = Clock::now() + maxHoldTime, .call = std::move(call) });
        return;
    }
    if (const auto refusal = refusalUnlessLeader(*m_replicator))
        return call.refuse(*refusal);
    const auto retryAfter = m_sessionCalls.admit(call.priority, std::move(call.serve));
    if (!retryAfter)
        return;
    m_process.metrics.add("session_calls_put_off_total");
    call.refuse(Error { .code = ErrorCode::Unavailable,
        .ran = Ran::No,
        .step = "control.session",
        .peer = m_process.settings.instance,
        .message = fmt::format("{} session calls are queued; retry later", m_sessionCalls.waiting()),
        .retryAfter = *retryAfter });
}

void ControlServer::retryHeldCalls(Milliseconds now)
{
    m_heldCallsTimer.reset();
    const bool isKnown = isLeaderKnown();
    while (!m_heldCalls.empty() && (isKnown || m_heldCalls.front().deadline <= now)) {
        SessionCall call = std::move(m_heldCalls.front().call);
        m_heldCalls.pop_front();
        const auto refusal = isKnown ? std::nullopt : refusalUnlessLeader(*m_replicator);
        if (refusal)
            call.refuse(*refusal);
        else
            admitSessionCall(std::move(call));
    }
}

void ControlServer::openSession(const OpenSessionRequest& request, const Reply<SessionResponse>& reply)
{
    m_replicator->propose(request, [this, reply](const Result<ControlOutcome>& outcome) {
        if (!outcome.has_value())
            return reply(outcome.assume_error());
        // Many requests may be committed at once, and each response carries a view.
        m_sessionCalls.resume([this, reply, id = std::get<SessionId>(outcome.assume_value())] {
            m_timers.recordContact(id, Clock::now(), 0);
            m_process.events.record(EventKind::SessionOpened, { .detail = fmt::format("{} incarnation {}", id.instance, id.incarnation) });
            reply(sessionResponse(id, {}));
        });
    });
}

void ControlServer::heartbeat(const HeartbeatRequest& request, const Reply<SessionResponse>& reply)
{
    if (const auto refusal = refusalUnlessLeader(*m_replicator))
        return reply(*refusal);
    if (!m_replicator->state().member(request.session)) {
        return reply(Error { .code = ErrorCode::StaleIncarnation,
            .ran = Ran::No,
            .step = "control.heartbeat",
            .peer = m_process.settings.instance,
            .message = "the session has ended or is unknown" });
    }
    m_timers.recordContact(request.session, Clock::now(), request.viewVersion);
    reply(sessionResponse(request.session,
        { .version = request.viewVersion,
            .configVersion = request.configVersion,
            .configDigest = request.configDigest }));
}

void ControlServer::registerSessionMethods()
{
    m_process.rpc.addTyped<OpenSessionRequest, SessionResponse>(
        "openSession", [this](const OpenSessionRequest& request, Reply<SessionResponse> reply) {
            admitSessionCall({ .priority = PacedCalls::Priority::High,
                .serve = [this, request, reply] { openSession(request, reply); },
                .refuse = [reply](const Error& error) { reply(error); } });
        });
    m_process.rpc.addTyped<HeartbeatRequest, SessionResponse>(
        "heartbeat", [this](const HeartbeatRequest& request, const Reply<SessionResponse>& reply) {
            admitSessionCall({ .priority = PacedCalls::Priority::Low,
                .serve = [this, request, reply] { heartbeat(request, reply); },
                .refuse = [reply](const Error& error) { reply(error); } });
        });
    m_process.rpc.addTyped<HeartbeatRequest, Nothing>(
        "closeSession", [this](const HeartbeatRequest& request, Reply<Nothing> reply) {
            m_replicator->propose(CloseSession { .session = request.session },
                forwardOutcome<Nothing, Nothing>(std::move(reply), [](const Nothing& nothing) { return nothing; }));
        });
}

void ControlServer::registerGroupMethods()
{
    // Never held: callers use it to find the leader while another instance holds their call.
    m_process.rpc.addTyped<Nothing, ControlGroupInfo>(
        controlGroupMethod, [this](const Nothing&, const Reply<ControlGroupInfo>& reply) {
            reply(ControlGroupInfo { .leads = m_replicator->isLeader(),
                .leader = m_replicator->leaderAddress(),
                .instances = m_replicator->instances() });
        });
}

void ControlServer::registerClaimMethods()
{
    m_process.rpc.addTyped<ClaimRequest, ClaimResponse>(
        "claim", [this](const ClaimRequest& request, Reply<ClaimResponse> reply) {
            m_replicator->propose(request,
                forwardOutcome<ClaimResponse, ClaimResponse>(
                    std::move(reply), [](const ClaimResponse& response) { return response; }));
        });
    m_process.rpc.addTyped<EndJobRequest, Nothing>(
        "endJob", [this](const EndJobRequest& request, Reply<Nothing> reply) {
            m_replicator->propose(request,
                forwardOutcome<Nothing, Nothing>(std::move(reply), [](const Nothing& nothing) { return nothing; }));
        });
    m_process.rpc.addTyped<FindJobRequest, FindJobResponse>(
        "findJob", [this](const FindJobRequest& request, const Reply<FindJobResponse>& reply) {
            if (const auto refusal = refusalUnlessLeader(*m_replicator))
                return reply(*refusal);
            reply(m_replicator->state().findJob(request));
        });
}

void ControlServer::tick()
{
    const Milliseconds now = Clock::now();
    // After a pause of this process, missing heartbeats don't show that the sessions' processes are gone.
    const bool wasPaused = now > m_lastTick + maxTickGap;
    m_lastTick = now;
    retryHeldCalls(now);
    if (wasPaused || !m_replicator->isLeader()) {
        m_timers.clear();
        return;
    }
    const auto members = m_replicator->state().members();
    for (const auto& id : m_timers.expired(members, now, m_process.settings.sessionTimeout)) {
        log(LogLevel::Warning, { .step = "control.session", .peer = id.instance }, "session timed out: no heartbeat within the session timeout");
        m_process.events.record(EventKind::SessionEnded,
            { .detail = fmt::format("{} incarnation {}", id.instance, id.incarnation) });
        m_replicator->propose(CloseSession { .session = id }, [](const Result<ControlOutcome>&) {});
    }
}

} // namespace oleanderport
