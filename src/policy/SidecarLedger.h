#pragma once

#include "oleanderport/Messages.h"
#include "policy/FairQueue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleanderport {

struct SidecarLedgerOptions {
    // Tasks that the minion runs concurrently.
    std::int64_t slots { 1 };
    // Limits on the sum of the needs of all running tasks; zero means no limit.
    TaskNeeds capacity;
    // Prefix of every run name; differs between incarnations of the sidecar, so that their run names do.
    std::string runPrefix;
    // How long results are kept after the job's deadline for an entry that takes the job over.
    Milliseconds retention { 120'000 };
};

// A task to start, already recorded as running. `run` is its name at the minion.
struct TaskStart {
    std::string run;
    TaskAssignment assignment;
};

// Decides every start at one minion. A task starts at most once here, even when messages are duplicated, late or reordered;
// never without a valid execution lease, never after its start-by time, and never for an epoch below the highest one seen.
class SidecarLedger {
public:
    explicit SidecarLedger(const SidecarLedgerOptions&);

    // Queues an assignment. Teams share the minion by weight, whichever entry sent their tasks. Returns the result to send at
    // once, always NotStarted, when the assignment is refused; nothing when it is queued or already known.
    std::optional<TaskResult> accept(
        const SessionId& entry, const TaskAssignment&, std::int64_t teamWeight = 1);

    struct NextStart {
        std::optional<TaskStart> start;
        // Results of tasks whose start-by time has passed, to be reported.
        std::vector<TaskResult> refused;
    };
    // Picks the next task and records it as running, if a slot is free and `now` is before the end of the lease.
    NextStart startNext(Milliseconds now, Milliseconds leaseEnd, Milliseconds unixNow);

    // Records the outcome of a run. Returns the result to report, or nothing when the run is unknown or has already ended.
    std::optional<TaskResult> recordEnd(const std::string& run, TaskOutcome, const std::string& body, Milliseconds ranFor);

    // Returns the state of a job's tasks to its new owner, drops the queued ones and refuses lower epochs from then on.
    // Fails with StaleEpoch when a higher epoch was seen.
    Result<CollectResponse> collect(const CollectRequest&);

    struct Cancelled {
        // Runs to stop at the minion.
        std::vector<std::string> stop;
    };
    // Drops the queued tasks of a job and returns its runs that are to be stopped.
    Cancelled cancel(const CancelRequest&);

    // Needs that the task of a run declared; nothing when the run is not in progress.
    std::optional<TaskNeeds> needsOf(const std::string& run) const;

    // Ends every queued task as not started: lease lost, data centre out of service, or shutdown.
    std::vector<TaskResult> returnQueued();

    // Ends every run with an unknown outcome, because the minion was lost without leaving.
    std::vector<TaskResult> endRunningAsUnknown();

    // The entry session that receives the job's results.
    std::optional<SessionId> ownerOf(const JobKey&) const;

    void removeExpired(Milliseconds unixNow);

    std::int64_t running() const { return m_running; }
    std::int64_t freeSlots() const;
    std::size_t queued() const { return m_queue.size(); }

private:
    enum class State {
        Queued,
        Running,
        Ended,
    };
    struct Record {
        State state { State::Queued };
        TaskAssignment assignment;
        TaskResult result;
        std::int64_t teamWeight { 1 };
        // Name of the run; set while it runs.
        std::string run;
        // An earlier attempt may have run.
        bool mayHaveStarted { false };
    };
    struct JobRecord {
        std::uint64_t epoch { 0 };
        SessionId owner;
        bool cancelled { false };
        Milliseconds expiresAtUnix {};
        std::map<std::uint32_t, Record> tasks;
    };

    struct Expiry {
        Milliseconds at {};
        JobKey key;
        auto operator<=>(const Expiry&) const = default;
    };

    void extendRetention(const JobKey&, JobRecord&, Milliseconds unixTime);
    bool fits(const TaskNeeds&) const;

    static TaskResult notStarted(const TaskAssignment&, const std::string& reason);

    SidecarLedgerOptions m_options;
    std::map<JobKey, JobRecord> m_jobs;
    // Jobs ordered by expiry. A job whose retention is extended moves.
    std::set<Expiry> m_expiries;
    FairQueue m_queue;
    std::map<std::string, QueuedTask> m_runs;
    std::int64_t m_running { 0 };
    // Sum of the needs of the running tasks.
    TaskNeeds m_used;
    std::uint64_t m_lastRun { 0 };
};

} // namespace oleanderport
