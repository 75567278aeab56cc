#pragma once

#include "policy/JobGrants.h"
#include "policy/MinionHealth.h"
#include "policy/MinionSpeeds.h"
#include "policy/PlacementExplanation.h"
#include "policy/RivalQueues.h"
#include "policy/RunPlacement.h"
#include "policy/RunTimes.h"
#include "wire/DispatchMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleanderport {

// One step of a best-effort job: `count` identical tasks.
struct DispatchStep {
    std::uint32_t count { 1 };
    // Needs of each task; the run time is the caller's estimate.
    TaskNeeds needs;
    // Steps that must have succeeded before this one begins.
    std::vector<std::uint32_t> after;
    // Label that the minion must have; empty for any minion.
    std::string requiredLabel;
    std::string preferredRack;
    // Maximum number of tasks of the step on one minion; 0 means unlimited.
    std::int64_t maxPerMinion { 0 };
};

// A best-effort job as its queue and its caller describe it.
struct DispatchJob {
    // Unique among all jobs of the deployment; a resubmitted job keeps its name.
    std::string name;
    std::string payload;
    QueueConfig queue;
    // The caller waits until this time.
    Milliseconds deadline {};
    std::vector<DispatchStep> steps;
};

// Memory that a job takes while it is in service, estimated from above.
std::size_t memoryOf(const DispatchJob&);

enum class DispatchEndKind {
    // Every task has succeeded.
    Completed,
    // A task has failed as often as its queue allows.
    Failed,
    // No task has started, and none will.
    Refused,
    // The job was begun but not finished in time. Its tasks have stopped, or stop before their leases expire.
    Unfinished,
};

std::string_view dispatchEndKindName(DispatchEndKind);

struct DispatchEnd {
    std::uint64_t submission { 0 };
    DispatchEndKind kind { DispatchEndKind::Refused };
    std::string reason;
    // Time after which the caller may retry; zero when unknown.
    Milliseconds retryAfter {};
    // Runs that were sent, how many of them were retries, the sidecars that received any, and the time until the first
    // run was sent.
    std::size_t runs { 0 };
    std::size_t retries { 0 };
    // Runs that sidecars returned for lack of room; not counted in `runs`.
    std::size_t givenBack { 0 };
    std::vector<std::string> sidecars;
    Milliseconds waited {};
};

// A run that did not succeed.
struct FailedRun {
    RunName run;
    std::string sidecar;
    RunEndKind kind { RunEndKind::Failed };
    // As in RunEnd.
    Milliseconds ranFor {};
    StartEvidence evidence { StartEvidence::Requested };
};

struct FrameToSidecar {
    std::string sidecar;
    EntryFrame frame;
};

// Tasks of two queues began or ceased to be placed on different minions.
struct RivalryNews {
    std::string queue;
    std::string neighbour;
    bool isKeptApart { false };
    std::size_t sidecars { 0 };
};

struct DispatchActions {
    std::vector<FrameToSidecar> frames;
    std::vector<DispatchEnd> ends;
    std::vector<FailedRun> failedRuns;
    // Sidecars whose stream is idle beyond its timeout: close it and reconnect.
    std::vector<std::string> reconnect;
    // Set when jobs begin or cease to be held because an entry was lost: the sidecars that are not heard, none when they cease.
    std::optional<std::vector<std::string>> heldFor;
    std::vector<GrantReport> grantReports;
    std::vector<RivalryNews> rivalries;
};

struct JobDispatcherOptions {
    // Unique name of this incarnation of the entry.
    std::string incarnation;
    std::string dataCentre;
    // Idle timeouts of a stream: while the sidecar has runs of this entry, and otherwise. Both span several heartbeats
    // of the sidecar.
    Milliseconds busyStreamTimeout { 600 };
    Milliseconds idleStreamTimeout { 1'100 };
    // Runs at a sidecar that sent nothing for this long have ended. Covers its lease for this entry, the minion's lease
    // including clock drift, and the time that a stop takes.
    Milliseconds lostAfter { 1'650 };
    // A sidecar that sent nothing for this long may know of tasks that this entry was not told of. Exceeds its idle heartbeat.
    Milliseconds unheardAfter { 600 };
    // A caller may submit its job again this much earlier than the loss of its entry is noticed by a sidecar.
    Milliseconds lossNewsDelay { 100 };
    // An entry that was paused for this long gives up its jobs: their runs have been stopped, and their callers may have
    // submitted them elsewhere.
    Milliseconds pauseThreshold { 1'100 };
    // Tasks are placed only if each caller that left was heard of at least this recently: by then its job may run elsewhere. When
    // the news is older, because the entry was paused or its last round took long, they wait for one reading that begins later,
    // however long it takes. A sidecar refuses orders by which the news is older than its entry lease.
    Milliseconds maxCallerNewsAge { 50 };
    // An entry with jobs checks the clock at least this often to detect that it was paused.
    Milliseconds pauseCheckPeriod { 300 };
    // Minimum interval before a frame that carries only the echo and acknowledgements.
    Milliseconds minEchoInterval { 100 };
    // Percentage of a minion's capacity that all entries together may send beyond what is free, so that the next run
    // starts without a round trip when one ends.
    std::int64_t prefetchPercent { 0 };
    // Weight of the random jitter in the choice of a minion, relative to its free share.
    double jitterWeight { 0.1 };
    // Whether placement and the expected run time of an order go by how fast each minion has been.
    bool placesBySpeed { false };
    // Whether tasks of queues that slow each other down are placed on different minions where there is room.
    bool separatesInterference { false };
    // Maximum rate of frames that report only a minion's state, from all sidecars together. A higher rate improves
    // placement but costs the entry CPU time.
    std::int64_t maxStateFramesPerSecond { 600 };
    // Sidecars of the deployment.
    std::size_t sidecars { 1 };
    // Entries of the deployment. Each assumes an equal share of the minions when it estimates a wait.
    std::size_t entries { 1 };
    // Added to the effective deadline of a job for each step below priority 0.
    Milliseconds priorityDelay { 300 };
    // A job can meet its objective while this percentage of its expected run time plus the margin fits before it: the
    // last of several tasks ends later than the mean one.
    std::int64_t onTimeRunPercent { 115 };
    Milliseconds onTimeMargin { 30 };
    // Percentage of a service's capacity reserved for jobs of priority 0: they are wide, and need much capacity to become
    // free at once.
    std::int64_t reservePercent { 7 };
    // A job that has not begun is refused once it cannot end within this percentage of its latency objective: while some
    // minion accepts work, and while none does or new jobs are held. In the first case the job would only delay others; in the second, waiting
    // costs nothing.
    std::int64_t busyCutoffPercent { 100 };
    std::int64_t idleCutoffPercent { 300 };
    // Minimum time that a job may wait before it is refused as late, whatever its objective; several round trips.
    Milliseconds minQueueTime { 90 };
    // What was learned of a queue's estimates is forgotten when it would refuse a job and no run was recorded for this long: a queue
    // whose jobs are all refused has no runs that could correct it.
    Milliseconds estimateErrorExpiry { 5'000 };
    // Sidecars asked for a state update per waiting task.
    std::size_t sidecarsAskedPerTask { 2 };
    // Bounds of the retry delay given to a refused caller.
    Milliseconds minRetryAfter { 1'000 };
    Milliseconds maxRetryAfter { 8'000 };
    // A job that has begun and whose grants are missing for this long is given up: another entry may get them once this one has not been
    // heard for longer.
    Milliseconds maxTimeWithoutGrants { 200 };
    // An entry that learns within this time of knowing the sidecars that most of them have just started has started together with them.
    Milliseconds commonStartTime { 500 };
    // How long registrars that have just started are told of entries that have left the deployment: their runs may not be over.
    Milliseconds formerEntriesFor { 5'000 };
    // When the entry started. No sidecar is considered absent until it has had time to connect.
    Milliseconds startedAt {};
    std::uint64_t seed { 0 };
};

// Queues the best-effort jobs of one entry, places their tasks on minions, retries failed tasks and ends each job. Jobs
// wait in order of their effective deadline: the latency objective, plus a delay for lower priorities. Jobs that can no
// longer meet the objective wait behind those that can, so that a backlog after a burst or an outage does not delay
// every later job. A job that cannot finish in time, alone or behind the queued work, is refused at once as long as no
// task of it has started.
class JobDispatcher {
public:
    explicit JobDispatcher(JobDispatcherOptions);

    // Submits a job. act() reports its end, also when it is refused. A submission with the name and queue of an unfinished
    // job joins that job: both submissions end alike.
    std::uint64_t submit(DispatchJob, Milliseconds now);
    // The caller of this submission has disconnected. The job is stopped when no other submission waits for it.
    void abandon(std::uint64_t submission);
    // Stops the job and ends all its submissions as unfinished. False for an unknown job.
    bool cancel(const std::string& queue, const std::string& name);
    // The entry is stopping: every job, also one submitted from now on, is answered by this time. One that has not begun is refused as
    // soon as it can't be done by then.
    void finishBy(Milliseconds by);

    // The stream to a sidecar is open; the next frame to it is its first.
    void connected(const std::string& sidecar, Milliseconds now);
    void disconnected(const std::string& sidecar);
    // False when the frame requires no action now, so that act() need not be called.
    bool received(const std::string& sidecar, const SidecarFrame&, Milliseconds now);

    void setDataCentresOut(const std::vector<std::string>& names);
    void setDeploymentSize(std::size_t entries, std::size_t sidecars);
    // Names the sidecars of the deployment, whether there is a stream to them or not, and their data centres.
    void setMembers(const std::map<std::string, std::string>& dataCentres, Milliseconds now);

    // `allFramesRead`: every frame that has arrived was passed to received(). Otherwise a stream may look idle only because
    // the entry is busy, so timeouts are not checked.
    // `callersHeardUntil`: each caller that had disconnected before this time was passed to abandon(); unset when all were. An echo
    // promises a sidecar that callers were still there, so no clock that was received later is sent back.
    // `lastConfirmed`: the sockets of the callers of the submissions up to this one were read since they submitted; unset when all were.
    // No task of a job is placed before.
    DispatchActions act(Milliseconds now, bool allFramesRead = true, std::optional<Milliseconds> callersHeardUntil = std::nullopt,
        std::optional<std::uint64_t> lastConfirmed = std::nullopt);
    std::optional<Milliseconds> nextDue() const;
    // Tasks could not be placed because their callers may have left: act() is due once the sockets have been read.
    bool awaitsCallerNews() const { return m_awaitsCallerNews; }

    // What would become of the job if it were submitted now. Changes nothing. Of later steps nothing is said.
    PlacementExplanation explain(const DispatchJob&, Milliseconds now);

    // Jobs of a queue for which no task has started.
    std::size_t pending(const std::string& queue) const;
    std::size_t jobs() const { return m_jobs.size(); }
    std::size_t runsAt(const std::string& sidecar) const;
    // Minions known to take at least a quarter longer than the mean one, and pairs of queues that are kept apart.
    std::size_t slowMinions(Milliseconds now) const;
    std::size_t queuePairsKeptApart() const;

private:
    enum class TaskState {
        Waiting,
        AtSidecar,
        Done,
    };
    struct Task {
        TaskState state { TaskState::Waiting };
        std::uint64_t run { 0 };
        std::int64_t failures { 0 };
        std::string sidecar;
        // Sidecars at which a run failed.
        std::vector<std::string> failedAt;
        // Last sidecar that ended a run as stuck although it made progress.
        std::string slowAt;
    };
    struct Job {
        DispatchJob spec;
        const GrantStatus* grants { nullptr };
        std::vector<std::uint64_t> submissions;
        std::vector<std::vector<Task>> tasks;
        std::size_t waiting { 0 };
        std::size_t unfinishedTasks { 0 };
        std::size_t atSidecars { 0 };
        // A run may have started.
        bool mayHaveRun { false };
        // Its runs were recalled.
        bool recalled { false };
        std::size_t runs { 0 };
        std::size_t givenBack { 0 };
        std::set<std::string> sidecars;
        Milliseconds firstSentAt {};
        Milliseconds arrived {};
        Milliseconds longestRun {};
        Milliseconds objectiveAt {};
        // See JobDispatcherOptions.
        Milliseconds busyCutoff {};
        Milliseconds idleCutoff {};
        // Sort key of the queue; see JobDispatcher.
        Milliseconds effectiveDeadline {};

        // A run may have started, so the job can no longer be refused.
        bool hasBegun() const { return mayHaveRun || atSidecars > 0; }
    };
    struct TaskPlace {
        std::uint64_t job { 0 };
        std::uint32_t step { 0 };
        std::uint32_t index { 0 };
    };
    struct SentNeeds {
        std::uint64_t frame { 0 };
        TaskNeeds needs;
    };
    struct GivenUpRun {
        // The minion may carry out its order until then.
        Milliseconds until {};
        // In the first frame of the present stream.
        bool isNamed { false };
    };
    // When a frame was sent.
    struct SentFrame {
        std::uint64_t number { 0 };
        Milliseconds at {};
    };
    struct ClockReading {
        Milliseconds clock {};
        Milliseconds receivedAt {};
    };
    struct Link {
        bool connected { false };
        // The first frame of the stream was sent and answered.
        bool handshakeDone { false };
        bool known { false };
        std::string incarnation;
        Milliseconds clock {};
        // Latest clock that may be sent back, those received after it, and the one last sent back.
        Milliseconds echoableClock {};
        std::vector<ClockReading> laterClocks;
        Milliseconds lastEcho {};
        Milliseconds lastReceivedAt {};
        // When the current stream was opened or last received a frame.
        Milliseconds lastActiveAt {};
        Milliseconds sentAt {};
        std::uint64_t framesSent { 0 };
        std::uint64_t endsSeen { 0 };
        std::uint64_t endsAcknowledged { 0 };
        MinionState state;
        std::vector<SentNeeds> sent;
        // The first frame sent since the last one that the sidecar is known to have seen.
        std::optional<SentFrame> unseen;
        // Job id 0 marks a run of a job that has ended here.
        std::map<RunName, TaskPlace> outstanding;
        // Runs that were given up since the sidecar was lost. It is asked to stop them once it is back: one that has started again knows of
        // no order that its minion has not answered.
        std::map<RunName, GivenUpRun> givenUp;
        EntryFrame next;
        bool hasNext { false };
        // The minion may run tasks of which the sidecar does not know, by its last frame.
        bool hasUnknownRuns { false };
        // When its stream was opened, if it had unknown runs then.
        std::optional<Milliseconds> cameUnknownAt;
        // When it first answered that a grant is provisional.
        std::optional<Milliseconds> provisionalAt;
        // Nothing has arrived for `unheardAfter`.
        bool isSilent { false };
        // Free CPU, in thousandths of a core, at which the sidecar was asked for a state update; 0 when not asked.
        std::int64_t wantedCpuMillis { 0 };
    };

    SessionId healthId(const std::string& sidecar) const { return { .instance = sidecar, .incarnation = 0 }; }
    MinionHealth& healthOf(const std::string& service) { return m_health.try_emplace(service, MinionHealthOptions {}).first->second; }
    void applyState(const std::string& sidecar, Link&, const MinionState&);
    // Whether runs for the service may be sent to the sidecar.
    bool acceptsRuns(const Link&, const std::string& service) const;
    // Idle timeout of the stream to a sidecar.
    Milliseconds streamTimeout(const Link&) const;
    Milliseconds expectedRun(const QueueConfig&, const TaskNeeds&) const;
    // The estimate scaled by the shortest recent run of the queue's tasks.
    Milliseconds shortestRun(const QueueConfig&, const TaskNeeds&) const;
    using RunEstimate = Milliseconds (JobDispatcher::*)(const QueueConfig&, const TaskNeeds&) const;
    // Run time of the longest chain of dependent steps.
    Milliseconds longestChain(const DispatchJob&, RunEstimate) const;
    Milliseconds expectedChain(const DispatchJob&, Milliseconds now) const;
    // The latest useful end of the job given the present state of the minions.
    Milliseconds cutoff(const Job&) const;
    std::optional<std::string> refusal(const Job&, Milliseconds now) const;
    Milliseconds expectedWait(const Job&, Milliseconds now) const;
    Milliseconds retryAfter(const Job&, Milliseconds now);
    // Marks the candidates on which tasks of the queue would meet those of a rival.
    void weighRivals(const QueueConfig&, std::vector<PlacementCandidate>&) const;
    void reportRivalries();
    double slownessOf(const std::string& service, const std::string& sidecar, Milliseconds now) const;
    // Whether the job can still end within its latency objective, or has begun.
    bool canMeetObjective(const Job&, Milliseconds now) const;
    bool isStepOpen(const Job&, const DispatchStep&) const;
    bool waitsForEndedJob(const Job&) const;
    // Returns the grants of the job once nothing of it runs or can be started here.
    void releaseGrants(const std::string& job, bool isUrgent);
    // What a caller is told of a job whose grants are missing; empty when they aren't.
    std::string describeGrants(const Job&, Milliseconds now) const;
    // Whether the stream to the sidecar is open and not silent.
    static bool isHeard(const Link&);
    // Members that can't have told this entry of all tasks that their minions may run for lost entries.
    std::vector<std::string> unheardSidecars(Milliseconds now) const;
    // Whether most sidecars have just started again. An entry that has started with them doesn't wait for the minions' reports, which take longer
    // than the former leases.
    bool haveMostStartedAgain(Milliseconds now) const;
    // Whether this entry has just started, and most sidecars with it: a sidecar that doesn't know its minion, or that grants jobs provisionally, has.
    bool hasStartedWithSidecars(Milliseconds now) const;
    // Holds jobs while a sidecar is unheard and runs of a lost entry may be at its minion. Only beside sidecars of earlier versions.
    void updateHold(Milliseconds now, bool allFramesRead);
    void noteLostEntry(Milliseconds runsFor, Milliseconds now);
    // Whether tasks of the job may be running for a lost entry at the minion of an unheard sidecar.
    bool isHeld(const Job&, Milliseconds now) const;
    // Until when runs of an entry whose loss is known may go on.
    Milliseconds lostRunsEndBy() const;
    // Whether the socket of one of its callers was read since it submitted the job.
    bool isCallerConfirmed(const Job& job) const { return !m_lastConfirmed || job.submissions.front() <= *m_lastConfirmed; }
    std::int64_t expectedSlots(const TaskNeeds& capacity) const;
    std::int64_t acceptingCpuMillis(const std::string& service) const;
    // Whether the sidecar has runs of this entry, or grants to it.
    bool isBusy(const Link&, const std::string& sidecar) const;
    bool needsEcho(const Link&, const std::string& sidecar, Milliseconds clock, Milliseconds now) const;
    // Lets clocks that were received until then be sent back.
    void releaseClocks(Milliseconds callersHeardUntil);
    // Places the tasks whose callers are known to be there.
    void placeConfirmed(Milliseconds now, Milliseconds callersHeardUntil);
    void place(Milliseconds now);
    std::vector<PlacementCandidate> candidates(const std::string& service, Milliseconds now);
    PlacementRequest placementRequest(const Job&, const DispatchStep&, Milliseconds now) const;
    // A job as it is queued, without grants.
    Job makeJob(const DispatchJob&, std::uint64_t submission, Milliseconds now) const;
    ExplainedStep explainStep(const Job&, std::uint32_t step, std::vector<PlacementCandidate>&, Milliseconds now) const;
    // Free capacity by the last report, less what was sent since.
    static TaskNeeds freeAt(const Link&);
    void applyUnsettledTask(const std::string& sidecar, const UnsettledTask&, Milliseconds now);
    // Sidecars whose minion may run this task although it is waiting here.
    std::vector<std::string> sidecarsWithUnsettled(const Job&, std::uint32_t step, std::uint32_t index, Milliseconds now) const;
    // Names the first waiting task that is bound to sidecars by an earlier run; empty when there is none.
    std::string describeUnsettled(const Job&, Milliseconds now) const;
    // Asks a few sidecars per waiting task for a state update as soon as they have room. Used when no minion is known to
    // have room: regular reports are as old as most tasks are long.
    void requestStateUpdates(const std::string& service);
    // Whether more capacity is free than the reserve for jobs of priority 0.
    bool exceedsReserve(const std::vector<PlacementCandidate>&) const;
    bool placeJob(std::uint64_t id, Job&, std::vector<PlacementCandidate>&, Milliseconds now);
    void send(std::uint64_t id, Job&, std::uint32_t step, std::uint32_t index, const std::string& sidecar, Milliseconds now);
    void applyEnd(Link&, const std::string& sidecar, const RunEnd&, Milliseconds now);
    void runEnded(const std::string& sidecar, const TaskPlace&, const RunEnd&, Milliseconds now);
    // Returns the task to the queue.
    void requeueTask(std::uint64_t id, Job&, Task&);
    // True if something was forgotten; see JobDispatcherOptions::estimateErrorExpiry.
    bool forgetStaleEstimateError(const std::string& queue, Milliseconds now);
    void learnRunTime(const Job&, const DispatchStep&, const std::string& sidecar, Milliseconds ranFor, Milliseconds now);
    // Takes in a run that was ended as stuck while it made progress. It counts once a second sidecar was slow as well.
    void learnFromSlowRun(const Job&, const DispatchStep&, Task&, const std::string& sidecar, Milliseconds projected, Milliseconds now);
    void endLostRuns(const std::string& sidecar, Link&, Milliseconds now);
    // Calls the visitor with the name of each run of the job at a sidecar and the link to that sidecar.
    template <typename Visit>
    void forEachRunAtSidecar(std::uint64_t id, const Job&, Visit);
    // Ends a job that cannot be finished: as refused if it has not begun, otherwise as unfinished.
    void giveUp(std::uint64_t id, std::string_view whenBegun, std::string_view otherwise, Milliseconds now);
    void endJob(std::uint64_t id, DispatchEndKind, std::string reason, Milliseconds retryAfter);
    // Gives up all jobs when the process was paused for too long.
    void detectPause(Milliseconds now);
    void checkJobs(Milliseconds now);
    // Recalls the runs of a job that sidecars have not started yet.
    void recall(std::uint64_t id, Job&);
    void checkLinks(Milliseconds now);
    void flush(Milliseconds now);

    JobDispatcherOptions m_options;
    mutable std::mt19937_64 m_random;
    std::uint64_t m_lastId { 0 };
    std::map<std::uint64_t, Job> m_jobs;
    // Waiting jobs by effective deadline.
    std::set<std::pair<Milliseconds, std::uint64_t>> m_queue;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_byName;
    std::map<std::uint64_t, std::uint64_t> m_submissions;
    // Number of runs of ended jobs that may still be in flight, by job name.
    std::map<std::string, std::size_t> m_runsOfEndedJobs;
    std::map<std::string, Link> m_links;
    // By job, step and index of a task: the sidecars whose minion may run it, and until when; see UnsettledTask.
    std::map<std::string, std::map<std::pair<std::uint32_t, std::uint32_t>, std::map<std::string, Milliseconds>>> m_unsettled;
    Milliseconds m_unsettledPrunedAt {};
    // When no sidecar was heard last, as at the start: losses of entries may have gone unnoticed.
    Milliseconds m_blindAt;
    bool m_isBlind { true };
    // The sidecars of the deployment; empty while they are not known.
    std::set<std::string> m_members;
    std::optional<Milliseconds> m_membersKnownAt;
    // Entries of the deployment, 0 while not known; the most of former views, and until when they count.
    std::size_t m_knownEntries { 0 };
    std::size_t m_formerEntries { 0 };
    Milliseconds m_formerEntriesUntil {};
    JobGrants m_grants;
    // Losses of entries, each less than maxLostEntryRunTime after the one before: the first one, and until when runs may go on after the last.
    Milliseconds m_entriesLostSince {};
    Milliseconds m_lostRunsUntil {};
    bool m_isHolding { false };
    // Until when jobs are held; in the past while every sidecar is heard.
    Milliseconds m_holdUntil {};
    std::map<std::string, MinionHealth> m_health;
    // By service; empty unless `placesBySpeed`.
    std::map<std::string, MinionSpeeds> m_speeds;
    // By service; empty unless `separatesInterference`.
    std::map<std::string, RivalQueues> m_rivals;
    // By digest.
    std::map<std::uint64_t, std::string> m_queueNames;
    // Run time over estimate, in thousandths, by queue.
    std::map<std::string, RunTimes> m_estimateError;
    // When an error was recorded last, by queue.
    std::map<std::string, Milliseconds> m_estimateErrorAt;
    std::set<std::string> m_dataCentresOut;
    // Mean CPU need of the placed tasks, in thousandths of a core.
    std::int64_t m_meanCpu { 1'000 };
    Milliseconds m_lastCallAt {};
    // As given to act().
    std::optional<std::uint64_t> m_lastConfirmed;
    bool m_awaitsCallerNews { false };
    // Set while tasks wait because the news of their callers is old.
    std::optional<Milliseconds> m_newsOldSince;
    // Set while the entry stops.
    std::optional<Milliseconds> m_finishBy;
    // Cache of acceptingCpuMillis(); cleared when a minion starts or stops accepting work.
    mutable std::map<std::string, std::int64_t> m_acceptingCpuMillis;
    DispatchActions m_actions;
};

} // namespace oleanderport
