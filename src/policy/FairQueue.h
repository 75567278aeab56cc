#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// A queued task: its job and its index in the job.
struct QueuedTask {
    JobKey key;
    std::uint32_t task { 0 };
};

// Round-robin queue between teams, within a team between callers, and within a caller between jobs. A team of weight w gets w
// tasks in its turn. Tasks of one job leave in the order of arrival. push() and pop() take logarithmic time, but the pop of a
// job's last task also scans the turns of its caller's jobs; removeJob() is linear in the tasks of the job.
class FairQueue {
public:
    // `weight` below 1 counts as 1. The latest weight of a team applies to all its tasks.
    void push(const std::string& team, std::int64_t weight, const QueuedTask&);

    // Returns a task to the front of its job.
    void pushFront(const std::string& team, std::int64_t weight, const QueuedTask&);

    // Takes the next task in fair order; nothing when the queue is empty.
    std::optional<QueuedTask> pop();

    // Takes out every task of a job, in order.
    std::vector<QueuedTask> removeJob(const std::string& team, const JobKey&);

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }
    std::uint64_t queuedOf(const std::string& team) const;
    std::vector<TeamDemand> demand() const;

private:
    struct Job {
        std::deque<std::uint32_t> tasks;
    };
    struct Caller {
        std::map<std::string, Job> jobs;
        std::list<std::string> roundRobin;
    };
    struct Team {
        std::map<std::string, Caller> callers;
        std::list<std::string> roundRobin;
        std::int64_t weight { 1 };
        std::int64_t leftInTurn { 0 };
        std::uint64_t size { 0 };
    };

    Job& jobForNewTask(const std::string& team, std::int64_t weight, const JobKey&);
    void eraseJob(Team&, const std::string& teamName, const JobKey&);

    std::map<std::string, Team> m_teams;
    std::list<std::string> m_roundRobin;
    std::size_t m_size { 0 };
};

// Weight of the team in the view; 1 when it is not known.
std::int64_t weightOf(const ClusterView&, const std::string& team);

} // namespace oleanderport
