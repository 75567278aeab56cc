#include "policy/RunTable.h"

#include "policy/Backoff.h"
#include "policy/TaskRoom.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace oleanderport {

namespace {

    // A minion's clock shows at least this share of the time that has passed.
    constexpr std::int64_t slowClockPercent = 98;
    // Covers the rounding to whole milliseconds on both sides.
    constexpr Milliseconds leaseRoundingMargin { 20 };
    // How long the numbers of earlier runs are kept.
    constexpr Milliseconds lastRunRetention { 30'000 };
    static_assert(lastRunRetention > maxStartDelay);
    constexpr std::size_t pruneLastRunsAbove = 4'096;
    // Entries are told of an unsettled task for this much longer, so that further unanswered calls for it need no frames.
    constexpr Milliseconds unsettledMargin { 1'000 };
    // Added to the number of a run that the minion rejected as superseded.
    constexpr std::uint64_t supersedeStep = 1'000;
    constexpr int wholePercent = 100;

    // Longest real duration of a lease measured by a minion's clock.
    Milliseconds leaseWithDrift(Milliseconds lease)
    {
        return Milliseconds { lease.count * wholePercent / slowClockPercent } + leaseRoundingMargin;
    }

} // namespace

Milliseconds maxAbandonedRunTime(const RunTableOptions& options)
{
    const Milliseconds drift = leaseWithDrift(options.minionLease) - options.minionLease;
    return options.abandonedRunLimit + drift + options.minionStopTime;
}

RunTable::RunTable(RunTableOptions options, Milliseconds now)
    : m_options(std::move(options))
    , m_startedAt(now)
    , m_grants({ .entryLateAfter = m_options.entryLateAfter }, now)
{
}

void RunTable::opened(const EntryFrame& frame, Milliseconds now)
{
    // An instance that has started again has lost what it held before, also where the end of its former stream has not arrived.
    for (auto& [name, former] : m_entries) {
        if (name != frame.entry && instanceOf(name) == instanceOf(frame.entry))
            closed(name);
    }
    Entry& entry = m_entries[frame.entry];
    // An entry removed from this table still remembers the numbers of earlier ends and would drop a lower one as old.
    entry.lastEnd = std::max(entry.lastEnd, frame.endsSeen);
    entry.connected = true;
    entry.handshakeSent = false;
    entry.hasWholeState = false;
    entry.stateGap = frame.stateGap;
    entry.framesSeen = 1;
    entry.sentEnd = 0;
    entry.sentUnsettled = 0;
    entry.stateChanged = true;
    entry.wantedCpuMillis = 0;
    entry.isOffered = false;
    // The previous stream may have been dead for long; the echoes on this one will prove that the entry is alive.
    const std::vector<RunName>& known = frame.outstanding;
    for (auto& [key, run] : m_runs) {
        const bool isOwnedByEntry = key.first == frame.entry;
        if (isOwnedByEntry && std::find(known.begin(), known.end(), key.second) == known.end()) {
            noteCause(run, StopCause::EntryForgot);
            run.isGivenUp = true;
            stop(run, RunEndKind::Stopped, entry.echo, now);
        }
    }
    for (const auto& name : known) {
        const bool ended = std::any_of(entry.unseenEnds.begin(), entry.unseenEnds.end(),
            [&name](const RunEnd& each) { return each.run == name; });
        if (!ended && !m_runs.contains({ frame.entry, name }))
            entry.unknownRuns.push_back(name);
    }
    applyStops(frame.entry, frame, entry.echo, now);
    m_grants.opened(frame.entry, frame.grants, now, { .entries = frame.entries, .startedFor = frame.startedFor });
}

// The request was lost with an earlier stream, or went to an earlier incarnation of this sidecar. Runs started by that
// incarnation have ended once the minion was found empty or its lease has expired.
void RunTable::endUnknownRuns(Milliseconds now)
{
    if (m_phase != Phase::Ready && now <= m_startedAt + leaseWithDrift(m_options.longestMinionLease))
        return;
    for (auto& [name, entry] : m_entries) {
        for (const auto& run : entry.unknownRuns) {
            // A start by this sidecar's former incarnation may not have been answered.
            if (now <= m_startedAt + maxStartDelay)
                noteUnansweredStart(run, now);
            entry.unseenEnds.push_back({ .number = ++entry.lastEnd, .run = run, .kind = RunEndKind::Stopped });
        }
        entry.unknownRuns.clear();
    }
}

void RunTable::received(const std::string& name, const EntryFrame& frame, Milliseconds now)
{
    Entry& entry = m_entries[name];
    const Milliseconds heardBefore = entry.echo;
    ++entry.framesSeen;
    if (frame.echo <= now)
        entry.echo = std::max(entry.echo, frame.echo);
    m_grants.heard(name, now);
    for (const auto& request : frame.grants)
        m_grants.take(name, request, now);
    while (!entry.unseenEnds.empty() && entry.unseenEnds.front().number <= frame.endsSeen)
        entry.unseenEnds.pop_front();
    applyStops(name, frame, heardBefore, now);
    if (frame.wantedCpuMillis > 0) {
        if (entry.wantedCpuMillis == 0)
            entry.wantedSince = now;
        entry.wantedCpuMillis = frame.wantedCpuMillis;
    }
    for (const auto& run : frame.recalls) {
        const auto found = m_runs.find({ name, run });
        if (found != m_runs.end() && found->second.state == State::Queued)
            end(RunKey(found->first), RunEndKind::Stopped, now);
    }
    // An offer is used by the first frame with requests, or not at all.
    if (!frame.requests.empty())
        std::erase_if(m_offers, [&name](const Offer& offer) { return offer.entry == name; });
    const bool isFresh = now <= frame.echo + m_options.entryLease;
    for (const auto& request : frame.requests) {
        // Each run holds a copy, whose list of tasks would take more memory than all else.
        RunRequest common = request;
        common.tasks = {};
        for (const auto& task : request.tasks)
            take(name, common, task, isFresh, now);
    }
}

void RunTable::applyStops(const std::string& name, const EntryFrame& frame, Milliseconds heardBefore, Milliseconds now)
{
    for (const auto& run : frame.stops) {
        const auto found = m_runs.find({ name, run });
        if (found == m_runs.end())
            continue;
        if (found->second.state == State::Queued)
            end(RunKey(found->first), RunEndKind::Stopped, now);
        else {
            noteCause(found->second, StopCause::EntryAsked);
            found->second.isGivenUp = true;
            stop(found->second, RunEndKind::Stopped, heardBefore, now);
        }
    }
}

void RunTable::take(const std::string& entry, const RunRequest& request, const RequestedTask& task, bool isFresh, Milliseconds now)
{
    const RunKey key { entry, { request.job, request.step, task.index, task.run, request.submission } };
    if (m_runs.contains(key))
        return;
    Run run;
    run.request = request;
    run.queuedAt = now;
    m_runs.emplace(key, std::move(run));
    Entry& owner = m_entries[entry];
    if (owner.runs++ == 0)
        owner.busySince = now;
    if (!isFresh || !mayStart(now) || request.endBy <= now)
        end(key, RunEndKind::Stopped, now);
    else if (!request.mayWait && !fitsAtOnce(request.needs))
        conclude(key, RunEndKind::NoRoom, now);
    else
        stopOtherSubmissions(key, now);
    markStateChanged();
}

bool RunTable::fitsAtOnce(const TaskNeeds& needs) const
{
    TaskNeeds free = m_report.capacity;
    addNeeds(free, m_used, -1);
    addNeeds(free, queuedNeeds(), -1);
    // The run itself is already counted as queued.
    return free.cpuMillis >= 0 && free.memoryMb >= 0 && free.accelerators >= 0 && fits(needs);
}

void RunTable::offerRoom(Milliseconds now)
{
    std::erase_if(m_offers, [now](const Offer& offer) { return offer.until <= now; });
    std::vector<std::pair<const std::string*, Entry*>> waiting;
    for (auto& [name, entry] : m_entries) {
        if (entry.connected && entry.wantedCpuMillis > 0)
            waiting.emplace_back(&name, &entry);
    }
    if (waiting.empty() || !mayStart(now))
        return;
    std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) { return a.second->wantedSince < b.second->wantedSince; });
    std::int64_t free = m_report.capacity.cpuMillis - m_used.cpuMillis - queuedNeeds().cpuMillis;
    for (const auto& offer : m_offers)
        free -= offer.cpuMillis;
    for (const auto& [name, entry] : waiting) {
        if (entry->wantedCpuMillis > free)
            return;
        free -= entry->wantedCpuMillis;
        m_offers.push_back({ .entry = *name, .cpuMillis = entry->wantedCpuMillis, .until = now + m_options.offerTimeout });
        entry->wantedCpuMillis = 0;
        entry->isOffered = true;
    }
}

// A resubmitted job has been abandoned where it ran before.
void RunTable::stopOtherSubmissions(const RunKey& key, Milliseconds now)
{
    const TaskKey task = taskOf(key.second);
    for (auto& [other, run] : m_runs) {
        if (other != key && taskOf(other.second) == task && run.state != State::Queued) {
            noteCause(run, StopCause::OtherSubmission);
            run.isGivenUp = true;
            stop(run, RunEndKind::Stopped, now, now);
        }
    }
}

void RunTable::closed(const std::string& entry)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end() || !found->second.connected)
        return;
    found->second.connected = false;
    found->second.isLossNews = true;
}

bool hasSameDescription(const MinionReport& a, const MinionReport& b)
{
    return a.service == b.service && a.rack == b.rack && a.labels == b.labels && fitsInto(a.capacity, b.capacity) && fitsInto(b.capacity, a.capacity);
}

ReportStanding RunTable::standingOf(const MinionReport& report, Milliseconds now) const
{
    const bool isPresent = m_phase != Phase::Absent && report.born == m_report.born && report.name == m_report.name
        && report.address == m_report.address;
    if (!isPresent)
        return ReportStanding::OtherIncarnation;
    if (!hasSameDescription(report, m_report) && now < m_reportedAt + m_options.descriptionHold)
        return ReportStanding::Contradicting;
    return report.sequence > m_report.sequence ? ReportStanding::Newer : ReportStanding::Late;
}

bool RunTable::reported(const MinionReport& report, Milliseconds now)
{
    const ReportStanding standing = standingOf(report, now);
    if (standing == ReportStanding::Contradicting)
        return false;
    if (standing == ReportStanding::Late) {
        // A minion that drains does not come back in this incarnation, so this holds whatever was reported since.
        if (report.leaving && !std::exchange(m_report.leaving, true)) {
            endQueued(now);
            markStateChanged();
        }
        return false;
    }
    const bool sameIncarnation = standing == ReportStanding::Newer;
    if (!sameIncarnation) {
        m_incarnationSince = now;
        if (m_phase != Phase::Absent)
            m_leaseMayEndAt = std::max(m_leaseMayEndAt, now + leaseWithDrift(m_options.longestMinionLease));
        stopRunsOfFormerIncarnation(now);
        if (report.name != m_report.name)
            withdrawUnsettled(now);
        m_phase = Phase::Clearing;
        m_endsSeen = 0;
        m_endsForgotten = 0;
        m_openLists = 0;
        m_newestListMadeAt.reset();
        m_listsUnansweredSince.reset();
        m_orphans.clear();
        noteRunsWithoutEntry(true, now);
    }
    const bool changed = !sameIncarnation || report.leaving != m_report.leaving || !m_reachable;
    const bool sameMinion = sameIncarnation && hasSameDescription(report, m_report);
    m_unansweredSince.reset();
    m_report = report;
    m_reportedAt = now;
    m_reachable = true;
    if (!sameMinion)
        markMinionChanged();
    if (report.leaving)
        endQueued(now);
    if (changed)
        markStateChanged();
    return true;
}

void RunTable::minionLeaves(Milliseconds now)
{
    m_report.leaving = true;
    endQueued(now);
    for (auto& [key, run] : m_runs) {
        noteCause(run, StopCause::MinionLeaves);
        stop(run, RunEndKind::Stopped, now, now);
    }
    markStateChanged();
}

void RunTable::minionGone(Milliseconds now)
{
    endAllLive(EndProof::MinionGone, now);
    endQueued(now);
    m_orphans.clear();
    noteRunsWithoutEntry(true, now);
    m_phase = Phase::Absent;
    m_reachable = false;
    markStateChanged();
}

bool RunTable::mayStart(Milliseconds now) const
{
    return m_phase == Phase::Ready && m_reachable && !isUnresponsive(now) && !m_report.leaving && !m_leaving && m_inService
        && now < m_permittedUntil;
}

void RunTable::recordAnswer(bool answered, Milliseconds now)
{
    if (answered)
        m_unansweredSince.reset();
    else
        m_unansweredSince = m_unansweredSince.value_or(now);
}

bool RunTable::mayStillStart(const RunName& name, Milliseconds now) const
{
    const auto found = m_byMinionName.find(name);
    if (found == m_byMinionName.end() || !mayStart(now))
        return false;
    const Run& run = m_runs.at(found->second);
    return run.state == State::Starting && !isOver(found->second, run, now);
}

bool RunTable::isStale(const Entry& entry, Milliseconds now) const { return now > entry.echo + m_options.entryLease; }

bool RunTable::mayBeLost(const Entry& entry, Milliseconds now) const { return !entry.connected || isLate(entry, now); }

void RunTable::noteLosses(Milliseconds now)
{
    for (auto& [name, entry] : m_entries) {
        const bool fellSilent = isLate(entry, now) && !entry.isLate;
        entry.isLate = isLate(entry, now);
        const bool hasClosed = std::exchange(entry.isLossNews, false);
        if (hasClosed && !entry.connected)
            m_grants.closed(name, now);
        if (!hasClosed && !fellSilent)
            continue;
        m_lossNews = m_urgentNews = ++m_lastUnsettled;
        m_entryLostAt = std::max(m_entryLostAt, hasClosed ? now : entry.echo);
    }
}

void RunTable::noteAbandonedRuns(Milliseconds now)
{
    for (const auto& [name, key] : m_byMinionName) {
        Run& run = m_runs.at(key);
        const bool mayBeLost = this->mayBeLost(m_entries.at(key.first), now);
        const bool isLossNews = mayBeLost && !std::exchange(run.isToldAsLost, true);
        const bool isGivenUpNews = run.isGivenUp && !std::exchange(run.isToldAsGivenUp, true);
        if (mayBeLost || run.isGivenUp)
            noteUnsettled(taskOf(name), runsEndBy());
        else if (std::exchange(run.isToldAsLost, false) && run.state != State::Stopping)
            settle(taskOf(name), now);
        if (isLossNews || isGivenUpNews)
            m_urgentNews = m_lastUnsettled;
    }
    for (const auto& [name, orphan] : m_orphans)
        noteUnsettled(taskOf(name), runsEndBy());
}

Milliseconds RunTable::runsEndBy() const
{
    return std::max(m_leaseMayEndAt, m_startedAt + leaseWithDrift(m_options.longestMinionLease)) + m_options.minionStopTime;
}

Milliseconds RunTable::unknownRunsFor(Milliseconds now) const
{
    return m_isMinionKnown ? Milliseconds {} : std::max(m_startedAt + leaseWithDrift(m_options.longestMinionLease) + m_options.minionStopTime - now, Milliseconds {});
}

void RunTable::startAnswered(const RunName& name, StartAnswer answer, Milliseconds now)
{
    recordAnswer(answer != StartAnswer::Unknown, now);
    // Also when the run is known to have started, or has ended: this request is another one.
    if (answer == StartAnswer::Unknown)
        noteUnansweredStart(name, now);
    const auto found = m_byMinionName.find(name);
    if (found == m_byMinionName.end())
        return;
    const RunKey key = found->second;
    Run& run = m_runs.at(key);
    if (run.state != State::Starting && run.state != State::Stopping)
        return;
    const bool wanted = run.state == State::Starting;
    if (answer == StartAnswer::Started) {
        recordStarted(run);
        if (wanted) {
            run.state = State::Running;
            run.confirmedAt = now;
        }
        return;
    }
    if (answer == StartAnswer::Unknown)
        return startUnanswered(run, now);
    if (run.evidence == StartEvidence::Started)
        return;
    if (run.unansweredStarts > 0) {
        // This request was declined, but an earlier one may still be carried out until a stop is answered.
        if (wanted && (answer == StartAnswer::NoRoom || answer == StartAnswer::Fenced))
            run.resendAt = now + startRetryDelay(answer);
        else {
            noteCause(run, StopCause::StartDeclined);
            stop(run, RunEndKind::Stopped, now, now);
        }
        return;
    }
    run.evidence = StartEvidence::Declined;
    if (!wanted || answer == StartAnswer::Refused || answer == StartAnswer::Unhealthy) {
        noteEnd(key, EndProof::StartDeclined, now);
        return end(key, RunEndKind::Stopped, now);
    }
    addNeeds(m_used, run.request.needs, -1);
    m_byMinionName.erase(found);
    if (answer == StartAnswer::Superseded)
        m_lastRuns[taskOf(name)] = { .run = name.run + supersedeStep, .at = now };
    run.state = State::Queued;
    run.notBefore = now + startRetryDelay(answer);
}

Milliseconds RunTable::startRetryDelay(StartAnswer answer) const
{
    return answer == StartAnswer::Superseded || answer == StartAnswer::Fenced ? Milliseconds {} : m_options.startRetryDelay;
}

// Start requests are idempotent: the minion runs a run once, whichever request arrives first. So an unanswered request is
// resent rather than stopped: a stop and the list that confirms it need two answers, and the task would then start over
// elsewhere.
void RunTable::startUnanswered(Run& run, Milliseconds now)
{
    ++run.unansweredStarts;
    if (run.evidence == StartEvidence::Requested)
        run.evidence = StartEvidence::Unanswered;
    if (run.state == State::Starting)
        run.resendAt = now + resendBackoff(run);
}

void RunTable::noteUnsettled(const TaskKey& task, Milliseconds until)
{
    Unsettled& unsettled = m_unsettled[task];
    if (until <= unsettled.until)
        return;
    unsettled.number = ++m_lastUnsettled;
    if (unsettled.firstNumber == 0)
        unsettled.firstNumber = unsettled.number;
    unsettled.isSettled = false;
    unsettled.until = until + unsettledMargin;
    markStateChanged();
}

void RunTable::noteUnansweredStart(const RunName& run, Milliseconds now)
{
    m_unansweredStartBy = now;
    const Milliseconds until = now + maxStartDelay;
    noteUnsettled(taskOf(run), until);
    m_unsettled[taskOf(run)].startsUntil = until;
}

void RunTable::settle(const TaskKey& task, Milliseconds now)
{
    const auto found = m_unsettled.find(task);
    if (found == m_unsettled.end())
        return;
    Unsettled& unsettled = found->second;
    if (unsettled.startsUntil > now || unsettled.until <= now)
        return;
    unsettled.until = now;
    unsettled.isSettled = true;
    unsettled.number = ++m_lastUnsettled;
    markStateChanged();
}

void RunTable::withdrawUnsettled(Milliseconds now)
{
    for (auto& [task, unsettled] : m_unsettled) {
        unsettled.startsUntil = {};
        settle(task, now);
    }
}

Milliseconds RunTable::resendBackoff(const Run& run) const
{
    const int beyondImmediate = run.unansweredStarts - m_options.immediateResends;
    return beyondImmediate > 0 ? exponentialBackoff(m_options.initialResendBackoff, beyondImmediate - 1, m_options.maxResendBackoff) : Milliseconds {};
}

void RunTable::resendStarts(RunActions& actions, Milliseconds now)
{
    for (const auto& [name, key] : m_byMinionName) {
        Run& run = m_runs.at(key);
        if (run.state != State::Starting || !run.resendAt || now < *run.resendAt || leaseEnd(now) <= now)
            continue;
        // The permission for the first request may have expired since.
        if (mayStart(now))
            requestStart(run, actions, now);
        else {
            noteCause(run, StopCause::NoPermission);
            stop(run, RunEndKind::Stopped, now, now);
        }
    }
}

void RunTable::recordStarted(Run& run) { run.evidence = StartEvidence::Started; }

void RunTable::stopAnswered(const RunName& name, bool answered, Milliseconds now)
{
    recordAnswer(answered, now);
    if (answered)
        m_diagnostics.stopAnswered(name, now);
    else
        noteUnsettled(taskOf(name), m_leaseMayEndAt + m_options.minionStopTime);
    if (const auto orphan = m_orphans.find(name); orphan != m_orphans.end()) {
        orphan->second.stopRequest.hasFailed = !answered;
        orphan->second.isStopAnswered = orphan->second.isStopAnswered || answered;
        return;
    }
    const auto found = m_byMinionName.find(name);
    if (found == m_byMinionName.end())
        return;
    Run& run = m_runs.at(found->second);
    if (run.state != State::Stopping)
        return;
    if (answered)
        run.stopAnsweredAt = now;
    else
        run.stopRequest.hasFailed = true;
}

Milliseconds RunTable::dueAt(const StopRequest& request) const
{
    if (!request.sentAt)
        return {};
    return *request.sentAt + (request.hasFailed ? m_options.failedStopRetryDelay : m_options.stopRetryDelay);
}

void RunTable::listed(const RunList& list, const ListRuns& asked, Milliseconds askedAt, Milliseconds now)
{
    m_openLists = std::max(m_openLists - 1, 0);
    m_listedAt = now;
    recordAnswer(true, now);
    if (list.born != m_report.born) {
        m_diagnostics.otherIncarnationListed({ .listed = list.born, .taken = m_report.born, .runs = list.running.size() });
        // Another incarnation is there, whose report has not arrived yet. Nothing starts until it has, or until the present one
        // answers again. An answer to a request of before may be that of the former incarnation.
        const bool isNews = askedAt > m_incarnationSince;
        if (isNews)
            m_otherSeenBy = std::max(m_otherSeenBy, askedAt);
        if (isNews && std::exchange(m_reachable, false))
            markStateChanged();
        return;
    }
    m_listsUnansweredSince.reset();
    // One that was asked for before another incarnation answered does not show that the present one is back.
    if (askedAt > m_otherSeenBy)
        m_reachable = true;
    m_endsForgotten = std::max(m_endsForgotten, asked.endsSeen);
    for (const auto& ended : list.ended) {
        m_endsSeen = std::max(m_endsSeen, ended.number);
        const auto found = m_byMinionName.find(ended.run);
        if (found == m_byMinionName.end())
            continue;
        const RunKey key = found->second;
        Run& run = m_runs.at(key);
        recordStarted(run);
        const RunEndKind early = run.state == State::Stopping ? run.endAs : RunEndKind::Stopped;
        noteEnd(key, EndProof::ListedEnd, now);
        end(key,
            ended.kind == ListedEndKind::Done         ? RunEndKind::Done
                : ended.kind == ListedEndKind::Failed ? RunEndKind::Failed
                                                      : early,
            now);
    }
    if (!isNewest(list, askedAt))
        return;
    m_newestListAskedAt = askedAt;
    m_newestListMadeAt = list.madeAt;
    m_newestListAt = now;
    takeListedRuns(list, askedAt, now);
    if (m_phase == Phase::Clearing && list.running.empty() && list.isRunningWhole) {
        m_phase = Phase::Ready;
        markStateChanged();
    }
}

bool RunTable::isNewest(const RunList& list, Milliseconds askedAt) const
{
    if (askedAt >= m_newestListAt)
        return true;
    return list.madeAt && m_newestListMadeAt ? *list.madeAt > *m_newestListMadeAt : askedAt >= m_newestListAskedAt;
}

void RunTable::takeListedRuns(const RunList& list, Milliseconds askedAt, Milliseconds now)
{
    std::map<RunName, Orphan> orphans;
    for (const auto& item : list.running) {
        const auto found = m_byMinionName.find(item.run);
        if (found == m_byMinionName.end()) {
            const auto known = m_orphans.find(item.run);
            orphans[item.run] = known == m_orphans.end() ? Orphan {} : known->second;
            continue;
        }
        Run& run = m_runs.at(found->second);
        run.listedAt = now;
        run.percent = item.percent;
        recordStarted(run);
        if (run.state != State::Starting)
            continue;
        run.state = State::Running;
        run.confirmedAt = now;
    }
    const auto former = std::exchange(m_orphans, std::move(orphans));
    if (list.isRunningWhole && !std::exchange(m_isMinionKnown, true))
        markStateChanged();
    for (const auto& [name, orphan] : former) {
        if (list.isRunningWhole && !isAtMinion(taskOf(name)))
            settle(taskOf(name), now);
    }
    noteRunsWithoutEntry(list.isRunningWhole, now);
    endRunsMissingFromList(list.isRunningWhole && list.isEndedWhole, askedAt, now);
}

bool RunTable::hasEndedAtMinion(const Run& run, bool listIsWhole, Milliseconds askedAt) const
{
    if (run.state == State::Running)
        return listIsWhole && run.confirmedAt < askedAt;
    if (run.state != State::Stopping || !run.stopAnsweredAt)
        return false;
    return *run.stopAnsweredAt + (listIsWhole ? Milliseconds {} : m_options.stopSettleTime) < askedAt;
}

void RunTable::endRunsMissingFromList(bool listIsWhole, Milliseconds askedAt, Milliseconds now)
{
    std::vector<RunKey> gone;
    for (const auto& [name, key] : m_byMinionName) {
        const Run& run = m_runs.at(key);
        if (run.listedAt == now || !hasEndedAtMinion(run, listIsWhole, askedAt))
            continue;
        gone.push_back(key);
    }
    for (const auto& key : gone) {
        const Run& run = m_runs.at(key);
        noteEnd(key, run.state == State::Stopping ? EndProof::NotListedAfterStop : EndProof::MissingFromList, now);
        end(key, run.endAs, now);
    }
}

void RunTable::listFailed(Milliseconds now)
{
    m_openLists = std::max(m_openLists - 1, 0);
    m_listedAt = now;
    m_listLostAt = now;
    recordAnswer(false, now);
    if (now <= m_leaseMayEndAt)
        return;
    // All leases at the minion have expired by now, or the minion is gone.
    endAllLive(EndProof::LeasesOver, now);
    if (m_reachable)
        markStateChanged();
    m_reachable = false;
}

void RunTable::end(const RunKey& key, RunEndKind whenStarted, Milliseconds now)
{
    const auto found = m_runs.find(key);
    if (found != m_runs.end())
        conclude(key, provesNotStarted(found->second.evidence) ? RunEndKind::NotStarted : whenStarted, now);
}

void RunTable::recordInterference(const RunKey& key, const Run& run, Milliseconds ranFor, Milliseconds now)
{
    const RunRequest& request = run.request;
    if (request.queue == 0 || request.needs.runTime.count <= 0)
        return;
    std::set<std::uint64_t> neighbours;
    for (const auto& [other, each] : m_runs) {
        if (other != key && each.state != State::Queued && each.request.queue != 0)
            neighbours.insert(each.request.queue);
    }
    m_interference.record(request.queue, request.job, neighbours, static_cast<double>(ranFor.count) / static_cast<double>(request.needs.runTime.count), now);
}

void RunTable::conclude(const RunKey& key, RunEndKind kind, Milliseconds now)
{
    const auto found = m_runs.find(key);
    const Run& run = found->second;
    if (run.unansweredStarts > 0)
        m_settledStarts.push_back({ .run = run.minionName, .evidence = run.evidence });
    const bool atMinion = m_byMinionName.erase(run.minionName) > 0;
    if (atMinion)
        addNeeds(m_used, run.request.needs, -1);
    Milliseconds ranFor = atMinion ? now - run.startedAt : Milliseconds {};
    if (kind == RunEndKind::Stuck)
        ranFor = run.percent > 0 ? projectedRun(run) : Milliseconds {};
    if (kind == RunEndKind::Done && atMinion)
        recordInterference(key, run, ranFor, now);
    Entry& entry = m_entries[key.first];
    entry.unseenEnds.push_back(
        { .number = ++entry.lastEnd, .run = key.second, .kind = kind, .ranFor = ranFor, .evidence = run.evidence });
    --entry.runs;
    m_runs.erase(found);
    if (atMinion && !isAtMinion(taskOf(key.second)))
        settle(taskOf(key.second), now);
    markStateChanged();
}

void RunTable::stop(Run& run, RunEndKind endAs, Milliseconds abandonedAt, Milliseconds now)
{
    if (run.state == State::Stopping) {
        run.abandonedAt = std::min(run.abandonedAt, abandonedAt);
        return;
    }
    if (run.state == State::Queued) {
        // act() ends it as past its deadline.
        run.request.endBy = {};
        return;
    }
    run.state = State::Stopping;
    run.abandonedAt = abandonedAt;
    run.stoppingSince = now;
    run.endAs = endAs;
    run.stopRequest = {};
    run.stopAnsweredAt.reset();
}

// The runs of the previous incarnation ended with it. The new one may have carried out start requests before its report,
// or may do so later.
void RunTable::stopRunsOfFormerIncarnation(Milliseconds now)
{
    for (const auto& [name, key] : m_byMinionName) {
        Run& run = m_runs.at(key);
        // Calls to the previous incarnation are dropped, so a start request in flight stays without an answer.
        if (run.state == State::Starting || run.evidence == StartEvidence::Requested)
            noteUnansweredStart(name, now);
        noteCause(run, StopCause::FormerIncarnation);
        stop(run, RunEndKind::Stopped, now, now);
        run.stopRequest = {};
        run.stopAnsweredAt.reset();
    }
}

void RunTable::endAllLive(EndProof proof, Milliseconds now)
{
    std::vector<RunKey> keys;
    for (const auto& [name, key] : m_byMinionName)
        keys.push_back(key);
    for (const auto& key : keys) {
        noteEnd(key, proof, now);
        end(key, RunEndKind::Stopped, now);
    }
}

void RunTable::endQueued(Milliseconds now)
{
    std::vector<RunKey> keys;
    for (const auto& [key, run] : m_runs) {
        if (run.state == State::Queued)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        end(key, RunEndKind::Stopped, now);
}

bool RunTable::fits(const TaskNeeds& needs) const
{
    TaskNeeds free = m_report.capacity;
    addNeeds(free, m_used, -1);
    return fitsInto(free, needs);
}

bool RunTable::isStuck(const Run& run, Milliseconds now) const
{
    const Milliseconds elapsed = now - run.startedAt;
    const Milliseconds estimate = estimateOf(run, now);
    const Milliseconds limit = std::max(estimate * m_options.stuckFactor, m_options.minStuckTime);
    if (run.state != State::Running || run.request.needs.runTime.count <= 0 || elapsed < estimate)
        return false;
    // A run that has just started may not be listed yet.
    if (run.listedAt <= run.startedAt)
        return elapsed > limit;
    return run.percent < wholePercent && projectedRun(run) > limit && elapsed > m_options.minStuckTime;
}

Milliseconds RunTable::estimateOf(const Run& run, Milliseconds now) const
{
    const auto found = m_unsettled.find(taskOf(run.minionName));
    const bool isBound = found != m_unsettled.end() && found->second.until > now;
    return isBound ? std::max(run.request.needs.runTime, found->second.estimate) : run.request.needs.runTime;
}

// An entry raises its estimate once a task was slow at two minions, which can't show of one that is bound to this minion.
void RunTable::learnFromSlowRun(const Run& run, Milliseconds now)
{
    const auto found = m_unsettled.find(taskOf(run.minionName));
    if (found == m_unsettled.end() || found->second.until <= now || run.percent == 0)
        return;
    Unsettled& unsettled = found->second;
    const Milliseconds projected = projectedRun(run);
    unsettled.estimate = std::max(unsettled.estimate, std::min(unsettled.slowRun, projected));
    unsettled.slowRun = projected;
}

Milliseconds RunTable::projectedRun(const Run& run)
{
    return { (run.listedAt - run.startedAt).count * wholePercent / std::max(run.percent, 1) };
}

void RunTable::checkRun(const RunKey& key, Run& run, Milliseconds now)
{
    if (run.state == State::Queued)
        return;
    if (run.state == State::Stopping) {
        // The entry may be heard again before it says that it has given the run up.
        if (isOver(key, run, now)) {
            run.isGivenUp = true;
            run.abandonedAt = std::min(run.abandonedAt, overSince(key, run, now));
        }
        return;
    }
    if (isOver(key, run, now)) {
        run.isGivenUp = true;
        noteCause(run, run.request.endBy <= now ? StopCause::Deadline : StopCause::EntrySilent);
        stop(run, RunEndKind::Stopped, overSince(key, run, now), now);
    } else if (isStuck(run, now)) {
        learnFromSlowRun(run, now);
        noteCause(run, StopCause::Stuck);
        stop(run, RunEndKind::Stuck, now, now);
    }
}

bool RunTable::isOver(const RunKey& key, const Run& run, Milliseconds now) const
{
    return run.request.endBy <= now || isStale(m_entries.at(key.first), now);
}

Milliseconds RunTable::overSince(const RunKey& key, const Run& run, Milliseconds now) const
{
    const Entry& entry = m_entries.at(key.first);
    return std::min(run.request.endBy, isStale(entry, now) ? entry.echo : now);
}

RunActions RunTable::act(Milliseconds now)
{
    RunActions actions;
    if (std::exchange(m_wasUnresponsive, isUnresponsive(now)) != isUnresponsive(now))
        markStateChanged();
    endUnknownRuns(now);
    std::vector<RunKey> ended;
    for (auto& [key, run] : m_runs) {
        checkRun(key, run, now);
        if (run.state == State::Queued && (isOver(key, run, now) || !mayStart(now)))
            ended.push_back(key);
    }
    for (const auto& key : ended)
        end(key, RunEndKind::Stopped, now);
    noteLosses(now);
    startQueued(actions, now);
    noteAbandonedRuns(now);
    resendStarts(actions, now);
    sendStops(actions, now);
    listRuns(actions, now);
    offerRoom(now);
    m_grants.act(now);
    sendFrames(actions, now);
    actions.settledStarts = std::exchange(m_settledStarts, {});
    actions.diagnostics = m_diagnostics.take();
    actions.freedGrants = m_grants.takeFreed();
    std::erase_if(m_entries, [this, now](const auto& item) {
        const Entry& entry = item.second;
        return !entry.connected && entry.runs == 0 && now > entry.echo + m_options.entryLease * 2;
    });
    std::erase_if(m_unsettled, [now](const auto& item) { return now > item.second.until + unsettledMargin; });
    if (m_lastRuns.size() > pruneLastRunsAbove)
        std::erase_if(m_lastRuns, [now](const auto& item) { return now > item.second.at + lastRunRetention; });
    return actions;
}

void RunTable::startQueued(RunActions& actions, Milliseconds now)
{
    if (!mayStart(now) || queuedRuns() == 0 || leaseEnd(now) <= now)
        return;
    std::vector<std::pair<const RunKey*, Run*>> queue;
    for (auto& [key, run] : m_runs) {
        // The job of a lost entry may be starting through another one.
        if (run.state == State::Queued && run.notBefore <= now && !mayBeLost(m_entries.at(key.first), now))
            queue.emplace_back(&key, &run);
    }
    std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) {
        return a.second->queuedAt + a.second->request.rank < b.second->queuedAt + b.second->request.rank;
    });
    for (const auto& [key, run] : queue) {
        if (!fits(run->request.needs))
            return;
        start(*key, *run, actions, now);
    }
}

void RunTable::start(const RunKey& key, Run& run, RunActions& actions, Milliseconds now)
{
    // A run of the same task from an earlier submission has to end first.
    const TaskKey task = taskOf(key.second);
    LastRun& last = m_lastRuns[task];
    if (isAtMinion(task))
        return;
    run.minionName = key.second;
    run.minionName.submission = 0;
    run.minionName.run = std::max(key.second.run, last.run + 1);
    last = { .run = run.minionName.run, .at = now };
    run.state = State::Starting;
    run.evidence = StartEvidence::Requested;
    run.unansweredStarts = 0;
    run.listedAt = {};
    run.percent = 0;
    addNeeds(m_used, run.request.needs, 1);
    m_byMinionName.emplace(run.minionName, key);
    requestStart(run, actions, now);
    markStateChanged();
}

void RunTable::requestStart(Run& run, RunActions& actions, Milliseconds now)
{
    run.resendAt.reset();
    run.startedAt = now;
    const Milliseconds end = leaseEnd(now);
    recordLeaseGranted(now);
    noteLease(end, now);
    actions.starts.push_back({ .run = run.minionName, .payload = run.request.payload, .leaseEnd = end });
}

bool RunTable::hasUnstoppedOrphan() const
{
    return std::any_of(m_orphans.begin(), m_orphans.end(), [](const auto& item) { return !item.second.isStopAnswered; });
}

bool RunTable::isAtMinion(const TaskKey& task) const
{
    const auto found = m_byMinionName.lower_bound({ .job = task.job, .step = task.step, .index = task.index });
    return (found != m_byMinionName.end() && taskOf(found->first) == task) || hasOrphanOf(task);
}

bool RunTable::hasOrphanOf(const TaskKey& task) const
{
    const auto found = m_orphans.lower_bound({ .job = task.job, .step = task.step, .index = task.index });
    return found != m_orphans.end() && taskOf(found->first) == task;
}

// A lease applies to everything at the minion and can't be shortened, so the run that has to end first limits it for all. When a
// run without an entry was abandoned is not known.
Milliseconds RunTable::leaseEnd(Milliseconds now) const
{
    if (hasUnstoppedOrphan())
        return now;
    Milliseconds end = now + m_options.minionLease;
    for (const auto& [name, key] : m_byMinionName) {
        const Run& run = m_runs.at(key);
        if (run.stopAnsweredAt)
            continue;
        end = std::min(end, m_entries.at(key.first).echo + m_options.abandonedRunLimit);
        if (run.state == State::Stopping)
            end = std::min(end, run.abandonedAt + m_options.abandonedRunLimit);
    }
    return end;
}

// The minion may have started again unnoticed, and by its new clock any end of a lease is too far ahead.
void RunTable::recordLeaseGranted(Milliseconds now) { m_leaseMayEndAt = now + leaseWithDrift(m_options.longestMinionLease); }

void RunTable::noteLease(Milliseconds end, Milliseconds now)
{
    const Milliseconds wholeEnd = now + m_options.minionLease;
    m_diagnostics.leaseGranted(end, wholeEnd, end < wholeEnd ? leaseBound() : std::nullopt, now);
}

std::optional<RunDiagnosticsCollector::Bound> RunTable::leaseBound() const
{
    std::optional<RunDiagnosticsCollector::Bound> bound;
    Milliseconds earliest {};
    for (const auto& [name, key] : m_byMinionName) {
        const Run& run = m_runs.at(key);
        if (run.stopAnsweredAt)
            continue;
        const bool isStopping = run.state == State::Stopping;
        const Milliseconds heardAt = m_entries.at(key.first).echo;
        const Milliseconds since = isStopping ? std::min(heardAt, run.abandonedAt) : heardAt;
        if (bound && (earliest < since || (earliest == since && m_diagnostics.boundBy() != name)))
            continue;
        earliest = since;
        bound = { .run = name,
            .entry = key.first,
            .entryHeardAt = heardAt,
            .cause = run.stopCause,
            .abandonedAt = isStopping ? std::optional(run.abandonedAt) : std::nullopt };
    }
    return bound;
}

void RunTable::noteCause(Run& run, StopCause cause)
{
    if (run.state != State::Stopping && run.state != State::Queued)
        run.stopCause = cause;
}

void RunTable::noteEnd(const RunKey& key, EndProof proof, Milliseconds now)
{
    const Run& run = m_runs.at(key);
    const bool isStopping = run.state == State::Stopping;
    m_diagnostics.concluded({ .run = run.minionName,
                                .entry = key.first,
                                .proof = proof,
                                .cause = run.stopCause,
                                .stoppingFor = isStopping ? std::optional(now - run.stoppingSince) : std::nullopt,
                                .stopAnsweredFor = run.stopAnsweredAt ? std::optional(now - *run.stopAnsweredAt) : std::nullopt,
                                .entrySilentFor = now - m_entries.at(key.first).echo,
                                .isMinionReplaced = run.startedAt < m_incarnationSince },
        now);
}

void RunTable::noteRunsWithoutEntry(bool isWhole, Milliseconds now)
{
    std::set<RunName> names;
    for (const auto& [name, request] : m_orphans)
        names.insert(name);
    m_diagnostics.listedWithoutEntry(names, isWhole, now);
}

void RunTable::sendStops(RunActions& actions, Milliseconds now)
{
    if (m_phase == Phase::Absent)
        return;
    for (const auto& [name, key] : m_byMinionName) {
        Run& run = m_runs.at(key);
        if (run.state != State::Stopping || run.stopAnsweredAt || now < dueAt(run.stopRequest))
            continue;
        run.stopRequest = { .sentAt = now };
        actions.stops.push_back({ .run = name });
    }
    for (auto& [name, orphan] : m_orphans) {
        if (now < dueAt(orphan.stopRequest))
            continue;
        orphan.stopRequest = { .sentAt = now };
        actions.stops.push_back({ .run = name });
    }
}

bool RunTable::mayBeStartedLate(Milliseconds now) const { return m_unansweredStartBy && now <= *m_unansweredStartBy + maxStartDelay; }

bool RunTable::needsList(Milliseconds now) const
{
    return m_phase != Phase::Absent
        && (m_phase == Phase::Clearing || !m_byMinionName.empty() || !m_orphans.empty() || m_endsForgotten < m_endsSeen || mayBeStartedLate(now));
}

bool RunTable::wasListLostRecently(Milliseconds now) const { return m_listLostAt && now <= *m_listLostAt + m_options.listLossPeriod; }

std::optional<Milliseconds> RunTable::nextListAt(Milliseconds now) const
{
    const bool lostRecently = wasListLostRecently(now);
    if (!needsList(now) || m_openLists >= (lostRecently ? m_options.maxOpenListsAfterLoss : 2))
        return std::nullopt;
    if (m_openLists == 0)
        return m_listedAt + m_options.minListInterval;
    return m_listAskedAt + (lostRecently ? m_options.nextListAfterLoss : m_options.secondListAfter);
}

void RunTable::listRuns(RunActions& actions, Milliseconds now)
{
    const auto due = nextListAt(now);
    if (!due || now < *due)
        return;
    ++m_openLists;
    m_listAskedAt = now;
    const Milliseconds unansweredSince = m_listsUnansweredSince.value_or(now);
    m_listsUnansweredSince = unansweredSince;
    const auto stopping = std::count_if(m_byMinionName.begin(), m_byMinionName.end(),
        [this](const auto& item) { return m_runs.at(item.second).state == State::Stopping; });
    ListRuns list { .leaseEnd = std::nullopt, .endsSeen = m_endsSeen, .wait = {} };
    if (stopping < static_cast<std::ptrdiff_t>(m_byMinionName.size())) {
        list.wait = stopping > 0 || wasListLostRecently(now) ? m_options.minListInterval : m_options.listWait;
        const Milliseconds end = leaseEnd(now);
        // A lease is a time on the clock of the incarnation that was taken, which may not be there.
        if (m_reachable)
            noteLease(end, now);
        if (m_reachable && end > now && now < unansweredSince + m_options.renewalsWithoutAnswer) {
            list.leaseEnd = end;
            recordLeaseGranted(now);
        }
    }
    // Held open, since it breaks when the minion goes.
    if (m_byMinionName.empty() && m_orphans.empty() && m_phase == Phase::Ready && mayBeStartedLate(now) && !wasListLostRecently(now))
        list.wait = m_options.listWait;
    actions.list = list;
}

TaskNeeds RunTable::queuedNeeds() const
{
    TaskNeeds sum;
    for (const auto& [key, run] : m_runs) {
        if (run.state == State::Queued)
            addNeeds(sum, run.request.needs, 1);
    }
    return sum;
}

MinionState RunTable::state(Milliseconds now) const
{
    TaskNeeds used = queuedNeeds();
    addNeeds(used, m_used, 1);
    return { .service = m_report.service,
        .dataCentre = m_options.dataCentre,
        .rack = m_report.rack,
        .labels = m_report.labels,
        .capacity = m_report.capacity,
        .used = used,
        .accepting = mayStart(now) };
}

void RunTable::markStateChanged()
{
    for (auto& [name, entry] : m_entries)
        entry.stateChanged = true;
}

void RunTable::markMinionChanged()
{
    for (auto& [name, entry] : m_entries)
        entry.hasWholeState = false;
    markStateChanged();
}

Milliseconds RunTable::heartbeatOf(const std::string& name, const Entry& entry) const
{
    return entry.runs > 0 || m_grants.holdsAny(name) ? m_options.heartbeatInterval : m_options.idleHeartbeatInterval;
}

bool RunTable::frameDue(const std::string& name, const Entry& entry, Milliseconds now) const
{
    if (!entry.connected)
        return false;
    const bool hasEnds = !entry.unseenEnds.empty() && entry.unseenEnds.back().number > entry.sentEnd;
    const bool wantsState = entry.stateChanged && now >= entry.sentAt + entry.stateGap;
    const bool wantsHeartbeat = now >= entry.sentAt + heartbeatOf(name, entry);
    const bool hasUrgentNews = m_urgentNews > entry.sentUnsettled;
    return !entry.handshakeSent || hasEnds || wantsState || wantsHeartbeat || entry.isOffered || hasUrgentNews || m_grants.hasAnswers(name);
}

std::vector<UnsettledTask> RunTable::unsettledAfter(std::uint64_t number, bool isFirstFrame, Milliseconds now) const
{
    std::vector<UnsettledTask> tasks;
    for (const auto& [task, unsettled] : m_unsettled) {
        // An entry may know of it by a former stream.
        const bool mayBeKnown = isFirstFrame || unsettled.firstNumber <= number;
        const bool isNews = unsettled.number > number && (mayBeKnown || !unsettled.isSettled);
        if (isNews)
            tasks.push_back({ .job = task.job, .step = task.step, .index = task.index, .remaining = std::max(unsettled.until - now, Milliseconds {}) });
    }
    return tasks;
}

void RunTable::sendFrames(RunActions& actions, Milliseconds now)
{
    // The same for every entry. Computed once, since it iterates over all runs.
    std::optional<MinionState> current;
    for (auto& [name, entry] : m_entries) {
        if (!frameDue(name, entry, now))
            continue;
        if (!current)
            current = state(now);
        SidecarFrame frame { .sidecar = {}, .clock = now, .framesSeen = entry.framesSeen, .state = current, .ends = {} };
        frame.state->isWhole = !entry.hasWholeState;
        entry.hasWholeState = true;
        if (!entry.handshakeSent) {
            frame.sidecar = m_options.incarnation;
            frame.isRegistrar = true;
        }
        frame.grants = m_grants.takeAnswers(name);
        if (!entry.handshakeSent || entry.sentSlowdowns < m_interference.version())
            frame.slowdowns = m_interference.slowdowns();
        entry.sentSlowdowns = m_interference.version();
        for (const auto& each : entry.unseenEnds) {
            if (each.number > entry.sentEnd)
                frame.ends.push_back(each);
        }
        if (entry.sentUnsettled < m_lastUnsettled)
            frame.unsettledTasks = unsettledAfter(entry.sentUnsettled, !entry.handshakeSent, now);
        if (entry.sentUnsettled < m_lossNews)
            frame.lostEntryRunsFor = std::max(m_entryLostAt + maxLostEntryRunTime - now, Milliseconds {});
        frame.unknownRunsFor = unknownRunsFor(now);
        entry.sentUnsettled = m_lastUnsettled;
        entry.handshakeSent = true;
        entry.sentEnd = entry.lastEnd;
        entry.sentAt = now;
        entry.stateChanged = false;
        entry.isOffered = false;
        actions.frames.push_back({ .entry = name, .frame = std::move(frame) });
    }
}

std::optional<Milliseconds> RunTable::nextDue(Milliseconds now) const
{
    std::optional<Milliseconds> due;
    const auto at = [&due](Milliseconds time) { due = due ? std::min(*due, time) : time; };
    if (m_unansweredSince && !m_wasUnresponsive)
        at(*m_unansweredSince + m_options.unresponsiveAfter);
    if (const auto list = nextListAt(now))
        at(*list);
    for (const auto& [name, entry] : m_entries) {
        if (entry.connected && entry.stateChanged)
            at(entry.sentAt + entry.stateGap);
        if (entry.connected)
            at(entry.sentAt + heartbeatOf(name, entry));
        if (entry.runs > 0)
            at(std::max((isLate(entry, now) ? entry.echo + m_options.entryLease : lateAt(entry)) + Milliseconds { 1 }, now + m_options.minListInterval));
    }
    for (const auto& [key, run] : m_runs) {
        if (run.state == State::Queued && run.notBefore > now)
            at(run.notBefore);
        if (run.state == State::Starting && run.resendAt)
            at(std::max(*run.resendAt, now + m_options.minListInterval));
        if (run.state == State::Stopping && !run.stopAnsweredAt)
            at(dueAt(run.stopRequest));
        else if (run.state != State::Stopping)
            at(std::max(run.request.endBy, now + m_options.minListInterval));
    }
    for (const auto& offer : m_offers)
        at(std::max(offer.until, now + Milliseconds { 1 }));
    for (const auto& [name, orphan] : m_orphans)
        at(std::max(dueAt(orphan.stopRequest), now + m_options.minListInterval));
    const bool hasUnknown = std::any_of(
        m_entries.begin(), m_entries.end(), [](const auto& item) { return !item.second.unknownRuns.empty(); });
    if (hasUnknown)
        at(std::max(m_startedAt + leaseWithDrift(m_options.longestMinionLease), now) + Milliseconds { 1 });
    if (const auto grants = m_grants.nextDue(now))
        at(*grants);
    return due;
}

bool RunTable::isSettled() const
{
    return m_runs.empty()
        && std::all_of(m_entries.begin(), m_entries.end(), [](const auto& item) {
               return !item.second.connected || item.second.unseenEnds.empty();
           });
}

} // namespace oleanderport
