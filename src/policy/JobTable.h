#pragma once

#include "oleanderport/Messages.h"
#include "policy/FairQueue.h"
#include "policy/RetryBudget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oleanderport {

struct JobTableOptions {
    // Maximum attempts per task that end with NotStarted before the task is given up.
    std::uint32_t maxAttempts { 64 };
    // How long an ended job's answer is kept after its deadline.
    Milliseconds answerRetention { 120'000 };
    // Retry budget of each service.
    RetryBudgetOptions retries;
    // Retry delay given to the caller of a job that failed because no further attempt was allowed.
    Milliseconds retryAfter { 1'000 };
};

inline constexpr std::uint64_t unclaimedEpoch = 0;

// How a submission compares to the jobs already in the table.
enum class Match {
    None,
    Same,
    Conflict,
};

// The jobs that one entry owns, and every decision about them. A task is bound to one sidecar session when it leaves the
// queue, and leaves it again without proof that it did not start only if it is idempotent: otherwise only a NotStarted
// result of that session requeues it. Results are accepted only from the session, attempt and epoch of the binding.
class JobTable {
public:
    explicit JobTable(const JobTableOptions&);

    Match match(const JobKey&, const std::string& digest) const;

    // Adds a job whose claim this entry holds and queues all of its tasks. unclaimedEpoch marks a job without a claim,
    // which nobody can resubmit.
    void add(const JobSpec&, const std::string& digest, std::uint64_t epoch, std::int64_t teamWeight);

    // Takes over a job from a lost owner. No task is queued until every sidecar in `sidecars` has answered or was given
    // up; see collected() and collectFailed().
    void adopt(const JobSpec&, const std::string& digest, std::uint64_t epoch, std::int64_t teamWeight,
        const std::vector<SessionId>& sidecars);

    // Takes in the answer of one sidecar about an adopted job.
    void collected(const JobKey&, const SessionId& sidecar, const std::vector<TaskResult>&);

    // The sidecar will never answer. Tasks that no other sidecar reports may have started there.
    void collectFailed(const JobKey&, const SessionId& sidecar);

    // Binds up to `most` queued tasks of a service to a sidecar session, in fair order.
    std::vector<TaskAssignment> take(const std::string& service, const SessionId& sidecar, std::size_t most);

    // Returns false, changing nothing, when the result is late, a duplicate or not for this binding.
    bool result(const SessionId& sidecar, const TaskResult&);

    // The session has ended: tasks bound to it may have started.
    void sidecarLost(const SessionId&);

    // Ends the job as failed. Returns false when it had already ended or is unknown.
    bool cancel(const JobKey&);

    // Fails jobs whose deadline has passed while tasks still wait, and removes answers past their retention.
    void tick(Milliseconds unixNow);

    // Jobs that ended since the last call, in order.
    std::vector<JobKey> drainEnded();

    // Sidecar sessions that hold tasks of jobs that ended early, with the cancel message. Returned once, as above.
    struct Cancellation {
        SessionId sidecar;
        CancelRequest order;
    };
    std::vector<Cancellation> drainCancellations();

    // The current answer; nullopt for an unknown job.
    std::optional<JobAnswer> answer(const JobKey&) const;

    // Epoch of the claim on the job; unclaimedEpoch for an unknown job.
    std::uint64_t epochOf(const JobKey&) const;

    std::size_t queued(const std::string& service) const;
    std::vector<TeamDemand> demand(const std::string& service) const;
    // In-flight tasks of a session.
    std::size_t outstanding(const SessionId&) const;
    std::size_t runningJobs() const;

private:
    enum class TaskState {
        Undetermined,
        Queued,
        Bound,
        Ended,
    };
    struct Task {
        TaskState state { TaskState::Queued };
        std::uint32_t attempt { 0 };
        SessionId sidecar;
        // An earlier attempt of an idempotent task may have started.
        bool mayHaveStarted { false };
        TaskOutcome outcome { TaskOutcome::NotStarted };
        std::string body;
    };
    struct Job {
        JobSpec spec;
        std::string digest;
        std::uint64_t epoch { 0 };
        std::int64_t weight { 1 };
        JobState state { JobState::Running };
        std::vector<Task> tasks;
        std::size_t open { 0 };
        std::set<SessionId> uncollected;
        // Results that arrived before the sidecar's answer to the collect call, which may still list the tasks as
        // running.
        std::map<std::pair<SessionId, std::uint32_t>, TaskResult> early;
        bool uncertain { false };
        std::optional<Error> error;
    };

    struct TimedJob {
        Milliseconds at {};
        JobKey key;
        auto operator<=>(const TimedJob&) const = default;
    };

    Job* running(const JobKey&);
    void deadlinePassed(Job&);
    void enqueue(Job&, std::uint32_t task);
    void bindTo(Job&, std::uint32_t task, const SessionId&);
    void unbind(Task&);
    void settle(Job&, std::uint32_t task, TaskOutcome, const std::string& body);
    void requeue(Job&, std::uint32_t task, bool byPlan);
    // Why a task may not be retried; nullopt when it may, and the attempt is then charged to the retry budget.
    std::optional<Error> refuseRetry(const Job&, const Task&, bool byPlan);
    void giveUp(Job&, std::uint32_t task, TaskOutcome, const std::string& body, const Error&);
    void finishCollecting(Job&);
    bool keepEarly(Job&, const SessionId&, const TaskResult&);
    void fail(Job&, const Error&);
    void end(Job&, JobState);

    JobTableOptions m_options;
    std::map<JobKey, Job> m_jobs;
    // Deadlines of running jobs, and removal times of ended ones.
    std::set<TimedJob> m_deadlines;
    std::set<TimedJob> m_forgetTimes;
    std::map<std::string, FairQueue> m_queues;
    // By service.
    std::map<std::string, RetryBudget> m_retries;
    struct BoundTask {
        JobKey key;
        std::uint32_t task { 0 };
        auto operator<=>(const BoundTask&) const = default;
    };
    std::map<SessionId, std::set<BoundTask>> m_bound;
    std::vector<JobKey> m_ended;
    std::vector<Cancellation> m_cancellations;
    std::size_t m_running { 0 };
};

} // namespace oleanderport
