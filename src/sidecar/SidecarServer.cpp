#include "sidecar/SidecarServer.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

namespace {

    constexpr Milliseconds tickPeriod { 50 };
    // Expired jobs are removed less often than every tick, because it takes time.
    constexpr Milliseconds expiryPeriod { 1'000 };

    Error badMinionRequest(std::string message)
    {
        return Error { .code = ErrorCode::BadRequest,
            .ran = Ran::No,
            .step = "sidecar.minion",
            .peer = {},
            .message = std::move(message) };
    }

} // namespace

SidecarServer::SidecarServer(EventLoop& loop, const Settings& settings)
    : m_process(loop, settings)
    , m_control(loop, settings.controlPeers)
    , m_session(m_process, m_control,
          { .viewChanged = [this](const ClusterView& view) { viewChanged(view); },
              .opened = [this](const SessionId&) { openLinks(); },
              .ended =
                  [this] {
                      // The next session needs new state. The tasks of the former one are settled by its end at control.
                      if (m_minion)
                          announce(MinionAnnouncement(m_minion->announcement));
                  },
              .leaseRenewed =
                  [this] {
                      if (!m_session.hasLease())
                          returnQueued();
                      startTasks();
                  } })
{
    m_process.rpc.addTyped<CollectRequest, CollectResponse>("collect",
        [this](const CollectRequest& request, const std::function<void(Result<CollectResponse>)>& reply) {
            if (!m_minion || m_session.id() != request.sidecar) {
                return reply(Error { .code = ErrorCode::StaleIncarnation,
                    .ran = Ran::Unknown,
                    .step = "sidecar.collect",
                    .peer = m_process.settings.instance,
                    .message = "the request is for another incarnation of this sidecar" });
            }
            reply(m_minion->ledger->collect(request));
        });
}

Result<void> SidecarServer::start()
{
    BOOST_OUTCOME_TRYV(m_process.listen([this](HttpRequest&& request, std::shared_ptr<HttpResponder> responder) {
        serveHttp(request, responder);
    }));
    m_timer = m_process.loop.every(tickPeriod, [this] { tick(); });
    return boost::outcome_v2::success();
}

void SidecarServer::serveHttp(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    const auto body = parseJson(request.body);
    if (!body.has_value())
        return replyError(*responder, body.assume_error());
    if (request.path == "/v1/minion/announce") {
        const auto announcement = fromJson<MinionAnnouncement>(body.assume_value());
        if (!announcement.has_value())
            return replyError(*responder, announcement.assume_error());
        if (announcement.assume_value().slots < 1 || announcement.assume_value().connections < 2)
            return replyError(*responder, badMinionRequest("expected at least 1 slot and 2 connections"));
        const bool isOtherIncarnation = m_minion && m_minion->announcement.minion != announcement.assume_value().minion;
        if (m_shutDownDone || isOtherIncarnation || (m_minion && m_minion->leaving)) {
            // The former incarnation ends first, so that its tasks are returned to their entries.
            if (isOtherIncarnation) {
                endRunningAsUnknown();
                beginLeaving("another incarnation of the minion was announced");
            }
            return replyError(*responder,
                { .code = ErrorCode::Unavailable,
                    .ran = Ran::No,
                    .step = "sidecar.minion",
                    .peer = request.peer,
                    .message = "a former incarnation is still being settled; announce again later" });
        }
        announce(announcement.assume_value());
        return responder->reply({ .body = "{}" });
    }
    if (request.path == "/v1/minion/usage") {
        const auto usage = fromJson<MinionUsage>(body.assume_value());
        if (!usage.has_value())
            return replyError(*responder, usage.assume_error());
        if (m_minion && m_minion->announcement.minion == usage.assume_value().minion)
            usageReported(usage.assume_value());
        return responder->reply({ .body = "{}" });
    }
    const auto heartbeat = fromJson<MinionHeartbeat>(body.assume_value());
    if (!heartbeat.has_value())
        return replyError(*responder, heartbeat.assume_error());
    if (!m_minion || m_minion->announcement.minion != heartbeat.assume_value().minion) {
        return replyError(*responder,
            { .code = ErrorCode::StaleIncarnation,
                .ran = Ran::No,
                .step = "sidecar.minion",
                .peer = request.peer,
                .message = "this incarnation of the minion is not announced; announce it first" });
    }
    if (request.path == "/v1/minion/heartbeat") {
        m_minion->lastSeenAt = Clock::now();
        return responder->reply({ .body = "{}" });
    }
    if (request.path == "/v1/minion/leave") {
        m_minion->leaveCalls.push_back(responder);
        return beginLeaving("the minion is leaving");
    }
    replyError(*responder,
        { .code = ErrorCode::NotFound, .ran = Ran::No, .step = "sidecar.http", .peer = {}, .message = "no such path" });
}

void SidecarServer::usageReported(const MinionUsage& message)
{
    std::vector<RunUsage> report;
    for (const auto& each : message.runs) {
        // Reports lag and may still list runs that have ended.
        const auto declared = m_minion->ledger->needsOf(each.run);
        if (declared)
            report.push_back(
                { .run = each.run, .cpuMillis = each.cpuMillis, .memoryMb = each.memoryMb, .declared = *declared });
    }
    for (const auto& request : m_minion->usage->decide(report)) {
        m_process.metrics.add("usage_orders_total");
        if (request.action == UsageAction::Throttle)
            m_minion->client->throttle(request.run);
        else if (request.action == UsageAction::Checkpoint)
            m_minion->client->checkpoint(request.run);
        else
            m_minion->client->stop(request.run);
    }
}

NodeInfo SidecarServer::nodeInfo(const MinionAnnouncement& announcement) const
{
    return { .role = Role::Sidecar,
        .instance = m_process.settings.instance,
        .address = m_process.settings.advertise,
        .dataCentre = m_process.settings.dataCentre,
        .rack = announcement.rack,
        .service = announcement.service,
        .slots = announcement.slots,
        .connections = announcement.connections,
        .cpuMillis = announcement.cpuMillis,
        .memoryMb = announcement.memoryMb,
        .accelerators = announcement.accelerators };
}

void SidecarServer::announce(const MinionAnnouncement& announcement)
{
    if (m_shutDownDone)
        return;
    if (m_minion && m_minion->leaving)
        return finishLeaving();
    const bool isSameIncarnation = m_minion && m_session.id() && m_minion->announcement.minion == announcement.minion;
    if (isSameIncarnation) {
        m_minion->lastSeenAt = Clock::now();
        return;
    }
    m_process.events.record(EventKind::MinionAnnounced, { .detail = announcement.minion });
    m_minion = std::make_unique<MinionIncarnation>();
    m_minion->announcement = announcement;
    m_minion->lastSeenAt = Clock::now();
    m_minion->ledger = std::make_unique<SidecarLedger>(
        SidecarLedgerOptions { .slots = announcement.slots,
            .capacity = { .cpuMillis = announcement.cpuMillis,
                .memoryMb = announcement.memoryMb,
                .accelerators = announcement.accelerators },
            .runPrefix = announcement.minion + "-",
            .retention = m_process.settings.answerRetention });
    m_minion->client = std::make_unique<MinionClient>(m_process.loop,
        MinionClientOptions { .address = announcement.address,
            .connections = announcement.connections,
            .maxRunTime = m_process.settings.maxRunTime });
    m_minion->usage = std::make_unique<UsageGuard>(
        UsageGuardOptions { .memoryMb = announcement.memoryMb, .slots = announcement.slots });
    const NodeInfo node = nodeInfo(announcement);
    m_session.stop([this, node] { m_session.start(node); });
}

void SidecarServer::beginLeaving(const char* reason)
{
    if (m_minion->leaving)
        return;
    log(LogLevel::Warning, { .step = "sidecar.minion", .peer = m_minion->announcement.address }, reason);
    m_process.events.record(EventKind::MinionLeft, { .detail = reason });
    m_minion->leaving = true;
    m_minion->leaveDeadline = Clock::now() + m_process.settings.shutdownGrace;
    returnQueued();
    for (const auto& [entry, link] : m_minion->links)
        link->leave();
}

bool SidecarServer::isSettled() const
{
    return m_minion->ledger->running() == 0 && m_minion->ledger->queued() == 0
        && std::all_of(m_minion->links.begin(), m_minion->links.end(),
            [](const auto& link) { return link.second->isSettled(); });
}

void SidecarServer::finishLeaving()
{
    for (const auto& call : m_minion->leaveCalls)
        call->reply({ .body = "{}" });
    m_minion.reset();
    if (!m_shutDownDone)
        return m_session.stop([] {});
    m_process.server->stopAccepting();
    m_timer.reset();
    m_session.stop(std::move(m_shutDownDone));
}

void SidecarServer::viewChanged(const ClusterView& view)
{
    if (!m_minion)
        return;
    std::erase_if(m_minion->links, [&view](const auto& link) {
        return std::none_of(
            view.members.begin(), view.members.end(), [&link](const Member& member) { return member.id == link.first; });
    });
    openLinks();
}

void SidecarServer::openLinks()
{
    if (!m_minion || !m_session.id())
        return;
    for (const auto& member : m_session.view().members) {
        if (member.node.role != Role::Entry || m_minion->links.contains(member.id))
            continue;
        const SessionId entry = member.id;
        m_minion->links[entry] = std::make_unique<EntryLink>(m_process.loop, *m_session.id(), entry, member.node.address,
            EntryLink::Callbacks {
                .received = [this, entry](const ExchangeResponse& response) { received(entry, response); },
                .room = [this] { return room(); },
                .load = [this] { return static_cast<std::uint64_t>(m_minion->ledger->running()) + m_minion->ledger->queued(); } });
    }
}

std::uint64_t SidecarServer::room() const
{
    if (!m_minion || m_minion->leaving || !m_session.hasLease())
        return 0;
    const auto capacity = m_minion->announcement.slots + m_process.settings.prefetch;
    const auto used = m_minion->ledger->running() + static_cast<std::int64_t>(m_minion->ledger->queued());
    return static_cast<std::uint64_t>(std::max<std::int64_t>(capacity - used, 0));
}

void SidecarServer::received(const SessionId& entry, const ExchangeResponse& response)
{
    for (const auto& request : response.cancels) {
        for (const auto& run : m_minion->ledger->cancel(request).stop)
            m_minion->client->stop(run);
    }
    for (const auto& task : response.tasks) {
        m_process.events.record(EventKind::TaskQueued, { .job = &task.key, .task = task.task });
        if (const auto refusal = m_minion->ledger->accept(entry, task, weightOf(m_session.view(), task.team)))
            report(*refusal);
    }
    if (!m_session.hasLease() || m_minion->leaving)
        returnQueued();
    startTasks();
}

void SidecarServer::startTasks()
{
    if (!m_minion || m_minion->leaving)
        return;
    while (m_minion->client->canRun()) {
        const auto next = m_minion->ledger->startNext(Clock::now(), m_session.leaseEnd(), Clock::unixNow());
        for (const auto& refused : next.refused)
            report(refused);
        if (!next.start)
            break;
        const TaskAssignment& task = next.start->assignment;
        m_process.events.record(
            EventKind::TaskStarted, { .job = &task.key, .task = task.task, .detail = next.start->run });
        m_process.metrics.add("starts_total");
        m_minion->client->run(*next.start, [this](const MinionRunEnd& end) { runEnded(end); });
    }
    for (const auto& [entry, link] : m_minion->links)
        link->offerRoom();
}

void SidecarServer::runEnded(const MinionRunEnd& end)
{
    const auto result = m_minion->ledger->recordEnd(end.run, end.outcome, end.body, end.ranFor);
    if (!result)
        return;
    m_process.events.record(EventKind::TaskFinished,
        { .job = &result->key, .task = result->task, .detail = std::string(taskOutcomeName(result->outcome)) });
    m_process.metrics.observe("run_milliseconds", static_cast<double>(end.ranFor.count));
    report(*result);
    startTasks();
}

void SidecarServer::endRunningAsUnknown()
{
    for (const auto& result : m_minion->ledger->endRunningAsUnknown())
        report(result);
}

void SidecarServer::report(const TaskResult& result)
{
    const auto owner = m_minion->ledger->ownerOf(result.key);
    const auto link = owner ? m_minion->links.find(*owner) : m_minion->links.end();
    if (link == m_minion->links.end()) {
        // The ledger keeps it for the entry that takes the job over.
        m_process.events.record(EventKind::ResultDropped, { .job = &result.key, .task = result.task });
        return;
    }
    link->second->report(result);
}

void SidecarServer::returnQueued()
{
    if (!m_minion)
        return;
    for (const auto& result : m_minion->ledger->returnQueued()) {
        m_process.events.record(EventKind::TaskReturned, { .job = &result.key, .task = result.task });
        report(result);
    }
}

void SidecarServer::tick()
{
    if (!m_minion)
        return;
    const Milliseconds now = Clock::now();
    if (m_minion->leaving) {
        if (isSettled() || now >= m_minion->leaveDeadline)
            finishLeaving();
        return;
    }
    if (now > m_minion->lastSeenAt + m_process.settings.minionTimeout) {
        endRunningAsUnknown();
        return beginLeaving("no heartbeat from the minion within its timeout");
    }
    if (now > m_lastExpiryAt + expiryPeriod) {
        m_minion->ledger->removeExpired(Clock::unixNow());
        m_lastExpiryAt = now;
    }
    if (!m_session.hasLease())
        returnQueued();
    startTasks();
}

void SidecarServer::reconfigure(const Settings& settings)
{
    m_process.settings = settings;
    m_control.setPeers(settings.controlPeers);
}

void SidecarServer::shutDown(std::function<void()> done)
{
    m_process.events.record(EventKind::ProcessStopping);
    m_shutDownDone = std::move(done);
    if (m_minion)
        return beginLeaving("this sidecar is shutting down");
    m_process.server->stopAccepting();
    m_timer.reset();
    m_session.stop(std::move(m_shutDownDone));
}

} // namespace oleanderport
