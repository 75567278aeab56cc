#include "policy/SidecarLedger.h"

#include "policy/TaskRoom.h"

#include <fmt/format.h>

#include <algorithm>

namespace oleanderport {

SidecarLedger::SidecarLedger(const SidecarLedgerOptions& options)
    : m_options(options)
{
}

TaskResult SidecarLedger::notStarted(const TaskAssignment& assignment, const std::string& reason)
{
    return TaskResult { .key = assignment.key,
        .task = assignment.task,
        .attempt = assignment.attempt,
        .epoch = assignment.epoch,
        .outcome = TaskOutcome::NotStarted,
        .body = reason };
}

std::optional<TaskResult> SidecarLedger::accept(
    const SessionId& entry, const TaskAssignment& assignment, std::int64_t teamWeight)
{
    JobRecord& job = m_jobs[assignment.key];
    if (assignment.epoch < job.epoch)
        return notStarted(assignment, "another entry has taken the job over");
    job.epoch = assignment.epoch;
    job.owner = entry;
    extendRetention(assignment.key, job, assignment.startByUnix + m_options.retention);
    if (job.cancelled)
        return notStarted(assignment, "the job is cancelled");
    const auto [position, isNew] = job.tasks.try_emplace(assignment.task);
    Record& record = position->second;
    if (!isNew) {
        const bool mayRestart = record.state == State::Ended
            && (record.result.outcome == TaskOutcome::NotStarted || assignment.idempotent);
        if (!mayRestart || assignment.attempt <= record.assignment.attempt)
            return std::nullopt;
    }
    const bool mayHaveStarted = !isNew && (record.mayHaveStarted || record.result.outcome != TaskOutcome::NotStarted);
    record = Record { .state = State::Queued, .assignment = assignment, .result = {}, .teamWeight = teamWeight, .mayHaveStarted = mayHaveStarted };
    m_queue.push(assignment.team, teamWeight, { .key = assignment.key, .task = assignment.task });
    return std::nullopt;
}

SidecarLedger::NextStart SidecarLedger::startNext(Milliseconds now, Milliseconds leaseEnd, Milliseconds unixNow)
{
    NextStart decision;
    while (freeSlots() > 0 && now < leaseEnd) {
        const auto next = m_queue.pop();
        if (!next)
            break;
        Record& record = m_jobs.at(next->key).tasks.at(next->task);
        if (unixNow >= record.assignment.startByUnix) {
            record.state = State::Ended;
            record.result = notStarted(record.assignment, "deadline passed");
            decision.refused.push_back(record.result);
            continue;
        }
        if (!fits(record.assignment.needs)) {
            // It returns to the front of its job and nothing else starts now, so that small tasks that arrive later can't starve it.
            m_queue.pushFront(record.assignment.team, record.teamWeight, *next);
            break;
        }
        record.state = State::Running;
        ++m_running;
        addNeeds(m_used, record.assignment.needs, 1);
        record.run = fmt::format("{}run-{}", m_options.runPrefix, ++m_lastRun);
        m_runs[record.run] = *next;
        decision.start = TaskStart { .run = record.run, .assignment = record.assignment };
        break;
    }
    return decision;
}

bool SidecarLedger::fits(const TaskNeeds& needs) const
{
    const auto within = [](std::int64_t used, std::int64_t more, std::int64_t limit) {
        return limit <= 0 || used + more <= limit;
    };
    // A task that needs more than the minion has runs alone; admission refuses it where the minion's size is known.
    return m_running == 0
        || (within(m_used.cpuMillis, needs.cpuMillis, m_options.capacity.cpuMillis)
            && within(m_used.memoryMb, needs.memoryMb, m_options.capacity.memoryMb)
            && within(m_used.accelerators, needs.accelerators, m_options.capacity.accelerators));
}

std::optional<TaskResult> SidecarLedger::recordEnd(
    const std::string& run, TaskOutcome outcome, const std::string& body, Milliseconds ranFor)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return std::nullopt;
    const QueuedTask task = found->second;
    m_runs.erase(found);
    --m_running;
    JobRecord& job = m_jobs.at(task.key);
    Record& record = job.tasks.at(task.task);
    addNeeds(m_used, record.assignment.needs, -1);
    if (outcome == TaskOutcome::NotStarted && record.mayHaveStarted)
        outcome = TaskOutcome::Unknown;
    record.run.clear();
    record.state = State::Ended;
    record.result = TaskResult { .key = task.key,
        .task = task.task,
        .attempt = record.assignment.attempt,
        .epoch = job.epoch,
        .outcome = outcome,
        .body = body,
        .ranFor = ranFor };
    record.assignment.payload.clear();
    return record.result;
}

Result<CollectResponse> SidecarLedger::collect(const CollectRequest& request)
{
    JobRecord& job = m_jobs[request.key];
    if (request.epoch < job.epoch) {
        return Error { .code = ErrorCode::StaleEpoch,
            .ran = Ran::Unknown,
            .step = "sidecar.collect",
            .peer = request.owner.instance,
            .message = fmt::format("epoch {} is below the current epoch {}", request.epoch, job.epoch) };
    }
    job.epoch = request.epoch;
    job.owner = request.owner;
    extendRetention(request.key, job, request.deadlineUnix + m_options.retention);
    CollectResponse response;
    for (auto& [index, record] : job.tasks) {
        if (record.state == State::Queued) {
            record.state = State::Ended;
            record.result = notStarted(record.assignment, "dropped because another entry owns the job now");
        }
        TaskResult result = record.result;
        if (record.state == State::Running) {
            result = notStarted(record.assignment, {});
            result.outcome = TaskOutcome::Running;
        }
        if (result.outcome == TaskOutcome::NotStarted && record.mayHaveStarted)
            result.outcome = TaskOutcome::Unknown;
        result.epoch = request.epoch;
        response.tasks.push_back(result);
    }
    if (!job.tasks.empty())
        m_queue.removeJob(job.tasks.begin()->second.assignment.team, request.key);
    return response;
}

SidecarLedger::Cancelled SidecarLedger::cancel(const CancelRequest& request)
{
    Cancelled cancelled;
    const auto found = m_jobs.find(request.key);
    if (found == m_jobs.end() || request.epoch < found->second.epoch)
        return cancelled;
    JobRecord& job = found->second;
    job.cancelled = true;
    for (auto& [index, record] : job.tasks) {
        if (record.state == State::Running)
            cancelled.stop.push_back(record.run);
        if (record.state != State::Queued)
            continue;
        record.state = State::Ended;
        record.result = notStarted(record.assignment, "the job is cancelled");
    }
    if (!job.tasks.empty())
        m_queue.removeJob(job.tasks.begin()->second.assignment.team, request.key);
    return cancelled;
}

std::optional<TaskNeeds> SidecarLedger::needsOf(const std::string& run) const
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return std::nullopt;
    return m_jobs.at(found->second.key).tasks.at(found->second.task).assignment.needs;
}

std::vector<TaskResult> SidecarLedger::returnQueued()
{
    std::vector<TaskResult> returned;
    while (const auto next = m_queue.pop()) {
        Record& record = m_jobs.at(next->key).tasks.at(next->task);
        record.state = State::Ended;
        record.result = notStarted(record.assignment, "returned by the sidecar");
        record.result.byPlan = true;
        returned.push_back(record.result);
    }
    return returned;
}

std::vector<TaskResult> SidecarLedger::endRunningAsUnknown()
{
    std::vector<std::string> runs;
    for (const auto& [run, task] : m_runs)
        runs.push_back(run);
    std::vector<TaskResult> ended;
    for (const auto& run : runs) {
        if (const auto result = recordEnd(run, TaskOutcome::Unknown, "the minion is lost", {}))
            ended.push_back(*result);
    }
    return ended;
}

std::optional<SessionId> SidecarLedger::ownerOf(const JobKey& key) const
{
    const auto job = m_jobs.find(key);
    if (job == m_jobs.end())
        return std::nullopt;
    return job->second.owner;
}

void SidecarLedger::extendRetention(const JobKey& key, JobRecord& job, Milliseconds unixTime)
{
    if (unixTime <= job.expiresAtUnix)
        return;
    m_expiries.erase({ .at = job.expiresAtUnix, .key = key });
    job.expiresAtUnix = unixTime;
    m_expiries.insert({ .at = unixTime, .key = key });
}

void SidecarLedger::removeExpired(Milliseconds unixNow)
{
    while (!m_expiries.empty() && unixNow > m_expiries.begin()->at) {
        const Expiry due = *m_expiries.begin();
        m_expiries.erase(m_expiries.begin());
        const JobRecord& job = m_jobs.at(due.key);
        const bool allEnded = std::all_of(job.tasks.begin(), job.tasks.end(),
            [](const auto& task) { return task.second.state == State::Ended; });
        if (allEnded)
            m_jobs.erase(due.key);
        else
            extendRetention(due.key, m_jobs.at(due.key), unixNow + m_options.retention);
    }
}

std::int64_t SidecarLedger::freeSlots() const { return std::max<std::int64_t>(m_options.slots - m_running, 0); }

} // namespace oleanderport
