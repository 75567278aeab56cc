#include "policy/FairQueue.h"

#include <algorithm>

namespace oleanderport {

FairQueue::Job& FairQueue::jobForNewTask(const std::string& teamName, std::int64_t weight, const JobKey& key)
{
    const auto [team, newTeam] = m_teams.try_emplace(teamName);
    if (newTeam)
        m_roundRobin.push_back(teamName);
    team->second.weight = std::max<std::int64_t>(weight, 1);
    const auto [caller, newCaller] = team->second.callers.try_emplace(key.caller);
    if (newCaller)
        team->second.roundRobin.push_back(key.caller);
    const auto [job, newJob] = caller->second.jobs.try_emplace(key.job);
    if (newJob)
        caller->second.roundRobin.push_back(key.job);
    ++team->second.size;
    ++m_size;
    return job->second;
}

void FairQueue::push(const std::string& team, std::int64_t weight, const QueuedTask& task)
{
    jobForNewTask(team, weight, task.key).tasks.push_back(task.task);
}

void FairQueue::pushFront(const std::string& team, std::int64_t weight, const QueuedTask& task)
{
    jobForNewTask(team, weight, task.key).tasks.push_front(task.task);
}

void FairQueue::eraseJob(Team& team, const std::string& teamName, const JobKey& key)
{
    Caller& caller = team.callers.at(key.caller);
    caller.jobs.erase(key.job);
    caller.roundRobin.remove(key.job);
    if (!caller.jobs.empty())
        return;
    team.callers.erase(key.caller);
    team.roundRobin.remove(key.caller);
    if (!team.callers.empty())
        return;
    m_teams.erase(teamName);
    m_roundRobin.remove(teamName);
}

std::optional<QueuedTask> FairQueue::pop()
{
    if (m_roundRobin.empty())
        return std::nullopt;
    const std::string teamName = m_roundRobin.front();
    Team& team = m_teams.at(teamName);
    if (team.leftInTurn <= 0)
        team.leftInTurn = team.weight;
    const std::string callerName = team.roundRobin.front();
    Caller& caller = team.callers.at(callerName);
    const std::string jobName = caller.roundRobin.front();
    Job& job = caller.jobs.at(jobName);

    QueuedTask next { .key = { .caller = callerName, .job = jobName }, .task = job.tasks.front() };
    job.tasks.pop_front();
    --team.size;
    --m_size;

    if (--team.leftInTurn <= 0)
        m_roundRobin.splice(m_roundRobin.end(), m_roundRobin, m_roundRobin.begin());
    team.roundRobin.splice(team.roundRobin.end(), team.roundRobin, team.roundRobin.begin());
    caller.roundRobin.splice(caller.roundRobin.end(), caller.roundRobin, caller.roundRobin.begin());
    if (job.tasks.empty())
        eraseJob(team, teamName, next.key);
    return next;
}

std::vector<QueuedTask> FairQueue::removeJob(const std::string& teamName, const JobKey& key)
{
    std::vector<QueuedTask> removed;
    const auto team = m_teams.find(teamName);
    if (team == m_teams.end())
        return removed;
    const auto caller = team->second.callers.find(key.caller);
    if (caller == team->second.callers.end())
        return removed;
    const auto job = caller->second.jobs.find(key.job);
    if (job == caller->second.jobs.end())
        return removed;
    for (const auto task : job->second.tasks)
        removed.push_back({ .key = key, .task = task });
    team->second.size -= removed.size();
    m_size -= removed.size();
    eraseJob(team->second, teamName, key);
    return removed;
}

std::uint64_t FairQueue::queuedOf(const std::string& team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.size;
}

std::vector<TeamDemand> FairQueue::demand() const
{
    std::vector<TeamDemand> demands;
    for (const auto& [name, team] : m_teams)
        demands.push_back({ .team = name, .queued = team.size });
    return demands;
}

std::int64_t weightOf(const ClusterView& view, const std::string& name)
{
    for (const auto& team : view.config.teams) {
        if (team.name == name)
            return team.weight;
    }
    return 1;
}

} // namespace oleanderport
