#include "policy/FairQueue.h"

#include <algorithm>

namespace oleanderport {

FairQueue::Job& FairQueue::jobFor(const std::string& teamName, std::int64_t weight, const JobKey& key)
{
    const auto [team, newTeam] = m_teams.try_emplace(teamName);
    if (newTeam)
        m_turns.push_back(teamName);
    team->second.weight = std::max<std::int64_t>(weight, 1);
    const auto [caller, newCaller] = team->second.callers.try_emplace(key.caller);
    if (newCaller)
        team->second.turns.push_back(key.caller);
    const auto [job, newJob] = caller->second.jobs.try_emplace(key.job);
    if (newJob)
        caller->second.turns.push_back(key.job);
    ++team->second.size;
    ++m_size;
    return job->second;
}

void FairQueue::push(const std::string& team, std::int64_t weight, const QueuedTask& task)
{
    jobFor(team, weight, task.key).tasks.push_back(task.task);
}

void FairQueue::pushFront(const std::string& team, std::int64_t weight, const QueuedTask& task)
{
    jobFor(team, weight, task.key).tasks.push_front(task.task);
}

void FairQueue::dropJob(Team& team, const std::string& teamName, const JobKey& key)
{
    Caller& caller = team.callers.at(key.caller);
    caller.jobs.erase(key.job);
    caller.turns.remove(key.job);
    if (!caller.jobs.empty())
        return;
    team.callers.erase(key.caller);
    team.turns.remove(key.caller);
    if (!team.callers.empty())
        return;
    m_teams.erase(teamName);
    m_turns.remove(teamName);
}

std::optional<QueuedTask> FairQueue::pop()
{
    if (m_turns.empty())
        return std::nullopt;
    const std::string teamName = m_turns.front();
    Team& team = m_teams.at(teamName);
    if (team.left <= 0)
        team.left = team.weight;
    const std::string callerName = team.turns.front();
    Caller& caller = team.callers.at(callerName);
    const std::string jobName = caller.turns.front();
    Job& job = caller.jobs.at(jobName);

    QueuedTask next { .key = { .caller = callerName, .job = jobName }, .task = job.tasks.front() };
    job.tasks.pop_front();
    --team.size;
    --m_size;

    if (--team.left <= 0)
        m_turns.splice(m_turns.end(), m_turns, m_turns.begin());
    team.turns.splice(team.turns.end(), team.turns, team.turns.begin());
    caller.turns.splice(caller.turns.end(), caller.turns, caller.turns.begin());
    if (job.tasks.empty())
        dropJob(team, teamName, next.key);
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
    dropJob(team->second, teamName, key);
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
