#include "policy/JobTable.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace oleanderport {

namespace {

    Error jobError(ErrorCode code, Ran ran, std::string message)
    {
        return Error { .code = code, .ran = ran, .step = "entry.job", .peer = {}, .message = std::move(message) };
    }

    ErrorCode codeOf(TaskOutcome outcome)
    {
        switch (outcome) {
        case TaskOutcome::Unknown:
            return ErrorCode::SidecarLost;
        case TaskOutcome::NotStarted:
            return ErrorCode::MinionRefused;
        default:
            return ErrorCode::MinionFailed;
        }
    }

} // namespace

JobTable::JobTable(const JobTableOptions& options)
    : m_options(options)
{
}

Match JobTable::match(const JobKey& key, const std::string& digest) const
{
    const auto job = m_jobs.find(key);
    if (job == m_jobs.end())
        return Match::None;
    return job->second.digest == digest ? Match::Same : Match::Conflict;
}

void JobTable::add(const JobSpec& spec, const std::string& digest, std::uint64_t epoch, std::int64_t teamWeight)
{
    adopt(spec, digest, epoch, teamWeight, {});
}

void JobTable::adopt(const JobSpec& spec, const std::string& digest, std::uint64_t epoch, std::int64_t teamWeight,
    const std::vector<SessionId>& sidecars)
{
    const auto [position, isNew] = m_jobs.try_emplace(spec.key);
    if (!isNew)
        return;
    ++m_running;
    Job& job = position->second;
    job.spec = spec;
    job.digest = digest;
    job.epoch = epoch;
    job.weight = teamWeight;
    job.tasks.assign(spec.tasks.size(), Task { .state = TaskState::Undetermined });
    job.open = spec.tasks.size();
    m_deadlines.insert({ .at = spec.deadlineUnix, .key = spec.key });
    job.uncollected.insert(sidecars.begin(), sidecars.end());
    if (job.uncollected.empty())
        finishCollecting(job);
}

JobTable::Job* JobTable::running(const JobKey& key)
{
    const auto job = m_jobs.find(key);
    if (job == m_jobs.end() || job->second.state != JobState::Running)
        return nullptr;
    return &job->second;
}

void JobTable::collected(const JobKey& key, const SessionId& sidecar, const std::vector<TaskResult>& results)
{
    Job* job = running(key);
    if (!job || !job->uncollected.contains(sidecar))
        return;
    for (const auto& answered : results) {
        const auto early = job->early.find({ sidecar, answered.task });
        const TaskResult& result = early == job->early.end() ? answered : early->second;
        if (result.task >= job->tasks.size() || job->tasks[result.task].state != TaskState::Undetermined)
            continue;
        Task& task = job->tasks[result.task];
        task.attempt = std::max(task.attempt, result.attempt);
        if (result.outcome == TaskOutcome::NotStarted)
            continue;
        bindTo(*job, result.task, sidecar);
        if (result.outcome == TaskOutcome::Running)
            continue;
        settle(*job, result.task, result.outcome, result.body);
        if (job->state != JobState::Running)
            return;
    }
    job->uncollected.erase(sidecar);
    if (job->uncollected.empty())
        finishCollecting(*job);
}

void JobTable::collectFailed(const JobKey& key, const SessionId& sidecar)
{
    Job* job = running(key);
    if (!job || job->uncollected.erase(sidecar) == 0)
        return;
    job->uncertain = true;
    if (job->uncollected.empty())
        finishCollecting(*job);
}

void JobTable::finishCollecting(Job& job)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        if (job.state != JobState::Running)
            return;
        if (job.tasks[i].state != TaskState::Undetermined)
            continue;
        if (!job.uncertain) {
            enqueue(job, i);
            continue;
        }
        // The lost sidecar may have finished the task, and the former owner may have answered the job as complete. So
        // the job has not failed: its answer is gone.
        const std::string reason = "a sidecar that may have run it was lost with the former owner";
        giveUp(job, i, TaskOutcome::Unknown, reason, jobError(ErrorCode::AnswerGone, Ran::Unknown, reason));
    }
}

void JobTable::enqueue(Job& job, std::uint32_t task)
{
    job.tasks[task].state = TaskState::Queued;
    m_queues[job.spec.service].push(job.spec.team, job.weight, { .key = job.spec.key, .task = task });
}

void JobTable::bindTo(Job& job, std::uint32_t task, const SessionId& sidecar)
{
    job.tasks[task].state = TaskState::Bound;
    job.tasks[task].sidecar = sidecar;
    m_bound[sidecar].insert({ .key = job.spec.key, .task = task });
}

std::vector<TaskAssignment> JobTable::take(const std::string& service, const SessionId& sidecar, std::size_t most)
{
    std::vector<TaskAssignment> taken;
    const auto queue = m_queues.find(service);
    if (queue == m_queues.end())
        return taken;
    while (taken.size() < most) {
        const auto next = queue->second.pop();
        if (!next)
            break;
        Job& job = m_jobs.at(next->key);
        Task& task = job.tasks[next->task];
        if (++task.attempt == 1)
            m_retries.try_emplace(service, m_options.retries).first->second.recordFirstAttempt();
        bindTo(job, next->task, sidecar);
        const TaskSpec& spec = job.spec.tasks[next->task];
        taken.push_back({ .key = next->key,
            .task = next->task,
            .attempt = task.attempt,
            .epoch = job.epoch,
            .team = job.spec.team,
            .idempotent = job.spec.idempotent,
            .startByUnix = job.spec.deadlineUnix,
            .needs = spec.needs,
            .payload = spec.payload });
    }
    return taken;
}

bool JobTable::keepEarly(Job& job, const SessionId& sidecar, const TaskResult& result)
{
    if (!job.uncollected.contains(sidecar) || result.outcome == TaskOutcome::Running)
        return false;
    return job.early.try_emplace({ sidecar, result.task }, result).second;
}

bool JobTable::result(const SessionId& sidecar, const TaskResult& result)
{
    Job* job = running(result.key);
    if (!job || result.epoch != job->epoch || result.task >= job->tasks.size())
        return false;
    Task& task = job->tasks[result.task];
    if (task.state == TaskState::Undetermined)
        return keepEarly(*job, sidecar, result);
    if (task.state != TaskState::Bound || task.sidecar != sidecar || task.attempt != result.attempt)
        return false;
    if (result.outcome == TaskOutcome::Running)
        return false;
    if (result.outcome == TaskOutcome::NotStarted)
        requeue(*job, result.task, result.byPlan);
    else
        settle(*job, result.task, result.outcome, result.body);
    return true;
}

void JobTable::requeue(Job& job, std::uint32_t index, bool byPlan)
{
    Task& task = job.tasks[index];
    m_bound[task.sidecar].erase({ .key = job.spec.key, .task = index });
    if (const auto refusal = refuseRetry(job, task, byPlan))
        return giveUp(job, index, TaskOutcome::NotStarted, refusal->message, *refusal);
    task.state = TaskState::Queued;
    m_queues[job.spec.service].pushFront(job.spec.team, job.weight, { .key = job.spec.key, .task = index });
}

void JobTable::settle(Job& job, std::uint32_t index, TaskOutcome outcome, const std::string& body)
{
    Task& task = job.tasks[index];
    if (task.state == TaskState::Bound)
        m_bound[task.sidecar].erase({ .key = job.spec.key, .task = index });
    if (outcome == TaskOutcome::Unknown && job.spec.idempotent && !refuseRetry(job, task, false)) {
        task.mayHaveStarted = true;
        enqueue(job, index);
        return;
    }
    if (outcome != TaskOutcome::Done)
        return giveUp(job, index, outcome, body, jobError(codeOf(outcome), Ran::Unknown, body));
    task.state = TaskState::Ended;
    task.outcome = outcome;
    task.body = body;
    if (--job.open == 0)
        end(job, JobState::Complete);
}

std::optional<Error> JobTable::refuseRetry(const Job& job, const Task& task, bool byPlan)
{
    const bool isPastDeadline = !m_deadlines.contains({ .at = job.spec.deadlineUnix, .key = job.spec.key });
    if (isPastDeadline)
        return jobError(ErrorCode::DeadlinePassed, Ran::Unknown, "deadline passed");
    Error refusal = jobError(ErrorCode::MinionRefused, Ran::Unknown, "no sidecar started it");
    refusal.retryAfter = m_options.retryAfter;
    if (task.attempt >= m_options.maxAttempts)
        return refusal;
    if (byPlan || m_retries.try_emplace(job.spec.service, m_options.retries).first->second.tryAcquireRetry())
        return std::nullopt;
    refusal.code = ErrorCode::Overloaded;
    refusal.message = "no sidecar started it, and the retry budget is spent";
    return refusal;
}

void JobTable::giveUp(
    Job& job, std::uint32_t index, TaskOutcome outcome, const std::string& body, const Error& error)
{
    Task& task = job.tasks[index];
    if (outcome == TaskOutcome::NotStarted && task.mayHaveStarted)
        outcome = TaskOutcome::Unknown;
    task.state = TaskState::Ended;
    task.outcome = outcome;
    task.body = body;
    --job.open;
    Error named = error;
    named.message = fmt::format("task {}: {}", index, error.message);
    fail(job, named);
}

void JobTable::sidecarLost(const SessionId& sidecar)
{
    const auto bound = m_bound.find(sidecar);
    if (bound != m_bound.end()) {
        const auto tasks = bound->second;
        for (const auto& task : tasks) {
            if (Job* job = running(task.key))
                settle(*job, task.task, TaskOutcome::Unknown, "its sidecar was lost");
        }
        m_bound.erase(sidecar);
    }
    std::vector<JobKey> waiting;
    for (const auto& [key, job] : m_jobs) {
        if (job.uncollected.contains(sidecar))
            waiting.push_back(key);
    }
    for (const auto& key : waiting)
        collectFailed(key, sidecar);
}

bool JobTable::cancel(const JobKey& key)
{
    Job* job = running(key);
    if (!job)
        return false;
    fail(*job, jobError(ErrorCode::Cancelled, Ran::Unknown, "cancelled by its caller"));
    return true;
}

void JobTable::fail(Job& job, const Error& error)
{
    if (job.state != JobState::Running)
        return;
    job.error = error;
    m_queues[job.spec.service].removeJob(job.spec.team, job.spec.key);
    std::set<SessionId> holders;
    bool mayHaveRun = error.ran == Ran::Unknown && job.uncertain;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        Task& task = job.tasks[i];
        if (task.state == TaskState::Bound) {
            holders.insert(task.sidecar);
            m_bound[task.sidecar].erase({ .key = job.spec.key, .task = i });
            task.outcome = TaskOutcome::Unknown;
            task.body = "in flight when the job ended";
            task.state = TaskState::Ended;
        } else if (task.state != TaskState::Ended) {
            // Until every sidecar has answered, the task may have been started under the former owner.
            const bool known = job.uncollected.empty() && !task.mayHaveStarted;
            task.outcome = known ? TaskOutcome::NotStarted : TaskOutcome::Unknown;
            task.body = known ? "not started when the job ended" : "not yet known when the job ended";
            task.state = TaskState::Ended;
        }
        mayHaveRun = mayHaveRun || task.outcome != TaskOutcome::NotStarted;
    }
    job.error->ran = mayHaveRun ? Ran::Unknown : Ran::No;
    for (const auto& sidecar : holders)
        m_cancellations.push_back({ .sidecar = sidecar, .order = { .key = job.spec.key, .epoch = job.epoch } });
    end(job, JobState::Failed);
}

void JobTable::end(Job& job, JobState state)
{
    job.state = state;
    job.uncollected.clear();
    job.early.clear();
    m_deadlines.erase({ .at = job.spec.deadlineUnix, .key = job.spec.key });
    m_forgetTimes.insert({ .at = job.spec.deadlineUnix + m_options.answerRetention, .key = job.spec.key });
    // Only the answer is needed from now on.
    job.spec.tasks = {};
    --m_running;
    m_ended.push_back(job.spec.key);
}

void JobTable::tick(Milliseconds unixNow)
{
    while (!m_deadlines.empty() && unixNow >= m_deadlines.begin()->at) {
        const JobKey key = m_deadlines.begin()->key;
        m_deadlines.erase(m_deadlines.begin());
        deadlinePassed(m_jobs.at(key));
    }
    while (!m_forgetTimes.empty() && unixNow > m_forgetTimes.begin()->at) {
        m_jobs.erase(m_forgetTimes.begin()->key);
        m_forgetTimes.erase(m_forgetTimes.begin());
    }
}

void JobTable::deadlinePassed(Job& job)
{
    // Bound tasks may have started in time; only waiting tasks can no longer run.
    const bool hasWaiting = std::any_of(job.tasks.begin(), job.tasks.end(),
        [](const Task& task) { return task.state == TaskState::Queued || task.state == TaskState::Undetermined; });
    if (hasWaiting)
        fail(job, jobError(ErrorCode::DeadlinePassed, Ran::Unknown, "deadline passed before every task started"));
}

std::vector<JobKey> JobTable::drainEnded() { return std::exchange(m_ended, {}); }

std::vector<JobTable::Cancellation> JobTable::drainCancellations() { return std::exchange(m_cancellations, {}); }

std::optional<JobAnswer> JobTable::answer(const JobKey& key) const
{
    const auto found = m_jobs.find(key);
    if (found == m_jobs.end())
        return std::nullopt;
    const Job& job = found->second;
    JobAnswer answer { .key = key, .state = job.state, .results = {}, .failures = {}, .error = job.error };
    if (job.state == JobState::Complete) {
        for (const auto& task : job.tasks)
            answer.results.push_back(task.body);
    }
    if (job.state == JobState::Failed) {
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].outcome != TaskOutcome::Done)
                answer.failures.push_back({ .task = i, .outcome = job.tasks[i].outcome, .reason = job.tasks[i].body });
        }
    }
    return answer;
}

std::uint64_t JobTable::epochOf(const JobKey& key) const
{
    const auto job = m_jobs.find(key);
    return job == m_jobs.end() ? unclaimedEpoch : job->second.epoch;
}

std::size_t JobTable::queued(const std::string& service) const
{
    const auto queue = m_queues.find(service);
    return queue == m_queues.end() ? 0 : queue->second.size();
}

std::vector<TeamDemand> JobTable::demand(const std::string& service) const
{
    const auto queue = m_queues.find(service);
    return queue == m_queues.end() ? std::vector<TeamDemand> {} : queue->second.demand();
}

std::size_t JobTable::outstanding(const SessionId& sidecar) const
{
    const auto bound = m_bound.find(sidecar);
    return bound == m_bound.end() ? 0 : bound->second.size();
}

std::size_t JobTable::runningJobs() const { return m_running; }

} // namespace oleanderport
