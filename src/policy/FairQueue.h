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

// One queued task: which job it belongs to and which task it is.
struct QueuedTask {
    JobKey key;
    std::uint32_t task { 0 };
};

// Queue that is fair between teams, within a team between callers, and within a caller between jobs. Each level takes
// turns; a team with weight w gets w tasks in its turn. Within a job tasks leave in the order in which they came.
// Every operation but remove() takes constant time for a bounded number of levels.
class FairQueue {
public:
    // `weight` below 1 counts as 1. The last weight given for a team holds.
    void push(const std::string& team, std::int64_t weight, const QueuedTask&);

    // Puts a task back at the front of its job.
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
