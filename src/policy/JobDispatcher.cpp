#include "policy/JobDispatcher.h"

#include "oleanderport/NameTable.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    constexpr std::int64_t percent = 100;
    constexpr Milliseconds unsettledPrunePeriod { 1'000 };
    // Where this percentage of the sidecars has just started again, all processes have.
    constexpr std::int64_t restartedPercent = 75;
    constexpr std::int64_t thousandths = 1'000;
    // A service is considered absent once none of its sidecars sent anything for this long; several heartbeats.
    constexpr Milliseconds absentAfter { 2'000 };
    // Longer chains and waits count as this one, so that percentages of them fit into 64 bits.
    constexpr Milliseconds longestCountedChain { 1'000'000'000 };
    // Each placed task has a weight of 1/meanCpuShare in the mean CPU need.
    constexpr std::int64_t meanCpuShare = 50;

    constexpr NameTable<DispatchEndKind, 4> dispatchEndKindNames { {
        { DispatchEndKind::Completed, "completed" },
        { DispatchEndKind::Failed, "failed" },
        { DispatchEndKind::Refused, "refused" },
        { DispatchEndKind::Unfinished, "unfinished" },
    } };

} // namespace

std::string_view dispatchEndKindName(DispatchEndKind kind) { return nameIn(dispatchEndKindNames, kind); }

JobDispatcher::JobDispatcher(JobDispatcherOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_blindAt(m_options.startedAt)
    , m_grants({ .dataCentre = m_options.dataCentre, .seed = m_options.seed })
{
}

Milliseconds JobDispatcher::expectedRun(const QueueConfig& queue, const TaskNeeds& needs) const
{
    const auto learned = m_estimateError.find(queue.name);
    const auto error = learned == m_estimateError.end() ? std::nullopt : learned->second.mean();
    return { static_cast<std::int64_t>(static_cast<double>(needs.runTime.count) * error.value_or(thousandths) / thousandths) };
}

Milliseconds JobDispatcher::shortestRun(const QueueConfig& queue, const TaskNeeds& needs) const
{
    const auto learned = m_estimateError.find(queue.name);
    const auto error = learned == m_estimateError.end() ? std::nullopt : learned->second.shortest();
    return { needs.runTime.count * error.value_or(Milliseconds { thousandths }).count / thousandths };
}

Milliseconds JobDispatcher::expectedChain(const DispatchJob& job, Milliseconds now) const
{
    const Milliseconds expected = longestChain(job, &JobDispatcher::expectedRun);
    const Milliseconds most = job.deadline - now - m_options.minQueueTime;
    // Where run times vary widely, a job that misses its deadline only by the mean run time may still meet it.
    if (expected > most && longestChain(job, &JobDispatcher::shortestRun) <= most)
        return most;
    return expected;
}

Milliseconds JobDispatcher::longestChain(const DispatchJob& job, RunEstimate estimate) const
{
    std::vector<Milliseconds> ends;
    Milliseconds longest {};
    for (const auto& step : job.steps) {
        Milliseconds begin {};
        for (const auto earlier : step.after)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + (this->*estimate)(job.queue, step.needs));
        longest = std::max(longest, ends.back());
    }
    return std::min(longest, longestCountedChain);
}

void JobDispatcher::finishBy(Milliseconds by)
{
    m_finishBy = by;
    for (auto& [id, job] : m_jobs) {
        job.spec.deadline = std::min(job.spec.deadline, by);
        job.busyCutoff = std::min(job.busyCutoff, by);
        job.idleCutoff = std::min(job.idleCutoff, by);
    }
}

std::size_t memoryOf(const DispatchJob& job)
{
    // A task's state, its run and the names of minions in both.
    constexpr std::size_t bytesPerTask = 256;
    constexpr std::size_t bytesPerJob = 2'048;
    std::size_t bytes = bytesPerJob + job.payload.size() + 2 * job.name.size();
    for (const auto& step : job.steps)
        bytes += sizeof(DispatchStep) + step.count * bytesPerTask + step.after.size() * sizeof(step.after[0]) + step.requiredLabel.size() + step.preferredRack.size();
    return bytes;
}

JobDispatcher::Job JobDispatcher::makeJob(const DispatchJob& spec, std::uint64_t submission, Milliseconds now) const
{
    Job job { .spec = spec, .submissions = { submission }, .tasks = {}, .arrived = now };
    for (const auto& step : spec.steps) {
        job.tasks.emplace_back(step.count);
        job.waiting += step.count;
    }
    job.unfinishedTasks = job.waiting;
    job.longestRun = expectedChain(spec, now);
    const Milliseconds objective = Milliseconds { job.longestRun.count * spec.queue.stretchPercent / percent } + spec.queue.latencyAllowance;
    // Jobs of a queue without an objective, or with one that leaves no time to wait, may still wait for minQueueTime.
    const Milliseconds aim = std::max(objective, job.longestRun + m_options.minQueueTime);
    const auto within = [&](std::int64_t hundredths) {
        return std::min(spec.deadline, now + Milliseconds { aim.count * hundredths / percent });
    };
    job.busyCutoff = within(m_options.busyCutoffPercent);
    job.idleCutoff = within(m_options.idleCutoffPercent);
    job.objectiveAt = now + objective;
    job.effectiveDeadline = now + objective + m_options.priorityDelay * spec.queue.priority;
    return job;
}

std::uint64_t JobDispatcher::submit(DispatchJob spec, Milliseconds now)
{
    if (m_finishBy)
        spec.deadline = std::min(spec.deadline, *m_finishBy);
    detectPause(now);
    const std::uint64_t submission = ++m_lastId;
    const auto known = m_byName.find({ spec.queue.name, spec.name });
    if (known != m_byName.end()) {
        m_jobs.at(known->second).submissions.push_back(submission);
        m_submissions[submission] = known->second;
        return submission;
    }
    Job job = makeJob(spec, submission, now);
    if (m_options.separatesInterference)
        m_queueNames.try_emplace(nameDigest(spec.queue.name), spec.queue.name);
    m_submissions[submission] = submission;
    m_byName[{ spec.queue.name, spec.name }] = submission;
    job.grants = m_grants.acquire(spec.name);
    auto reason = refusal(job, now);
    if (reason && forgetStaleEstimateError(spec.queue.name, now)) {
        const GrantStatus* grants = job.grants;
        job = makeJob(spec, submission, now);
        job.grants = grants;
        reason = refusal(job, now);
    }
    const Job& added = m_jobs.emplace(submission, std::move(job)).first->second;
    if (reason)
        giveUp(submission, *reason, *reason, now);
    else
        m_queue.emplace(added.effectiveDeadline, submission);
    return submission;
}

bool JobDispatcher::forgetStaleEstimateError(const std::string& queue, Milliseconds now)
{
    const auto recorded = m_estimateErrorAt.find(queue);
    if (recorded == m_estimateErrorAt.end() || now < recorded->second + m_options.estimateErrorExpiry)
        return false;
    m_estimateErrorAt.erase(recorded);
    return m_estimateError.erase(queue) > 0;
}

Milliseconds JobDispatcher::cutoff(const Job& job) const
{
    const bool isWaitingForOthers = m_isHolding || job.grants->isContested || (job.grants->isProvisional && !job.grants->isHeld);
    return acceptingCpuMillis(job.spec.queue.service) > 0 && !isWaitingForOthers ? job.busyCutoff : job.idleCutoff;
}

std::optional<std::string> JobDispatcher::refusal(const Job& job, Milliseconds now) const
{
    bool present = false;
    std::vector<bool> fitting(job.spec.steps.size(), false);
    for (const auto& [name, link] : m_links) {
        if (!link.known || link.state.service != job.spec.queue.service)
            continue;
        present = present || now <= link.lastReceivedAt + absentAfter;
        for (std::size_t i = 0; i < fitting.size(); ++i)
            fitting[i] = fitting[i] || fitsInto(link.state.capacity, job.spec.steps[i].needs);
    }
    if (now <= m_options.startedAt + absentAfter)
        return std::nullopt;
    if (!present)
        return "the service has no connected minion";
    if (std::find(fitting.begin(), fitting.end(), false) != fitting.end())
        return "a task needs more than the capacity of any minion";
    if (now + expectedWait(job, now) + job.longestRun > cutoff(job))
        return "the queued work ahead of it leaves too little time";
    return std::nullopt;
}

bool JobDispatcher::acceptsRuns(const Link& link, const std::string& service) const
{
    // A request without an echo is refused as stale.
    return link.connected && link.handshakeDone && link.echoableClock.count > 0 && link.known && link.state.accepting
        && link.state.service == service && !m_dataCentresOut.contains(link.state.dataCentre);
}

std::int64_t JobDispatcher::acceptingCpuMillis(const std::string& service) const
{
    if (const auto known = m_acceptingCpuMillis.find(service); known != m_acceptingCpuMillis.end())
        return known->second;
    std::int64_t cores = 0;
    for (const auto& [name, link] : m_links) {
        if (acceptsRuns(link, service))
            cores += link.state.capacity.cpuMillis;
    }
    m_acceptingCpuMillis[service] = cores;
    return cores;
}

Milliseconds JobDispatcher::expectedWait(const Job& job, Milliseconds now) const
{
    // Work in thousandths of a core times milliseconds.
    double ahead = 0;
    for (const auto& [effectiveDeadline, id] : m_queue) {
        if (effectiveDeadline > job.effectiveDeadline)
            break;
        const Job& other = m_jobs.at(id);
        const bool isWaitingForOthers = other.grants->isContested || other.grants->isProvisional;
        if (other.spec.queue.service != job.spec.queue.service || !canMeetObjective(other, now) || (isWaitingForOthers && !other.grants->isHeld))
            continue;
        for (std::size_t i = 0; i < other.tasks.size(); ++i) {
            const TaskNeeds& needs = other.spec.steps[i].needs;
            const auto waiting = std::count_if(other.tasks[i].begin(), other.tasks[i].end(),
                [](const Task& task) { return task.state == TaskState::Waiting; });
            ahead += static_cast<double>(waiting) * static_cast<double>(needs.cpuMillis) * static_cast<double>(expectedRun(other.spec.queue, needs).count);
        }
    }
    const std::int64_t share = acceptingCpuMillis(job.spec.queue.service) / static_cast<std::int64_t>(m_options.entries);
    if (share <= 0)
        return {};
    return { static_cast<std::int64_t>(std::min(ahead / static_cast<double>(share), static_cast<double>(longestCountedChain.count))) };
}

Milliseconds JobDispatcher::retryAfter(const Job& job, Milliseconds now)
{
    // Jitter of up to the base delay, so that callers refused together do not retry together.
    const std::int64_t base = std::max(expectedWait(job, now), m_options.minRetryAfter).count;
    const std::int64_t spread = base + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(base + 1));
    return { std::min(spread, m_options.maxRetryAfter.count) };
}

void JobDispatcher::abandon(std::uint64_t submission)
{
    const auto found = m_submissions.find(submission);
    if (found == m_submissions.end())
        return;
    const std::uint64_t id = found->second;
    Job& job = m_jobs.at(id);
    std::erase(job.submissions, submission);
    m_submissions.erase(found);
    if (job.submissions.empty())
        endJob(id, DispatchEndKind::Unfinished, "the caller disconnected", {});
}

bool JobDispatcher::cancel(const std::string& queue, const std::string& name)
{
    const auto found = m_byName.find({ queue, name });
    if (found == m_byName.end())
        return false;
    endJob(found->second, DispatchEndKind::Unfinished, "cancelled", {});
    return true;
}

void JobDispatcher::setDataCentresOut(const std::vector<std::string>& names)
{
    m_dataCentresOut = { names.begin(), names.end() };
    m_acceptingCpuMillis.clear();
}

void JobDispatcher::setDeploymentSize(std::size_t entries, std::size_t sidecars)
{
    if (entries < m_knownEntries) {
        m_formerEntries = m_lastCallAt < m_formerEntriesUntil ? std::max(m_formerEntries, m_knownEntries) : m_knownEntries;
        m_formerEntriesUntil = m_lastCallAt + m_options.formerEntriesFor;
    }
    m_knownEntries = entries;
    m_options.entries = std::max<std::size_t>(entries, 1);
    m_options.sidecars = std::max<std::size_t>(sidecars, 1);
}

void JobDispatcher::setMembers(const std::map<std::string, std::string>& dataCentres, Milliseconds now)
{
    if (!dataCentres.empty())
        m_membersKnownAt = m_membersKnownAt.value_or(now);
    for (auto& [service, rivals] : m_rivals) {
        for (const auto& former : m_members) {
            if (!dataCentres.contains(former))
                rivals.remove(former);
        }
    }
    m_members.clear();
    for (const auto& [sidecar, dataCentre] : dataCentres)
        m_members.insert(sidecar);
    m_grants.setMembers(dataCentres, now);
}

void JobDispatcher::connected(const std::string& sidecar, Milliseconds now)
{
    Link& link = m_links[sidecar];
    link.connected = true;
    link.handshakeDone = false;
    link.lastActiveAt = now;
    link.isSilent = false;
    link.framesSent = 0;
    link.sent.clear();
    link.unseen.reset();
    link.wantedCpuMillis = 0;
    link.next = EntryFrame { .entry = m_options.incarnation,
        .outstanding = {},
        .stateGap = { static_cast<std::int64_t>(m_options.sidecars) * thousandths / m_options.maxStateFramesPerSecond } };
    for (const auto& [name, place] : link.outstanding) {
        link.next.outstanding.push_back(name);
        if (place.job == 0)
            link.next.stops.push_back(name);
    }
    std::erase_if(link.givenUp, [now](const auto& item) { return item.second.until <= now; });
    for (auto& [name, run] : link.givenUp) {
        link.next.outstanding.push_back(name);
        link.next.stops.push_back(name);
        run.isNamed = true;
    }
    link.next.grants = m_grants.connected(sidecar, now);
    link.next.entries = now < m_formerEntriesUntil ? std::max(m_knownEntries, m_formerEntries) : m_knownEntries;
    link.next.startedFor = now - m_options.startedAt;
    link.hasNext = true;
}

void JobDispatcher::disconnected(const std::string& sidecar)
{
    const auto found = m_links.find(sidecar);
    if (found == m_links.end())
        return;
    found->second.connected = false;
    found->second.handshakeDone = false;
    m_acceptingCpuMillis.clear();
    m_grants.disconnected(sidecar);
    found->second.next = {};
    found->second.hasNext = false;
}

bool JobDispatcher::received(const std::string& sidecar, const SidecarFrame& frame, Milliseconds now)
{
    detectPause(now);
    Link& link = m_links[sidecar];
    if (!frame.sidecar.empty()) {
        if (frame.sidecar != link.incarnation) {
            link.incarnation = frame.sidecar;
            link.clock = {};
            link.echoableClock = {};
            link.laterClocks.clear();
            link.endsSeen = 0;
            link.endsAcknowledged = 0;
        }
        link.handshakeDone = true;
        std::erase_if(link.givenUp, [](const auto& item) { return item.second.isNamed; });
        if (frame.unknownRunsFor.count > 0)
            link.cameUnknownAt = now;
        m_acceptingCpuMillis.clear();
        m_grants.handshakeDone(sidecar, frame.isRegistrar);
    }
    link.lastReceivedAt = now;
    link.lastActiveAt = now;
    if (frame.clock > link.clock) {
        link.clock = frame.clock;
        link.laterClocks.push_back({ .clock = frame.clock, .receivedAt = now });
    }
    std::erase_if(link.sent, [&frame](const SentNeeds& each) { return each.frame <= frame.framesSeen; });
    if (link.unseen && link.unseen->number <= frame.framesSeen)
        m_grants.seen(sidecar, std::exchange(link.unseen, std::nullopt)->at, now);
    for (const auto& answer : frame.grants) {
        m_grants.answered(sidecar, answer);
        if (answer.state == GrantState::Provisional)
            link.provisionalAt = link.provisionalAt.value_or(now);
    }
    link.hasUnknownRuns = frame.unknownRunsFor.count > 0;
    link.isSilent = false;
    if (frame.lostEntryRunsFor.count > 0)
        noteLostEntry(frame.lostEntryRunsFor, now);
    if (frame.state)
        applyState(sidecar, link, *frame.state);
    if (freeAt(link).cpuMillis >= link.wantedCpuMillis)
        link.wantedCpuMillis = 0;
    if (m_options.separatesInterference && !frame.slowdowns.empty() && link.known)
        m_rivals[link.state.service].reported(sidecar, frame.slowdowns);
    for (const auto& task : frame.unsettledTasks)
        applyUnsettledTask(sidecar, task, now);
    for (const auto& end : frame.ends)
        applyEnd(link, sidecar, end, now);
    return !frame.sidecar.empty() || !frame.ends.empty() || !frame.grants.empty() || !m_queue.empty() || needsEcho(link, sidecar, link.clock, now);
}

bool JobDispatcher::isHeard(const Link& link) { return link.connected && link.handshakeDone && !link.isSilent; }

bool JobDispatcher::haveMostStartedAgain(Milliseconds now) const
{
    const auto restarted = std::count_if(m_links.begin(), m_links.end(),
        [now](const auto& item) { return item.second.cameUnknownAt && now < *item.second.cameUnknownAt + maxLostEntryRunTime; });
    return restarted > 0 && restarted * percent >= static_cast<std::int64_t>(m_links.size()) * restartedPercent;
}

bool JobDispatcher::hasStartedWithSidecars(Milliseconds now) const
{
    if (!m_membersKnownAt || now >= *m_membersKnownAt + maxLostEntryRunTime)
        return false;
    const auto isInTime = [end = *m_membersKnownAt + m_options.commonStartTime](std::optional<Milliseconds> at) { return at && *at <= end; };
    const auto together = std::count_if(m_links.begin(), m_links.end(),
        [&isInTime](const auto& item) { return isInTime(item.second.cameUnknownAt) || isInTime(item.second.provisionalAt); });
    return together > 0 && together * percent >= static_cast<std::int64_t>(m_links.size()) * restartedPercent;
}

std::vector<std::string> JobDispatcher::unheardSidecars(Milliseconds now) const
{
    const bool hasJustStarted = now < m_options.startedAt + maxLostEntryRunTime;
    const bool waitsForUnknown = !hasJustStarted || !haveMostStartedAgain(now);
    const auto isUnheard = [waitsForUnknown](const Link& link) { return !isHeard(link) || (link.hasUnknownRuns && waitsForUnknown); };
    std::vector<std::string> unheard;
    if (m_members.empty()) {
        for (const auto& [name, link] : m_links) {
            if (isUnheard(link))
                unheard.push_back(name);
        }
    }
    for (const auto& name : m_members) {
        const auto link = m_links.find(name);
        if (link == m_links.end() || isUnheard(link->second))
            unheard.push_back(name);
    }
    return unheard;
}

void JobDispatcher::updateHold(Milliseconds now, bool allFramesRead)
{
    for (auto& [name, link] : m_links)
        link.isSilent = link.isSilent || (allFramesRead && now > link.lastActiveAt + m_options.unheardAfter);
    m_isBlind = std::none_of(m_links.begin(), m_links.end(), [](const auto& item) { return isHeard(item.second); });
    if (m_isBlind)
        m_blindAt = now;
    std::vector<std::string> unheard;
    // Grants take the place of the hold.
    if (now < lostRunsEndBy() && !m_grants.doAllSidecarsGrant())
        unheard = unheardSidecars(now);
    m_holdUntil = unheard.empty() ? Milliseconds {} : lostRunsEndBy();
    if (m_isHolding != !unheard.empty())
        m_actions.heldFor = unheard;
    m_isHolding = !unheard.empty();
}

void JobDispatcher::noteLostEntry(Milliseconds runsFor, Milliseconds now)
{
    const Milliseconds lostAt = now + std::min(runsFor, maxLostEntryRunTime) - maxLostEntryRunTime;
    const bool isFirst = now >= m_lostRunsUntil;
    m_entriesLostSince = isFirst ? lostAt : std::min(m_entriesLostSince, lostAt);
    m_lostRunsUntil = std::max(m_lostRunsUntil, lostAt + maxLostEntryRunTime);
}

Milliseconds JobDispatcher::lostRunsEndBy() const { return std::max(m_blindAt + maxLostEntryRunTime, m_lostRunsUntil); }

bool JobDispatcher::isHeld(const Job& job, Milliseconds now) const
{
    if (now >= m_holdUntil)
        return false;
    return now < m_blindAt + maxLostEntryRunTime || job.arrived + m_options.lossNewsDelay >= m_entriesLostSince;
}

void JobDispatcher::applyUnsettledTask(const std::string& sidecar, const UnsettledTask& unsettled, Milliseconds now)
{
    m_unsettled[unsettled.job][{ unsettled.step, unsettled.index }][sidecar] = now + unsettled.remaining;
    if (now < m_unsettledPrunedAt + unsettledPrunePeriod)
        return;
    m_unsettledPrunedAt = now;
    for (auto& [job, tasks] : m_unsettled) {
        for (auto& [task, sidecars] : tasks)
            std::erase_if(sidecars, [now](const auto& each) { return each.second <= now; });
        std::erase_if(tasks, [](const auto& each) { return each.second.empty(); });
    }
    std::erase_if(m_unsettled, [](const auto& each) { return each.second.empty(); });
}

std::vector<std::string> JobDispatcher::sidecarsWithUnsettled(const Job& job, std::uint32_t step, std::uint32_t index, Milliseconds now) const
{
    const auto tasks = m_unsettled.find(job.spec.name);
    if (tasks == m_unsettled.end())
        return {};
    const auto task = tasks->second.find({ step, index });
    if (task == tasks->second.end())
        return {};
    std::vector<std::string> sidecars;
    for (const auto& [sidecar, until] : task->second) {
        if (until > now)
            sidecars.push_back(sidecar);
    }
    return sidecars;
}

std::string JobDispatcher::describeUnsettled(const Job& job, Milliseconds now) const
{
    if (!m_unsettled.contains(job.spec.name))
        return {};
    for (std::uint32_t step = 0; step < job.tasks.size(); ++step) {
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
            const auto sidecars = sidecarsWithUnsettled(job, step, index, now);
            if (job.tasks[step][index].state == TaskState::Waiting && !sidecars.empty())
                return fmt::format("; task {} of step {} may run at the minion of {}", index, step, fmt::join(sidecars, ", "));
        }
    }
    return {};
}

void JobDispatcher::applyState(const std::string& sidecar, Link& link, const MinionState& reported)
{
    MinionState state = reported;
    if (!reported.isWhole) {
        state = link.state;
        state.used = reported.used;
        state.accepting = reported.accepting;
    }
    const bool sameRoom = link.state.accepting == state.accepting && link.state.capacity.cpuMillis == state.capacity.cpuMillis
        && link.state.service == state.service;
    if (!sameRoom)
        m_acceptingCpuMillis.clear();
    link.state = std::move(state);
    if (!link.known && link.state.capacity.cpuMillis > 0) {
        link.known = true;
        healthOf(link.state.service).add(healthId(sidecar), expectedSlots(link.state.capacity));
        if (m_options.separatesInterference)
            m_rivals[link.state.service].add(sidecar);
    }
}

std::int64_t JobDispatcher::expectedSlots(const TaskNeeds& capacity) const
{
    return std::max<std::int64_t>(capacity.cpuMillis / std::max<std::int64_t>(m_meanCpu, 1), 1);
}

void JobDispatcher::applyEnd(Link& link, const std::string& sidecar, const RunEnd& end, Milliseconds now)
{
    if (end.number <= link.endsSeen)
        return;
    link.endsSeen = end.number;
    const auto found = link.outstanding.find(end.run);
    if (found == link.outstanding.end())
        return;
    const TaskPlace place = found->second;
    link.outstanding.erase(found);
    runEnded(sidecar, place, end, now);
}

void JobDispatcher::runEnded(const std::string& sidecar, const TaskPlace& place, const RunEnd& end, Milliseconds now)
{
    if (place.job == 0) {
        const auto former = m_runsOfEndedJobs.find(end.run.job);
        if (former != m_runsOfEndedJobs.end() && --former->second == 0) {
            m_runsOfEndedJobs.erase(former);
            releaseGrants(end.run.job, true);
        }
        return;
    }
    Job& job = m_jobs.at(place.job);
    Task& task = job.tasks[place.step][place.index];
    const DispatchStep& step = job.spec.steps[place.step];
    MinionHealth& health = healthOf(job.spec.queue.service);
    if (end.kind != RunEndKind::NotStarted && end.kind != RunEndKind::NoRoom)
        job.mayHaveRun = true;
    --job.atSidecars;
    if (end.kind == RunEndKind::Done) {
        task.state = TaskState::Done;
        health.record(healthId(sidecar), TaskOutcome::Done, end.ranFor, now);
        learnRunTime(job, step, sidecar, end.ranFor, now);
        if (--job.unfinishedTasks == 0)
            endJob(place.job, DispatchEndKind::Completed, {}, {});
        return;
    }
    if (end.kind == RunEndKind::NoRoom) {
        ++job.givenBack;
        --job.runs;
        return requeueTask(place.job, job, task);
    }
    m_actions.failedRuns.push_back({ .run = end.run, .sidecar = sidecar, .kind = end.kind, .ranFor = end.ranFor, .evidence = end.evidence });
    if (end.kind == RunEndKind::Stuck)
        health.recordStuck(healthId(sidecar), now);
    else if (end.kind == RunEndKind::Failed)
        health.record(healthId(sidecar), TaskOutcome::Failed, end.ranFor, now);
    else if (end.kind == RunEndKind::NotStarted || end.evidence == StartEvidence::Unanswered)
        health.record(healthId(sidecar), TaskOutcome::NotStarted, end.ranFor, now);
    if (end.kind == RunEndKind::Failed && ++task.failures >= std::max<std::int64_t>(job.spec.queue.maxAttempts, 1)) {
        endJob(place.job, DispatchEndKind::Failed, "a task failed as often as its queue allows", {});
        return;
    }
    if (end.kind == RunEndKind::Stuck && end.ranFor.count > 0)
        learnFromSlowRun(job, step, task, sidecar, end.ranFor, now);
    if (end.kind != RunEndKind::NotStarted)
        task.failedAt.push_back(sidecar);
    requeueTask(place.job, job, task);
}

void JobDispatcher::requeueTask(std::uint64_t id, Job& job, Task& task)
{
    task.state = TaskState::Waiting;
    ++job.waiting;
    m_queue.emplace(job.effectiveDeadline, id);
}

double JobDispatcher::slownessOf(const std::string& service, const std::string& sidecar, Milliseconds now) const
{
    const auto speeds = m_speeds.find(service);
    return speeds == m_speeds.end() ? 1 : speeds->second.slowness(sidecar, now);
}

void JobDispatcher::weighRivals(const QueueConfig& queue, std::vector<PlacementCandidate>& candidates) const
{
    const auto found = m_rivals.find(queue.service);
    if (found == m_rivals.end() || found->second.empty())
        return;
    const std::uint64_t digest = nameDigest(queue.name);
    for (auto& candidate : candidates) {
        const auto& runs = m_links.at(candidate.sidecar).outstanding;
        candidate.hasRivals = found->second.prefersOtherMinions(digest, candidate.sidecar)
            || std::any_of(runs.begin(), runs.end(), [&](const auto& item) {
                   const auto job = m_jobs.find(item.second.job);
                   return job != m_jobs.end() && found->second.areRivals(digest, nameDigest(job->second.spec.queue.name));
               });
    }
}

void JobDispatcher::reportRivalries()
{
    const auto nameOf = [this](std::uint64_t digest) {
        const auto name = m_queueNames.find(digest);
        return name == m_queueNames.end() ? fmt::format("queue {:016x}", digest) : name->second;
    };
    for (auto& [service, rivals] : m_rivals) {
        for (const auto& change : rivals.takeChanges())
            m_actions.rivalries.push_back({ .queue = nameOf(change.queue), .neighbour = nameOf(change.neighbour), .isKeptApart = change.isKeptApart, .sidecars = change.sidecars });
    }
}

std::size_t JobDispatcher::queuePairsKeptApart() const
{
    std::size_t pairs = 0;
    for (const auto& [service, rivals] : m_rivals)
        pairs += rivals.pairs();
    return pairs;
}

std::size_t JobDispatcher::slowMinions(Milliseconds now) const
{
    constexpr double slow = 1.25;
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(),
        [&](const auto& item) { return slownessOf(item.second.state.service, item.first, now) >= slow; }));
}

void JobDispatcher::learnRunTime(const Job& job, const DispatchStep& step, const std::string& sidecar, Milliseconds ranFor, Milliseconds now)
{
    if (step.needs.runTime.count <= 0)
        return;
    const std::string& service = job.spec.queue.service;
    const double slowness = slownessOf(service, sidecar, now);
    // What is learned of the queue is the run time on the mean minion, wherever its tasks ran.
    const double onMeanMinion = static_cast<double>(ranFor.count) / slowness;
    if (const double expected = static_cast<double>(expectedRun(job.spec.queue, step.needs).count); m_options.placesBySpeed && expected > 0)
        m_speeds[service].record(sidecar, static_cast<double>(ranFor.count) / expected, now);
    m_estimateErrorAt[job.spec.queue.name] = now;
    m_estimateError[job.spec.queue.name].record({ static_cast<std::int64_t>(onMeanMinion * thousandths) / step.needs.runTime.count });
}

void JobDispatcher::learnFromSlowRun(
    const Job& job, const DispatchStep& step, Task& task, const std::string& sidecar, Milliseconds projected, Milliseconds now)
{
    // One minion alone may be slow. A task that is slow on two of them has too small an estimate.
    const bool slowElsewhere = !task.slowAt.empty() && task.slowAt != sidecar;
    task.slowAt = sidecar;
    if (slowElsewhere)
        learnRunTime(job, step, sidecar, projected, now);
}

void JobDispatcher::endLostRuns(const std::string& sidecar, Link& link, Milliseconds now)
{
    std::erase_if(link.givenUp, [now](const auto& item) { return item.second.until <= now; });
    const auto lost = std::exchange(link.outstanding, {});
    for (const auto& [name, place] : lost) {
        link.givenUp[name] = { .until = now + maxStartDelay };
        if (place.job == 0 || m_jobs.contains(place.job))
            runEnded(sidecar, place, { .run = name }, now);
    }
}

template <typename Visit>
void JobDispatcher::forEachRunAtSidecar(std::uint64_t id, const Job& job, Visit visit)
{
    for (std::uint32_t step = 0; step < job.tasks.size(); ++step) {
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
            const Task& task = job.tasks[step][index];
            if (task.state == TaskState::AtSidecar)
                visit(RunName { .job = job.spec.name, .step = step, .index = index, .run = task.run, .submission = id }, m_links.at(task.sidecar));
        }
    }
}

void JobDispatcher::giveUp(std::uint64_t id, std::string_view whenBegun, std::string_view otherwise, Milliseconds now)
{
    const Job& job = m_jobs.at(id);
    // A run of a former submission is no reason to promise that nothing will run.
    const std::string unsettled = describeUnsettled(job, now);
    // Without any sidecar there is nothing to wait for: callers are told when to come back.
    const std::string held = isHeld(job, now) && !m_isBlind ? "; tasks of a lost entry may run at sidecars that are not heard" : "";
    const std::string missing = describeGrants(job, now);
    const bool begun = job.hasBegun() || !unsettled.empty() || !held.empty() || !missing.empty();
    endJob(id, begun ? DispatchEndKind::Unfinished : DispatchEndKind::Refused, std::string(begun ? whenBegun : otherwise) + unsettled + held + missing,
        retryAfter(job, now));
}

void JobDispatcher::endJob(std::uint64_t id, DispatchEndKind kind, std::string reason, Milliseconds retryAfter)
{
    const auto found = m_jobs.find(id);
    Job& job = found->second;
    forEachRunAtSidecar(id, job, [this](const RunName& name, Link& link) {
        const auto place = link.outstanding.find(name);
        if (place == link.outstanding.end())
            return;
        place->second.job = 0;
        ++m_runsOfEndedJobs[name.job];
        link.next.stops.push_back(name);
        link.hasNext = true;
    });
    std::size_t tasks = 0;
    for (const auto& step : job.tasks)
        tasks += static_cast<std::size_t>(std::count_if(step.begin(), step.end(), [](const Task& task) { return task.run > 0; }));
    for (const auto submission : job.submissions) {
        m_submissions.erase(submission);
        m_actions.ends.push_back({ .submission = submission,
            .kind = kind,
            .reason = reason,
            .retryAfter = retryAfter,
            .runs = job.runs,
            .retries = job.runs > tasks ? job.runs - tasks : 0,
            .givenBack = job.givenBack,
            .sidecars = { job.sidecars.begin(), job.sidecars.end() },
            .waited = job.runs > 0 ? job.firstSentAt - job.arrived : Milliseconds {} });
    }
    m_queue.erase({ job.effectiveDeadline, id });
    m_byName.erase({ job.spec.queue.name, job.spec.name });
    const std::string name = job.spec.name;
    m_jobs.erase(found);
    releaseGrants(name, kind != DispatchEndKind::Completed);
}

void JobDispatcher::releaseGrants(const std::string& job, bool isUrgent)
{
    const bool isWanted = std::any_of(m_byName.begin(), m_byName.end(), [&job](const auto& item) { return item.first.second == job; });
    if (!isWanted && !m_runsOfEndedJobs.contains(job))
        m_grants.release(job, isUrgent);
}

std::string JobDispatcher::describeGrants(const Job& job, Milliseconds now) const
{
    const bool areAnswersDue = now < job.arrived + m_options.lossNewsDelay;
    if (job.grants->isHeld || m_isBlind || (areAnswersDue && !job.grants->isContested && !job.grants->isProvisional))
        return {};
    return "; the job may be held by another entry: " + m_grants.describeMissing(job.spec.name, now);
}

bool JobDispatcher::isStepOpen(const Job& job, const DispatchStep& step) const
{
    return std::all_of(step.after.begin(), step.after.end(), [&job](std::uint32_t earlier) {
        const auto& tasks = job.tasks[earlier];
        return std::all_of(
            tasks.begin(), tasks.end(), [](const Task& task) { return task.state == TaskState::Done; });
    });
}

bool JobDispatcher::waitsForEndedJob(const Job& job) const { return m_runsOfEndedJobs.contains(job.spec.name); }

TaskNeeds JobDispatcher::freeAt(const Link& link)
{
    TaskNeeds free = link.state.capacity;
    addNeeds(free, link.state.used, -1);
    for (const auto& each : link.sent)
        addNeeds(free, each.needs, -1);
    return free;
}

std::vector<PlacementCandidate> JobDispatcher::candidates(const std::string& service, Milliseconds now)
{
    std::vector<PlacementCandidate> all;
    const MinionHealth& health = healthOf(service);
    for (const auto& [name, link] : m_links) {
        if (!acceptsRuns(link, service))
            continue;
        PlacementCandidate candidate { .sidecar = name,
            .dataCentre = link.state.dataCentre,
            .rack = link.state.rack,
            .labels = &link.state.labels,
            .capacity = link.state.capacity,
            .free = freeAt(link),
            .allowance = health.allowance(healthId(name), now),
            .slowness = slownessOf(service, name, now) };
        candidate.free.cpuMillis += link.state.capacity.cpuMillis * m_options.prefetchPercent / percent
            / static_cast<std::int64_t>(m_options.entries);
        candidate.jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
        if (candidate.allowance)
            *candidate.allowance -= static_cast<std::int64_t>(link.outstanding.size());
        all.push_back(std::move(candidate));
    }
    return all;
}

bool JobDispatcher::canMeetObjective(const Job& job, Milliseconds now) const
{
    const Milliseconds needed = Milliseconds { job.longestRun.count * m_options.onTimeRunPercent / percent } + m_options.onTimeMargin;
    return job.hasBegun() || now + needed <= job.objectiveAt;
}

void JobDispatcher::placeConfirmed(Milliseconds now, Milliseconds callersHeardUntil)
{
    const bool isReadSince = m_newsOldSince && callersHeardUntil >= *m_newsOldSince;
    const bool isNewsOld = now > callersHeardUntil + m_options.maxCallerNewsAge && !isReadSince;
    if (!isNewsOld)
        place(now);
    m_awaitsCallerNews = std::any_of(m_queue.begin(), m_queue.end(),
        [this, isNewsOld](const auto& item) { return isNewsOld || !isCallerConfirmed(m_jobs.at(item.second)); });
    m_newsOldSince = m_awaitsCallerNews && isNewsOld ? std::optional(m_newsOldSince.value_or(now)) : std::optional<Milliseconds> {};
}

void JobDispatcher::place(Milliseconds now)
{
    std::map<std::string, std::vector<PlacementCandidate>> byService;
    std::set<std::string> full;
    std::vector<std::pair<Milliseconds, std::uint64_t>> placed;
    for (const bool prompt : { true, false }) {
        for (const auto& [effectiveDeadline, id] : m_queue) {
            Job& job = m_jobs.at(id);
            const std::string& service = job.spec.queue.service;
            if (job.waiting == 0 || canMeetObjective(job, now) != prompt || full.contains(service) || waitsForEndedJob(job)
                || !isCallerConfirmed(job) || isHeld(job, now) || !job.grants->isHeld)
                continue;
            if (!byService.contains(service))
                byService[service] = candidates(service, now);
            if (!placeJob(id, job, byService[service], now))
                full.insert(service);
            if (job.waiting == 0)
                placed.emplace_back(effectiveDeadline, id);
        }
    }
    for (const auto& entry : placed)
        m_queue.erase(entry);
    for (const auto& service : full)
        requestStateUpdates(service);
}

void JobDispatcher::requestStateUpdates(const std::string& service)
{
    std::size_t waiting = 0;
    std::int64_t least = 0;
    for (const auto& [effectiveDeadline, id] : m_queue) {
        const Job& job = m_jobs.at(id);
        if (job.spec.queue.service != service || waitsForEndedJob(job) || isHeld(job, m_lastCallAt) || !job.grants->isHeld)
            continue;
        waiting += job.waiting;
        for (const auto& step : job.spec.steps)
            least = least == 0 ? step.needs.cpuMillis : std::min(least, step.needs.cpuMillis);
    }
    std::vector<Link*> others;
    std::size_t asked = 0;
    for (auto& [name, link] : m_links) {
        if (!acceptsRuns(link, service))
            continue;
        if (link.wantedCpuMillis > 0)
            ++asked;
        else
            others.push_back(&link);
    }
    const std::size_t wanted = waiting * m_options.sidecarsAskedPerTask;
    std::shuffle(others.begin(), others.end(), m_random);
    for (Link* link : others) {
        if (asked++ >= wanted)
            return;
        link->wantedCpuMillis = std::max<std::int64_t>(least, 1);
        link->next.wantedCpuMillis = link->wantedCpuMillis;
        link->hasNext = true;
    }
}

bool JobDispatcher::exceedsReserve(const std::vector<PlacementCandidate>& candidates) const
{
    std::int64_t free = 0;
    std::int64_t room = 0;
    for (const auto& candidate : candidates) {
        free += std::max<std::int64_t>(candidate.free.cpuMillis, 0);
        room += candidate.capacity.cpuMillis;
    }
    return free > room * m_options.reservePercent / percent;
}

PlacementRequest JobDispatcher::placementRequest(const Job& job, const DispatchStep& step, Milliseconds now) const
{
    PlacementRequest request { .needs = step.needs,
        .dataCentre = m_options.dataCentre,
        .preferredRack = step.preferredRack,
        .requiredLabel = step.requiredLabel,
        .maxPerMinion = step.maxPerMinion,
        .avoid = {},
        .jitterWeight = m_options.jitterWeight };
    if (m_options.placesBySpeed) {
        request.runTime = expectedRun(job.spec.queue, step.needs);
        request.endWithin = std::max(job.objectiveAt - m_options.onTimeMargin - now, Milliseconds {});
    }
    return request;
}

bool JobDispatcher::placeJob(
    std::uint64_t id, Job& job, std::vector<PlacementCandidate>& candidates, Milliseconds now)
{
    for (auto& candidate : candidates)
        candidate.chosenThisRound = 0;
    weighRivals(job.spec.queue, candidates);
    const bool mayUseReserve = job.spec.queue.priority == 0 || job.hasBegun() || m_options.reservePercent == 0;
    if (!mayUseReserve && !exceedsReserve(candidates))
        return false;
    for (std::uint32_t step = 0; step < job.tasks.size(); ++step) {
        const DispatchStep& spec = job.spec.steps[step];
        if (!isStepOpen(job, spec))
            continue;
        PlacementRequest request = placementRequest(job, spec, now);
        for (auto& candidate : candidates) {
            candidate.runsOfStep = std::count_if(job.tasks[step].begin(), job.tasks[step].end(),
                [&candidate](const Task& task) {
                    return task.state == TaskState::AtSidecar && task.sidecar == candidate.sidecar;
                });
        }
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
            Task& task = job.tasks[step][index];
            if (task.state != TaskState::Waiting)
                continue;
            request.avoid = task.failedAt;
            // One minion refuses the earlier of two starts of a task. Of two minions neither knows of the other's.
            const auto unsettledAt = sidecarsWithUnsettled(job, step, index, now);
            if (unsettledAt.size() > 1)
                continue;
            request.requiredSidecar = unsettledAt.empty() ? std::string() : unsettledAt.front();
            const auto chosen = chooseMinion(candidates, request);
            if (!chosen && !unsettledAt.empty())
                continue;
            if (!chosen) {
                // A step with placement constraints does not show that the minions are full for other steps.
                if (spec.requiredLabel.empty() && spec.maxPerMinion == 0)
                    return false;
                break;
            }
            PlacementCandidate& candidate = candidates[*chosen];
            addNeeds(candidate.free, spec.needs, -1);
            ++candidate.chosenThisRound;
            ++candidate.runsOfStep;
            if (candidate.allowance)
                --*candidate.allowance;
            send(id, job, step, index, candidate.sidecar, now);
        }
    }
    return true;
}

void JobDispatcher::send(std::uint64_t id, Job& job, std::uint32_t step, std::uint32_t index,
    const std::string& sidecar, Milliseconds now)
{
    Task& task = job.tasks[step][index];
    const DispatchStep& spec = job.spec.steps[step];
    Link& link = m_links.at(sidecar);
    task.state = TaskState::AtSidecar;
    task.sidecar = sidecar;
    ++task.run;
    if (job.runs++ == 0)
        job.firstSentAt = now;
    job.sidecars.insert(sidecar);
    --job.waiting;
    ++job.atSidecars;
    m_meanCpu += (spec.needs.cpuMillis - m_meanCpu) / meanCpuShare;
    auto& orders = link.next.requests;
    const auto same = std::find_if(orders.begin(), orders.end(),
        [id, step](const RunRequest& order) { return order.submission == id && order.step == step; });
    if (same != orders.end()) {
        same->tasks.push_back({ .index = index, .run = task.run });
    } else {
        TaskNeeds needs = spec.needs;
        needs.runTime = { static_cast<std::int64_t>(
            static_cast<double>(expectedRun(job.spec.queue, spec.needs).count) * slownessOf(job.spec.queue.service, sidecar, now)) };
        orders.push_back({ .job = job.spec.name,
            .submission = id,
            .step = step,
            .tasks = { { .index = index, .run = task.run } },
            .payload = job.spec.payload,
            .needs = needs,
            .rank = canMeetObjective(job, now) ? job.effectiveDeadline - now : job.idleCutoff - now,
            // The sidecar's clock read `clock` at or shortly before lastReceivedAt.
            .endBy = link.clock + (job.spec.deadline - link.lastReceivedAt),
            .mayWait = m_options.prefetchPercent > 0,
            .queue = m_options.separatesInterference ? nameDigest(job.spec.queue.name) : 0 });
    }
    link.hasNext = true;
    link.sent.push_back({ .frame = link.framesSent + 1, .needs = spec.needs });
    link.outstanding[{ job.spec.name, step, index, task.run, id }] = { .job = id, .step = step, .index = index };
}

void JobDispatcher::detectPause(Milliseconds now)
{
    const bool wasPaused = m_lastCallAt.count > 0 && now > m_lastCallAt + m_options.pauseThreshold;
    m_lastCallAt = now;
    if (!wasPaused)
        return;
    std::vector<std::uint64_t> held;
    for (const auto& [id, job] : m_jobs)
        held.push_back(id);
    for (const auto id : held)
        giveUp(id, "this entry was paused", "this entry was paused", now);
}

void JobDispatcher::recall(std::uint64_t id, Job& job)
{
    job.recalled = true;
    forEachRunAtSidecar(id, job, [](const RunName& name, Link& link) {
        link.next.recalls.push_back(name);
        link.hasNext = true;
    });
}

void JobDispatcher::checkJobs(Milliseconds now)
{
    std::vector<std::uint64_t> over;
    std::vector<std::uint64_t> withoutGrants;
    for (auto& [id, job] : m_jobs) {
        const bool tooLate = !job.mayHaveRun && now + job.longestRun > cutoff(job);
        if (job.grants->lostSince && job.atSidecars == 0 && !m_runsOfEndedJobs.contains(job.spec.name))
            m_grants.startOver(job.spec.name);
        const auto withoutGrantsSince = job.atSidecars > 0 ? job.grants->lostSince : std::nullopt;
        if (withoutGrantsSince && (job.grants->isTaken || now >= *withoutGrantsSince + m_options.maxTimeWithoutGrants))
            withoutGrants.push_back(id);
        else if (job.spec.deadline <= now || (tooLate && job.atSidecars == 0))
            over.push_back(id);
        else if (tooLate && !job.recalled)
            recall(id, job);
    }
    for (const auto id : withoutGrants) {
        m_grants.givenUp(m_jobs.at(id).spec.name, now);
        giveUp(id, "its registrars are not heard", "its registrars are not heard", now);
    }
    for (const auto id : over) {
        const bool isStopping = m_finishBy && m_jobs.at(id).spec.deadline == *m_finishBy;
        giveUp(id, isStopping ? "this entry is stopping" : "the time of the job is over",
            isStopping ? "this entry is stopping, and the job can't be done before" : "it can no longer be done in time", now);
    }
}

Milliseconds JobDispatcher::streamTimeout(const Link& link) const
{
    return link.outstanding.empty() ? m_options.idleStreamTimeout : m_options.busyStreamTimeout;
}

void JobDispatcher::checkLinks(Milliseconds now)
{
    for (auto& [name, link] : m_links) {
        if (!link.outstanding.empty() && now > link.lastReceivedAt + m_options.lostAfter)
            endLostRuns(name, link, now);
        if (link.connected && now > link.lastActiveAt + streamTimeout(link))
            m_actions.reconnect.push_back(name);
    }
}

bool JobDispatcher::isBusy(const Link& link, const std::string& sidecar) const { return !link.outstanding.empty() || m_grants.holdsAnyAt(sidecar); }

bool JobDispatcher::needsEcho(const Link& link, const std::string& sidecar, Milliseconds clock, Milliseconds now) const
{
    return link.handshakeDone && now >= link.sentAt + m_options.minEchoInterval
        && ((isBusy(link, sidecar) && clock > link.lastEcho) || link.endsAcknowledged < link.endsSeen || m_grants.hasRequests(sidecar, false));
}

void JobDispatcher::releaseClocks(Milliseconds callersHeardUntil)
{
    for (auto& [name, link] : m_links) {
        if (link.echoableClock.count == 0 && !link.laterClocks.empty())
            m_acceptingCpuMillis.clear();
        std::erase_if(link.laterClocks, [&link = link, callersHeardUntil](const ClockReading& each) {
            if (each.receivedAt > callersHeardUntil)
                return false;
            link.echoableClock = each.clock;
            return true;
        });
    }
}

void JobDispatcher::flush(Milliseconds now)
{
    for (auto& [name, link] : m_links) {
        if (!link.connected)
            continue;
        if (!link.hasNext && !m_grants.hasRequests(name, true) && !needsEcho(link, name, link.echoableClock, now))
            continue;
        auto requests = m_grants.takeRequests(name);
        link.next.grants.insert(link.next.grants.end(), std::make_move_iterator(requests.begin()), std::make_move_iterator(requests.end()));
        link.next.echo = link.echoableClock;
        link.next.endsSeen = link.endsSeen;
        m_actions.frames.push_back({ .sidecar = name, .frame = std::exchange(link.next, {}) });
        link.hasNext = false;
        link.lastEcho = link.echoableClock;
        link.endsAcknowledged = link.endsSeen;
        link.sentAt = now;
        ++link.framesSent;
        if (!link.unseen)
            link.unseen = { .number = link.framesSent, .at = now };
    }
}

DispatchActions JobDispatcher::act(
    Milliseconds now, bool allFramesRead, std::optional<Milliseconds> callersHeardUntil, std::optional<std::uint64_t> lastConfirmed)
{
    detectPause(now);
    m_lastConfirmed = lastConfirmed;
    releaseClocks(callersHeardUntil.value_or(now));
    if (allFramesRead)
        checkLinks(now);
    updateHold(now, allFramesRead);
    m_grants.act(now, hasStartedWithSidecars(now));
    checkJobs(now);
    placeConfirmed(now, callersHeardUntil.value_or(now));
    flush(now);
    m_actions.grantReports = m_grants.takeReports(now);
    reportRivalries();
    return std::exchange(m_actions, {});
}

std::optional<Milliseconds> JobDispatcher::nextDue() const
{
    std::optional<Milliseconds> due;
    const auto at = [&due](Milliseconds time) { due = due ? std::min(*due, time) : time; };
    if (!m_jobs.empty())
        at(m_lastCallAt + m_options.pauseCheckPeriod);
    if (m_isHolding)
        at(m_holdUntil);
    if (const auto grants = m_grants.nextDue())
        at(std::max(*grants, m_lastCallAt + Milliseconds { 1 }));
    if (m_awaitsCallerNews)
        at(m_lastCallAt);
    for (const auto& [id, job] : m_jobs) {
        at(job.spec.deadline);
        if (const auto withoutGrantsSince = job.atSidecars > 0 ? job.grants->lostSince : std::nullopt)
            at(*withoutGrantsSince + m_options.maxTimeWithoutGrants);
        if (!job.mayHaveRun && !job.recalled)
            at(std::max(cutoff(job) - job.longestRun, m_lastCallAt) + Milliseconds { 1 });
    }
    for (const auto& [name, link] : m_links) {
        if (!link.outstanding.empty())
            at(link.lastReceivedAt + m_options.lostAfter + Milliseconds { 1 });
        if (link.connected)
            at(link.lastActiveAt + streamTimeout(link) + Milliseconds { 1 });
        if (link.connected && link.handshakeDone && (link.endsAcknowledged < link.endsSeen || m_grants.hasRequests(name, false)))
            at(link.sentAt + m_options.minEchoInterval);
        if (link.connected && link.handshakeDone && isBusy(link, name) && !link.laterClocks.empty())
            at(std::max(link.sentAt + m_options.minEchoInterval, m_lastCallAt + Milliseconds { 1 }));
    }
    return due;
}

PlacementExplanation JobDispatcher::explain(const DispatchJob& spec, Milliseconds now)
{
    static const GrantStatus granted { .isHeld = true };
    Job job = makeJob(spec, 0, now);
    job.grants = &granted;
    const std::string& service = spec.queue.service;
    PlacementExplanation explanation { .queue = spec.queue.name,
        .service = service,
        .refusal = refusal(job, now),
        .expectedWait = expectedWait(job, now),
        .expectedRun = job.longestRun,
        .objective = job.objectiveAt - now,
        .cutoff = cutoff(job) - now };
    auto all = candidates(service, now);
    for (auto& candidate : all)
        candidate.jitter = 0;
    weighRivals(spec.queue, all);
    explanation.isHeldByReserve = spec.queue.priority != 0 && m_options.reservePercent > 0 && !exceedsReserve(all);
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        if (spec.steps[step].after.empty())
            explanation.steps.push_back(explainStep(job, step, all, now));
    }
    return explanation;
}

ExplainedStep JobDispatcher::explainStep(const Job& job, std::uint32_t step, std::vector<PlacementCandidate>& candidates, Milliseconds now) const
{
    const DispatchStep& spec = job.spec.steps[step];
    const PlacementRequest request = placementRequest(job, spec, now);
    ExplainedStep explained { .step = step, .expectedRun = expectedRun(job.spec.queue, spec.needs) };
    for (const auto& candidate : candidates) {
        const PlacementExclusion exclusion = exclusionOf(candidate, request);
        explained.minions.push_back({ .sidecar = candidate.sidecar,
            .dataCentre = candidate.dataCentre,
            .rack = candidate.rack,
            .free = candidate.free,
            .slowness = candidate.slowness,
            .hasRivals = candidate.hasRivals,
            .lateProbability = lateProbability(candidate, request),
            .score = placementScore(candidate, request),
            .excludedBy = exclusion == PlacementExclusion::None ? std::string() : std::string(placementExclusionName(exclusion)) });
    }
    std::stable_sort(explained.minions.begin(), explained.minions.end(), [](const ExplainedMinion& a, const ExplainedMinion& b) {
        return std::make_pair(!a.excludedBy.empty(), -a.score) < std::make_pair(!b.excludedBy.empty(), -b.score);
    });
    for (const auto& [name, link] : m_links) {
        if (!link.known || link.state.service != job.spec.queue.service || acceptsRuns(link, job.spec.queue.service))
            continue;
        const char* reason = m_dataCentresOut.contains(link.state.dataCentre) ? "its data centre is out"
            : !link.connected || !link.handshakeDone                          ? "not connected"
                                                                              : "accepts no tasks";
        explained.minions.push_back({ .sidecar = name, .dataCentre = link.state.dataCentre, .rack = link.state.rack, .excludedBy = reason });
    }
    for (std::uint32_t task = 0; task < spec.count; ++task) {
        const auto chosen = chooseMinion(candidates, request);
        explained.placements.push_back(chosen ? candidates[*chosen].sidecar : std::string());
        if (!chosen)
            continue;
        PlacementCandidate& candidate = candidates[*chosen];
        addNeeds(candidate.free, spec.needs, -1);
        ++candidate.chosenThisRound;
        ++candidate.runsOfStep;
        if (candidate.allowance)
            --*candidate.allowance;
    }
    return explained;
}

std::size_t JobDispatcher::pending(const std::string& queue) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&queue](const auto& item) {
        return item.second.spec.queue.name == queue && !item.second.hasBegun();
    }));
}

std::size_t JobDispatcher::runsAt(const std::string& sidecar) const
{
    const auto found = m_links.find(sidecar);
    return found == m_links.end() ? 0 : found->second.outstanding.size();
}

} // namespace oleanderport
