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
    // Tasks that the minion runs side by side.
    std::int64_t slots { 1 };
    // What its running tasks may declare in all; zero means no bound.
    TaskNeeds capacity;
    // Start of every run's name, so that runs of a further incarnation of the sidecar have other names.
    std::string runPrefix;
    // How long results stay after a job's deadline, for an entry that takes the job over.
    Milliseconds retention { 120'000 };
};

// A start that the ledger has decided and recorded. `run` names it towards the minion.
struct TaskStart {
    std::string run;
    TaskAssignment assignment;
};

// Decides every start beside one minion. A task starts at most once here, whatever arrives twice, late or crossed;
// never without a valid execution lease, never after its start-by time, and never for an epoch below one seen.
class SidecarLedger {
public:
    explicit SidecarLedger(const SidecarLedgerOptions&);

    // Queues an assignment; teams take turns by weight whichever entry sent their tasks. Returns the answer to send at once when it is refused; a refusal is always NotStarted.
    // Nothing is returned for an assignment that is queued or already known.
    std::optional<TaskResult> accept(
        const SessionId& entry, const TaskAssignment&, std::int64_t teamWeight = 1);

    struct NextStart {
        std::optional<TaskStart> start;
        // Tasks that can no longer start, to be reported.
        std::vector<TaskResult> refused;
    };
    // Picks the next task to start, if a slot is free and `now` is before the end of the lease.
    NextStart startNext(Milliseconds now, Milliseconds leaseEnd, Milliseconds unixNow);

    // The minion's end of a run. Returns the result to report, or nothing when the run is unknown or had ended.
    std::optional<TaskResult> recordEnd(const std::string& run, TaskOutcome, const std::string& body, Milliseconds ranFor);

    // Hands what is known to a new owner; queued tasks are dropped and lower epochs refused from here on.
    // Refused with StaleEpoch when a higher epoch was seen.
    Result<CollectResponse> collect(const CollectRequest&);

    struct Cancelled {
        // Runs to stop at the minion.
        std::vector<std::string> stop;
    };
    // Drops queued tasks of a job and names its runs to be stopped.
    Cancelled cancel(const CancelRequest&);

    // What the task of a run declared; nothing when the run is not under way.
    std::optional<TaskNeeds> needsOf(const std::string& run) const;

    // Gives every queued task back as not started: lease lost, data centre out, or shutdown.
    std::vector<TaskResult> returnQueued();

    // Ends every run as unknown: the minion is gone without a word.
    std::vector<TaskResult> endRunningAsUnknown();

    // Who is to hear of a job's results now.
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
        // A former attempt may have run.
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
    // Jobs by the time at which they may be forgotten; one that was kept for longer stands here again.
    std::set<Expiry> m_expiries;
    FairQueue m_queue;
    std::map<std::string, QueuedTask> m_runs;
    std::int64_t m_running { 0 };
    // Sum of what running tasks declare.
    TaskNeeds m_used;
    std::uint64_t m_lastRun { 0 };
};

} // namespace oleanderport
