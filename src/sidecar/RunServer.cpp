#include "sidecar/RunServer.h"

#include "wire/DispatchCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    // Actions that are due within this span are performed together.
    constexpr Milliseconds timerSlack { 2 };
    // Maximum time that a leaving minion waits for its runs to stop. A minion stops a run within 50 ms on the users' platform; this
    // is twice that, plus the time for the answers.
    constexpr Milliseconds maxLeaveTime { 120 };
    RunTableOptions runTableOptions(const Settings& settings)
    {
        return { .incarnation = makeIncarnationName(settings.instance), .dataCentre = settings.dataCentre };
    }

    // Fencing tokens of one incarnation of a sidecar. Those of the next one are all higher.
    constexpr std::uint64_t tokensPerIncarnation = 1'000'000;
    // All attempts together take less than the second that a minion waits for the answer to its report.
    constexpr int maxConfirmationAttempts = 3;
    // Reports of other minions that are confirmed at the same time; each holds a connection.
    constexpr int maxConfirmations = 4;
    // A stream is closed beyond this, because its peer does not read.
    constexpr std::size_t maxUnsentBytes = 4 * 1024 * 1024;

    template <typename Item>
    void logAll(LogLevel level, std::string_view step, const std::vector<Item>& items)
    {
        for (const auto& item : items)
            log(level, { .step = step, .task = item.run.index, .jobName = item.run.job }, describe(item));
    }

} // namespace

RunServer::RunServer(EventLoop& loop, const Settings& settings)
    : m_process(loop, settings)
    , m_control(loop, settings.controlPeers)
    , m_session(m_process, m_control,
          { .viewChanged = [this](const ClusterView&) { updatePermit(); },
              .opened =
                  [this](const SessionId& id) {
                      if (!m_sessionIncarnation)
                          m_sessionIncarnation = id.incarnation;
                      if (const auto report = std::exchange(m_pendingReport, std::nullopt))
                          reported(*report, [](bool) {});
                  },
              .ended = [this] { updatePermit(); },
              .leaseRenewed = [this] { updatePermit(); } })
    , m_runs(runTableOptions(settings), Clock::now())
{
    m_process.gaugeUpdaters.push_back([this] {
        m_process.metrics.set("runs_without_entry", static_cast<double>(m_runs.runsWithoutEntry()));
        m_process.metrics.set("runs_live", static_cast<double>(m_runs.liveRuns()));
        m_process.metrics.set("tasks_unsettled", static_cast<double>(m_runs.unsettledTasks()));
        m_process.metrics.set("runs_queued", static_cast<double>(m_runs.queuedRuns()));
    });
}

Result<void> RunServer::start()
{
    const Milliseconds bound = m_process.settings.resubmitAfter;
    const Milliseconds longest = maxAbandonedRunTime(runTableOptions(m_process.settings));
    if (longest >= bound) {
        return Error { .code = ErrorCode::BadSettings,
            .ran = Ran::No,
            .step = "settings",
            .peer = {},
            .message = fmt::format("sidecar.resubmit_after_ms: expected more than {}, for which a run may outlive its entry, got {}", longest.count, bound.count) };
    }
    BOOST_OUTCOME_TRYV(m_process.listen({}));
    BOOST_OUTCOME_TRY(m_listener,
        StreamListener::listen(
            m_process.loop, m_process.settings.streamListen, [this](int descriptor) { accepted(descriptor); }, m_process.intake));
    return boost::outcome_v2::success();
}

void RunServer::reported(const MinionReport& report, const std::function<void(bool taken)>& done)
{
    if (!m_sessionIncarnation) {
        // Nothing is started before the session opens, so this report may be acknowledged now and confirmed then.
        m_pendingReport = report;
        openSession(report);
        return done(true);
    }
    switch (m_runs.standingOf(report, Clock::now())) {
    case ReportStanding::Newer:
    case ReportStanding::Late:
        take(report);
        return done(true);
    case ReportStanding::Contradicting:
        m_process.metrics.add("minion_reports_contradicting_total");
        log(LogLevel::Warning, { .step = "minion.report", .peer = report.address },
            fmt::format("report {} of minion {} not taken: service {}, {} millicores and {} labels contradict its recent reports", report.sequence,
                report.name, report.service, report.capacity.cpuMillis, report.labels.size()));
        return done(false);
    case ReportStanding::OtherIncarnation:
        if (m_confirmations >= maxConfirmations) {
            log(LogLevel::Warning, { .step = "minion.report", .peer = report.address },
                fmt::format("report of minion {} not taken: {} others are being confirmed", report.name, m_confirmations));
            return done(false);
        }
        ++m_confirmations;
        confirm(report, 1, [this, done](bool taken) {
            --m_confirmations;
            done(taken);
        });
    }
}

std::optional<std::uint64_t> RunServer::fencingToken() const
{
    if (!m_sessionIncarnation)
        return std::nullopt;
    return *m_sessionIncarnation * tokensPerIncarnation + std::min(m_fenceRaises.count(), tokensPerIncarnation - 1);
}

void RunServer::raiseFenceFor(Milliseconds born)
{
    const bool isOther = !m_runs.isPresent(born);
    if (isOther && m_otherBorn != born)
        m_fenceRaises.raise();
    m_otherBorn = isOther ? std::optional(born) : std::nullopt;
}

void RunServer::raiseFenceForFailure()
{
    if (!std::exchange(m_hasConnectionFailed, false) || !m_fenceRaises.connectionFailed())
        return;
    m_process.metrics.add("fence_raises_after_connection_failures_total");
    log(LogLevel::Info, { .step = "minion.fence" },
        fmt::format("a connection to the minion failed while start requests were unanswered: fencing token raised to {}", fencingToken().value_or(0)));
}

void RunServer::confirm(const MinionReport& report, int attempt, const std::function<void(bool taken)>& done)
{
    m_fenceRaises.raise();
    m_minion.identify(report, [this, report, attempt, done, incarnations = m_incarnations](const Result<Milliseconds>& born) {
        // One that was taken meanwhile may be the later of the two, so its minion has to be asked after that.
        const bool isInconclusive = !born.has_value() || incarnations != m_incarnations;
        if (isInconclusive && attempt < maxConfirmationAttempts)
            return confirm(report, attempt + 1, done);
        if (isInconclusive || born.assume_value() != report.born) {
            m_process.metrics.add("minion_reports_unconfirmed_total");
            log(LogLevel::Warning, { .step = "minion.report", .peer = report.address },
                fmt::format("report of minion {} with start time {} not taken after {} attempts: {}", report.name, report.born.count, attempt,
                    born.has_value() ? fmt::format("the minion there started at {}", born.assume_value().count) : born.assume_error().message));
            return done(false);
        }
        take(report);
        done(true);
    });
}

void RunServer::take(const MinionReport& report)
{
    const Milliseconds now = Clock::now();
    if (m_runs.standingOf(report, now) == ReportStanding::OtherIncarnation) {
        ++m_incarnations;
        m_minion.select(report);
    }
    const bool isNewer = m_runs.reported(report, now);
    if (isNewer)
        openSession(report);
    if ((isNewer || report.leaving) && std::exchange(m_draining, report.leaving) != report.leaving)
        log(LogLevel::Info, { .step = "minion.drain" },
            fmt::format("report {}: {}; {} runs at the minion", report.sequence, report.leaving ? "the minion accepts no further runs" : "the minion accepts runs again",
                m_runs.liveRuns()));
    run();
}

void RunServer::openSession(const MinionReport& report)
{
    if (m_service == report.service)
        return;
    m_service = report.service;
    const NodeInfo node { .role = Role::Sidecar,
        .instance = m_process.settings.instance,
        .address = m_process.settings.advertise,
        .dataCentre = m_process.settings.dataCentre,
        .rack = report.rack,
        .service = report.service,
        .cpuMillis = report.capacity.cpuMillis,
        .memoryMb = report.capacity.memoryMb,
        .accelerators = report.capacity.accelerators,
        .streamAddress = m_process.settings.streamAdvertise };
    m_session.stop([this, node] { m_session.start(node); });
}

void RunServer::minionLeaves(std::optional<Milliseconds> born, std::function<void()> confirm)
{
    const bool isOfPresent = born ? m_runs.isPresent(*born) : m_draining;
    if (!isOfPresent) {
        m_process.metrics.add("minion_leaves_unconfirmed_total");
        log(LogLevel::Warning, { .step = "minion.leave" },
            fmt::format("nothing stopped: the minion that leaves {}; {} runs at the minion",
                born ? fmt::format("started at {} and is not the present one", born->count) : "names no start time, and the present one has not reported that it drains",
                m_runs.liveRuns()));
        return confirm();
    }
    m_leaveConfirmations.push_back(std::move(confirm));
    m_leaveDeadline = Clock::now() + maxLeaveTime;
    m_leaveTimer = m_process.loop.once(maxLeaveTime, [this] { run(); });
    m_runs.minionLeaves(Clock::now());
    run();
}

bool RunServer::finishLeaving()
{
    const std::size_t running = m_runs.liveRuns() + m_runs.runsWithoutEntry();
    const bool settled = running == 0;
    if (m_leaveConfirmations.empty() || (!settled && Clock::now() < m_leaveDeadline))
        return false;
    // Runs whose stop was not confirmed by the deadline end when their lease expires.
    if (settled)
        m_runs.minionGone(Clock::now());
    log(LogLevel::Info, { .step = "minion.leave" }, fmt::format("the minion may exit; {} runs are not known to have ended", running));
    for (const auto& confirm : std::exchange(m_leaveConfirmations, {}))
        confirm();
    m_leaveTimer.reset();
    return true;
}

void RunServer::updatePermit()
{
    const auto& out = m_session.view().dataCentresOut;
    const bool inService = std::find(out.begin(), out.end(), m_process.settings.dataCentre) == out.end();
    m_runs.permit(m_session.leaseEnd(), inService);
    run();
}

void RunServer::accepted(int descriptor)
{
    const std::uint64_t id = ++m_lastStream;
    m_streams[id].stream = std::make_unique<MessageStream>(m_process.loop, descriptor,
        MessageStream::Callbacks { .received = [this, id](std::string_view message) { received(id, message); },
            .closed = [this, id](const char*) { closed(id); } },
        m_process.intake);
}

void RunServer::closed(std::uint64_t id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    const std::string entry = found->second.entry;
    m_streams.erase(found);
    const bool replaced = std::any_of(
        m_streams.begin(), m_streams.end(), [&entry](const auto& item) { return item.second.entry == entry; });
    if (entry.empty() || replaced)
        return;
    log(LogLevel::Info, { .step = "sidecar.entry", .peer = entry }, "stream closed");
    m_runs.closed(entry);
    run();
}

void RunServer::received(std::uint64_t id, std::string_view message)
{
    const auto frame = decodeEntryFrame(message);
    if (!frame.has_value()) {
        // Requests may have been lost with the frame. On a new stream the entry lists the runs that it believes to be here.
        logError(LogLevel::Error, frame.assume_error());
        return closed(id);
    }
    Stream& stream = m_streams.at(id);
    if (stream.entry.empty()) {
        stream.entry = frame.assume_value().entry;
        // Frames still in flight on a former stream of this entry must not be processed.
        std::erase_if(m_streams,
            [&stream, id](const auto& item) { return item.first != id && item.second.entry == stream.entry; });
        log(LogLevel::Info, { .step = "sidecar.entry", .peer = stream.entry }, "stream opened");
        m_runs.opened(frame.assume_value(), Clock::now());
    } else {
        m_runs.received(stream.entry, frame.assume_value(), Clock::now());
    }
    run();
}

void RunServer::run()
{
    if (!m_round.run([this] { perform(m_runs.act(Clock::now())); }))
        return;
    if (finishLeaving())
        return run();
    finishShutDown();
    armTimer();
}

void RunServer::perform(RunActions actions)
{
    raiseFenceForFailure();
    for (const auto& item : actions.starts) {
        m_process.metrics.add("starts_total");
        m_minion.start(item, [this, run = item.run, raises = m_fenceRaises.startSent()](StartAnswer answer) {
            if (answer != StartAnswer::Unknown)
                m_fenceRaises.startAnswered(raises);
            if (answer != StartAnswer::Started)
                m_process.metrics.add("starts_not_taken_total");
            m_runs.startAnswered(run, answer, Clock::now());
            this->run();
        });
    }
    for (const auto& item : actions.stops) {
        m_minion.stop(item, [this, run = item.run](bool answered) {
            m_runs.stopAnswered(run, answered, Clock::now());
            this->run();
        });
    }
    if (actions.list) {
        m_minion.list(*actions.list, [this, asked = *actions.list, askedAt = Clock::now()](const Result<RunList>& list) {
            if (list.has_value()) {
                raiseFenceFor(list.assume_value().born);
                m_runs.listed(list.assume_value(), asked, askedAt, Clock::now());
            } else {
                m_process.metrics.add("run_lists_failed_total");
                m_runs.listFailed(Clock::now());
            }
            run();
        });
    }
    for (const auto& item : actions.settledStarts) {
        m_process.metrics.add("starts_unanswered_total");
        if (item.evidence == StartEvidence::Started)
            m_process.metrics.add("starts_unanswered_started_total");
        log(LogLevel::Info, { .step = "sidecar.start", .task = item.run.index, .jobName = item.run.job },
            fmt::format("run {} of step {}, whose start was not answered: {}", item.run.run, item.run.step, startEvidenceName(item.evidence)));
    }
    report(actions.diagnostics);
    for (const auto& item : actions.freedGrants) {
        m_process.metrics.add("grants_freed_total", item.jobs);
        log(LogLevel::Info, { .step = "sidecar.grant" }, describe(item));
    }
    for (const auto& item : actions.frames) {
        const auto stream = std::find_if(m_streams.begin(), m_streams.end(),
            [&item](const auto& each) { return each.second.entry == item.entry; });
        if (stream == m_streams.end())
            continue;
        stream->second.stream->send(encodeFrame(item.frame));
        if (stream->second.stream->unsentBytes() > maxUnsentBytes)
            closed(stream->first);
    }
}

void RunServer::report(const RunDiagnostics& diagnostics)
{
    if (diagnostics.newWithoutEntry > 0)
        m_process.metrics.add("runs_without_entry_total", diagnostics.newWithoutEntry);
    if (diagnostics.leasesShortened > 0)
        m_process.metrics.add("leases_shortened_total", diagnostics.leasesShortened);
    if (diagnostics.leasesBesideRunsWithoutEntry > 0)
        m_process.metrics.add("leases_granted_beside_runs_without_entry_total", diagnostics.leasesBesideRunsWithoutEntry);
    logAll(LogLevel::Info, "sidecar.stop", diagnostics.concluded);
    logAll(LogLevel::Warning, "sidecar.orphan", diagnostics.withoutEntry);
    logAll(LogLevel::Info, "sidecar.lease", diagnostics.shortened);
    for (const auto& item : diagnostics.otherIncarnations)
        log(LogLevel::Warning, { .step = "minion.list" }, describe(item));
}

void RunServer::armTimer()
{
    const Milliseconds now = Clock::now();
    const auto due = m_runs.nextDue(now);
    m_timer.reset();
    if (!due)
        return;
    const Milliseconds delay { std::max<std::int64_t>((*due - now).count, 0) + timerSlack.count };
    m_timer = m_process.loop.once(delay, [this] { run(); });
}

void RunServer::shutDown(std::function<void()> done)
{
    m_process.events.record(EventKind::ProcessStopping);
    m_shutDownDone = std::move(done);
    m_shutDownDeadline = Clock::now() + m_process.settings.shutdownGrace;
    m_runs.beginLeaving();
    m_shutDownTimer = m_process.loop.once(m_process.settings.shutdownGrace, [this] { run(); });
    run();
}

void RunServer::reconfigure(const Settings& settings)
{
    m_process.settings = settings;
    m_control.setPeers(settings.controlPeers);
}

void RunServer::finishShutDown()
{
    if (!m_shutDownDone)
        return;
    if (!m_runs.isSettled() && Clock::now() < m_shutDownDeadline)
        return;
    m_listener.reset();
    m_process.server->stopAccepting();
    m_shutDownTimer.reset();
    m_session.stop(std::exchange(m_shutDownDone, nullptr));
}

} // namespace oleanderport
