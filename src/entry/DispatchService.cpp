#include "entry/DispatchService.h"

#include "entry/Reconnect.h"
#include "wire/DispatchCodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace oleanderport {

namespace {

    // Sidecars named in one line of the log.
    constexpr std::size_t maxNamedSidecars = 8;
    // Actions that are due within this span are performed together.
    constexpr Milliseconds timerSlack { 2 };

    std::string describeFailure(const FailedRun& run)
    {
        if (run.kind == RunEndKind::NotStarted || run.evidence == StartEvidence::Unanswered)
            return fmt::format("{}: {}", runEndKindName(run.kind), startEvidenceName(run.evidence));
        if (run.kind != RunEndKind::Stuck)
            return fmt::format("{} after {} ms", runEndKindName(run.kind), run.ranFor.count);
        if (run.ranFor.count == 0)
            return fmt::format("{}: no progress", runEndKindName(run.kind));
        return fmt::format("{}: projected from its progress to take {} ms", runEndKindName(run.kind), run.ranFor.count);
    }

} // namespace

DispatchService::DispatchService(Process& process)
    : m_process(process)
    , m_random(makeRandomSeed())
    , m_dispatcher({ .incarnation = makeIncarnationName(process.settings.instance),
          .dataCentre = process.settings.dataCentre,
          .placesBySpeed = process.settings.placeBySpeed,
          .separatesInterference = process.settings.separateInterference,
          .startedAt = Clock::now(),
          .seed = makeRandomSeed() })
{
}

void DispatchService::viewChanged(const ClusterView& view)
{
    m_sidecarAddresses.clear();
    std::map<std::string, std::string> dataCentres;
    std::size_t entries = 0;
    for (const auto& member : view.members) {
        if (member.node.role == Role::Entry)
            ++entries;
        if (member.node.role == Role::Sidecar && member.node.streamAddress) {
            m_sidecarAddresses.insert(*member.node.streamAddress);
            dataCentres[*member.node.streamAddress] = member.node.dataCentre;
        }
    }
    m_dispatcher.setDeploymentSize(entries, m_sidecarAddresses.size());
    m_dispatcher.setMembers(dataCentres, Clock::now());
    m_dispatcher.setDataCentresOut(view.dataCentresOut);
    for (const auto& address : m_sidecarAddresses) {
        if (!m_links.contains(address))
            connect(address);
    }
    run();
}

std::size_t DispatchService::sidecars() const
{
    return static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const auto& item) { return item.second.stream && item.second.handshakeDone; }));
}

void DispatchService::connect(const std::string& address)
{
    Link& link = m_links[address];
    link.reconnectTimer.reset();
    link.handshakeDone = false;
    link.stream = MessageStream::connect(m_process.loop, address,
        { .received = [this, address](std::string_view message) { received(address, message); },
            .closed = [this, address](const char* reason) { disconnect(address, reason); } });
    if (!link.stream)
        return;
    m_dispatcher.connected(address, Clock::now());
}

void DispatchService::disconnect(const std::string& address, const char* reason)
{
    Link& link = m_links.at(address);
    if (link.handshakeDone) {
        log(LogLevel::Warning, { .step = "dispatch.link", .peer = address },
            fmt::format("stream lost: {}; {} runs are at this sidecar", reason, m_dispatcher.runsAt(address)));
    }
    const auto workedFor = link.handshakeDone ? std::optional(Clock::now() - link.handshakeAt) : std::nullopt;
    link.failedAttempts = link.handshakeDone ? 0 : link.failedAttempts + 1;
    link.stream.reset();
    link.handshakeDone = false;
    m_dispatcher.disconnected(address);
    link.reconnectTimer = m_process.loop.once(reconnectDelay(workedFor, link.failedAttempts, m_random()), [this, address] {
        // A sidecar that has left the view is dropped once no run is outstanding there.
        if (!m_sidecarAddresses.contains(address) && m_dispatcher.runsAt(address) == 0) {
            m_links.erase(address);
            return;
        }
        connect(address);
        run();
    });
    run();
}

void DispatchService::received(const std::string& address, std::string_view message)
{
    const auto frame = decodeSidecarFrame(message);
    if (!frame.has_value()) {
        // Ends of runs may have been lost with the frame; the sidecar resends them on a new stream.
        logError(LogLevel::Error, frame.assume_error());
        return disconnect(address, "unreadable frame");
    }
    Link& link = m_links.at(address);
    if (!link.handshakeDone && !frame.assume_value().sidecar.empty()) {
        link.handshakeDone = true;
        link.handshakeAt = Clock::now();
        log(LogLevel::Info, { .step = "dispatch.link", .peer = address }, "connected to sidecar " + frame.assume_value().sidecar);
    }
    if (m_dispatcher.received(address, frame.assume_value(), Clock::now()))
        scheduleRun();
}

std::uint64_t DispatchService::submit(const DispatchJob& job, Reply reply)
{
    const std::uint64_t submission = m_dispatcher.submit(job, Clock::now());
    m_replies[submission] = std::move(reply);
    m_unconfirmed[m_process.loop.round()] = submission;
    scheduleRun();
    return submission;
}

void DispatchService::abandon(std::uint64_t submission)
{
    if (m_replies.erase(submission) == 0)
        return;
    m_dispatcher.abandon(submission);
    scheduleRun();
}

bool DispatchService::cancel(const std::string& queue, const std::string& job)
{
    const bool found = m_dispatcher.cancel(queue, job);
    if (found)
        run();
    return found;
}

void DispatchService::finishBy(Milliseconds by)
{
    m_dispatcher.finishBy(by);
    run();
}

void DispatchService::scheduleRun()
{
    if (!m_scheduledRun)
        m_scheduledRun = m_process.loop.once({}, [this] { run(); });
}

void DispatchService::run(bool fromTimer)
{
    m_scheduledRun.reset();
    // A reply or a lost stream may request a further round.
    if (!m_round.run([&] {
            const EventLoop& loop = m_process.loop;
            const auto firstUnconfirmed = m_unconfirmed.lower_bound(loop.readRound());
            if (firstUnconfirmed != m_unconfirmed.begin())
                m_lastConfirmed = std::prev(firstUnconfirmed)->second;
            m_unconfirmed.erase(m_unconfirmed.begin(), firstUnconfirmed);
            perform(m_dispatcher.act(Clock::now(), std::exchange(fromTimer, false), loop.readUntil(), m_lastConfirmed));
        }))
        return;
    if (m_dispatcher.awaitsCallerNews())
        scheduleRun();
    armTimer();
}

void DispatchService::perform(const DispatchActions& actions)
{
    for (const auto& item : actions.frames) {
        const auto link = m_links.find(item.sidecar);
        if (link != m_links.end() && link->second.stream)
            link->second.stream->send(encodeFrame(item.frame));
    }
    for (const auto& failed : actions.failedRuns) {
        m_process.metrics.add(fmt::format("runs_{}_total", runEndKindName(failed.kind)));
        log(LogLevel::Info,
            { .step = "entry.run", .peer = failed.sidecar, .task = failed.run.index, .jobName = failed.run.job },
            fmt::format("run {} of step {} {}", failed.run.run, failed.run.step, describeFailure(failed)));
    }
    for (const auto& end : actions.ends) {
        const auto found = m_replies.find(end.submission);
        if (found == m_replies.end())
            continue;
        m_process.metrics.add(fmt::format("jobs_{}_total", dispatchEndKindName(end.kind)));
        m_process.metrics.add("runs_given_back_total", end.givenBack);
        if (end.runs > 0)
            m_process.metrics.observe("job_wait_milliseconds", static_cast<double>(end.waited.count));
        const Reply reply = std::move(found->second);
        m_replies.erase(found);
        reply(end);
    }
    for (const auto& report : actions.grantReports) {
        m_process.metrics.add(report.outcome == GrantOutcome::Lost ? "jobs_without_grants_total" : "jobs_contested_total");
        log(LogLevel::Info, { .step = "dispatch.grant", .jobName = report.job }, describe(report));
    }
    for (const auto& rivalry : actions.rivalries) {
        log(LogLevel::Info, { .step = "dispatch.rivals", .peer = rivalry.queue },
            fmt::format("tasks of this queue and of {} {}; {} sidecars report that one slows the other down", rivalry.neighbour,
                rivalry.isKeptApart ? "are placed on different minions where there is room" : "may share a minion again", rivalry.sidecars));
    }
    if (actions.heldFor)
        reportHold(*actions.heldFor);
    for (const auto& address : actions.reconnect)
        disconnect(address, "idle timeout");
}

void DispatchService::reportHold(const std::vector<std::string>& unheard) const
{
    if (unheard.empty())
        return log(LogLevel::Info, { .step = "dispatch.hold" }, fmt::format("jobs are placed again; {} are unfinished", m_dispatcher.jobs()));
    m_process.metrics.add("dispatch_holds_total");
    log(LogLevel::Info, { .step = "dispatch.hold" },
        fmt::format("new jobs are held: tasks of lost entries may run at the minions of {} sidecars that are not heard: {}", unheard.size(),
            fmt::join(unheard.begin(), unheard.begin() + static_cast<std::ptrdiff_t>(std::min(unheard.size(), maxNamedSidecars)), ", ")));
}

void DispatchService::armTimer()
{
    const auto due = m_dispatcher.nextDue();
    if (!due) {
        m_timer.reset();
        m_timerDue.reset();
        return;
    }
    // A timer that fires earlier is kept: it finds nothing to do and arms the next one.
    if (m_timer && m_timerDue && *m_timerDue <= *due && *m_timerDue > Clock::now())
        return;
    const Milliseconds delay { std::max<std::int64_t>((*due - Clock::now()).count, 0) + timerSlack.count };
    m_timerDue = Clock::now() + delay;
    m_timer = m_process.loop.once(delay, [this] {
        m_timerDue.reset();
        run(true);
    });
}

} // namespace oleanderport
