#pragma once

#include "policy/MinionHealth.h"
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

// One step of a best-effort job: `count` like tasks.
struct DispatchStep {
    std::uint32_t count { 1 };
    // Of each task; the run time is the caller's estimate.
    TaskNeeds needs;
    // Steps that must have ended well before this one begins.
    std::vector<std::uint32_t> after;
    // Label that the minion must have; empty when any will do.
    std::string requiredLabel;
    std::string preferredRack;
    // Most tasks of the step on one minion; 0 means no bound.
    std::int64_t maxPerMinion { 0 };
};

// A best-effort job as its queue and its caller describe it.
struct DispatchJob {
    // Unique among all jobs of the deployment; a job that is submitted again has the same name.
    std::string name;
    std::string payload;
    QueueConfig queue;
    // The caller waits until then.
    Milliseconds deadline {};
    std::vector<DispatchStep> steps;
};

enum class DispatchEndKind {
    // Every task has ended well.
    Completed,
    // A task has failed as often as its queue allows.
    Failed,
    // Nothing of it has started, and nothing will.
    Refused,
    // It was begun and could not be finished in time. Nothing of it runs any more, or it ends within the leases.
    Unfinished,
};

std::string_view dispatchEndKindName(DispatchEndKind);

struct DispatchEnd {
    std::uint64_t submission { 0 };
    DispatchEndKind kind { DispatchEndKind::Refused };
    std::string reason;
    // When the caller may come back; zero when that is unknown.
    Milliseconds retryAfter {};
    // What became of it: runs that were sent, those after the first of a task, the sidecars that had any, and the time
    // until the first was sent.
    std::size_t runs { 0 };
    std::size_t retries { 0 };
    // Runs that sidecars gave back for want of room; not counted above.
    std::size_t givenBack { 0 };
    std::vector<std::string> sidecars;
    Milliseconds waited {};
};

// A run that did not end well.
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

struct DispatchActions {
    std::vector<FrameToSidecar> frames;
    std::vector<DispatchEnd> ends;
    std::vector<FailedRun> failedRuns;
    // Sidecars whose stream has gone silent: close it and connect anew.
    std::vector<std::string> reconnect;
};

struct JobDispatcherOptions {
    // Life of this entry, unlike any other.
    std::string incarnation;
    std::string dataCentre;
    // A stream on which nothing came for this long is given up: while runs are at the sidecar, and otherwise. Both are
    // several heartbeats of the sidecar.
    Milliseconds busyStreamTimeout { 600 };
    Milliseconds idleStreamTimeout { 1'100 };
    // Runs at a sidecar that was not heard for this long have ended: its lease for this entry, the minion's lease with
    // the drift of clocks, and the time that a stop takes.
    Milliseconds lostAfter { 1'650 };
    // An entry that stood still for this long gives up the jobs that it held: their runs have been stopped, and their
    // callers may have submitted them elsewhere. Less than the time after which a caller submits a job again.
    Milliseconds pauseThreshold { 1'100 };
    // With jobs, an entry looks at the time at least this often, so that it notices that it stood still.
    Milliseconds pauseCheckPeriod { 300 };
    // A frame with nothing but the echo follows at most this often.
    Milliseconds minEchoInterval { 100 };
    // Part of a minion's room, in hundredths, that all entries together may send beyond what is free, so that the next
    // run starts without a round trip when one ends.
    std::int64_t prefetchPercent { 0 };
    // Weight of chance in the choice of a minion, relative to its free share.
    double jitterWeight { 0.1 };
    // Frames that only tell of a minion's room arrive at most this often, from all sidecars together. More often is
    // better placed, and costs an entry its processor.
    std::int64_t maxStateFramesPerSecond { 600 };
    // Sidecars of the deployment.
    std::size_t sidecars { 1 };
    // Entries of the deployment. Each counts on its share of the minions when it estimates a wait.
    std::size_t entries { 1 };
    // Jobs of a lower priority wait this much longer, for each step of priority.
    Milliseconds priorityDelay { 300 };
    // A job counts as able to meet its objective while this many hundredths of its expected run, and so much more, fit
    // before it: the last of several tasks ends later than the mean one.
    std::int64_t onTimeRunPercent { 115 };
    Milliseconds onTimeMargin { 30 };
    // Part of a service's room, in hundredths, that is left to jobs of priority 0: they are wide, and wait for much room
    // to come free at once.
    std::int64_t reservePercent { 7 };
    // A job that has not been begun is refused once it cannot end within this many hundredths of its latency objective:
    // while minions are busy with other work, and while there is none that takes any. In the first case it would only
    // make others late; in the second it costs nobody anything.
    std::int64_t busyCutoffPercent { 100 };
    std::int64_t idleCutoffPercent { 300 };
    // Shortest time that a job may wait before it is refused for being late, whatever its objective; some round trips.
    Milliseconds minQueueTime { 90 };
    // For each task that waits, so many sidecars are asked to tell of room.
    std::size_t sidecarsAskedPerTask { 2 };
    // Least and largest time after which a refused caller is asked to come back.
    Milliseconds minRetryAfter { 1'000 };
    Milliseconds maxRetryAfter { 8'000 };
    // When the entry started. Until its sidecars have had time to connect, none is taken as absent.
    Milliseconds startedAt {};
    std::uint64_t seed { 0 };
};

// Queues the best-effort jobs of one entry, places their tasks on minions, tries failed ones again and ends each job.
// Jobs wait in order of their latency objective, with less urgency for a lower priority; those that can no longer meet
// it wait behind those that can, so that a backlog after a burst or an outage does not make every later job late as
// well. One that cannot be of use any more, or that by the work ahead of it will not, is refused at once, as long as
// nothing of it has started.
class JobDispatcher {
public:
    explicit JobDispatcher(JobDispatcherOptions);

    // Takes in a job. Its end follows from act(), also when it is refused. A job of the same name and queue that is
    // under way is joined: both submissions end alike.
    std::uint64_t submit(const DispatchJob&, Milliseconds now);
    // The caller of this submission has gone. The job is stopped when nobody else waits for it.
    void abandon(std::uint64_t submission);
    // Stops the job and ends all its submissions as unfinished. False when it is not here.
    bool cancel(const std::string& queue, const std::string& name);

    // The stream to a sidecar is open; the next frame to it is its first.
    void connected(const std::string& sidecar, Milliseconds now);
    void disconnected(const std::string& sidecar);
    // False when nothing follows from the frame now, so that act() need not be called.
    bool received(const std::string& sidecar, const SidecarFrame&, Milliseconds now);

    void setDataCentresOut(const std::vector<std::string>& names);
    void setDeploymentSize(std::size_t entries, std::size_t sidecars);

    // `allFramesRead` tells that whatever has arrived was taken in before. Only then is the silence of a sidecar its own, and
    // not that of a busy entry.
    DispatchActions act(Milliseconds now, bool allFramesRead = true);
    std::optional<Milliseconds> nextDue() const;

    // Jobs of a queue for which no task has started.
    std::size_t pending(const std::string& queue) const;
    std::size_t jobs() const { return m_jobs.size(); }
    std::size_t runsAt(const std::string& sidecar) const;

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
        // Sidecars at which a run ended badly.
        std::vector<std::string> failedAt;
        // Sidecar at which a run was ended as stuck although it made progress.
        std::string slowAt;
    };
    struct Job {
        DispatchJob spec;
        std::vector<std::uint64_t> submissions;
        std::vector<std::vector<Task>> tasks;
        std::size_t waiting { 0 };
        std::size_t unfinishedTasks { 0 };
        std::size_t atSidecars { 0 };
        // A run of it may have started.
        bool mayHaveRun { false };
        // Its runs were asked back.
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
        // Orders jobs; see JobDispatcher.
        Milliseconds effectiveDeadline {};

        // A run of it may have started, so it can no longer be refused.
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
    struct Link {
        bool connected { false };
        // The first frame of the stream has been sent, and answered.
        bool handshakeDone { false };
        bool known { false };
        std::string incarnation;
        Milliseconds clock {};
        // Value of `clock` that the sidecar was told last.
        Milliseconds lastEcho {};
        Milliseconds lastReceivedAt {};
        // The present stream was opened or heard then.
        Milliseconds lastActiveAt {};
        Milliseconds sentAt {};
        std::uint64_t framesSent { 0 };
        std::uint64_t endsSeen { 0 };
        std::uint64_t endsAcknowledged { 0 };
        MinionState state;
        std::vector<SentNeeds> sent;
        // A place without job (0) belongs to a job that has ended here.
        std::map<RunName, TaskPlace> outstanding;
        EntryFrame next;
        bool hasNext { false };
        // It was asked to tell when so much is free, in thousandths of a core; 0 when it was not.
        std::int64_t wantedCpuMillis { 0 };
    };

    SessionId healthId(const std::string& sidecar) const { return { .instance = sidecar, .incarnation = 0 }; }
    MinionHealth& healthOf(const std::string& service) { return m_health.try_emplace(service, MinionHealthOptions {}).first->second; }
    void applyState(const std::string& sidecar, Link&, const MinionState&);
    // Whether runs for the service may be sent there.
    bool acceptsRuns(const Link&, const std::string& service) const;
    // How long the stream to a sidecar may be silent.
    Milliseconds streamTimeout(const Link&) const;
    Milliseconds expectedRun(const QueueConfig&, const TaskNeeds&) const;
    // As short as the newest runs of the queue's tasks were at best.
    Milliseconds shortestRun(const QueueConfig&, const TaskNeeds&) const;
    using RunEstimate = Milliseconds (JobDispatcher::*)(const QueueConfig&, const TaskNeeds&) const;
    // Run time of the longest chain of steps that wait for each other.
    Milliseconds longestChain(const DispatchJob&, RunEstimate) const;
    Milliseconds expectedChain(const DispatchJob&, Milliseconds now) const;
    // Until when the job is of use as things are now.
    Milliseconds cutoff(const Job&) const;
    std::optional<std::string> refusal(const Job&, Milliseconds now) const;
    Milliseconds expectedWait(const Job&, Milliseconds now) const;
    Milliseconds retryAfter(const Job&, Milliseconds now);
    // Whether the job can still end within its latency objective, or has been begun.
    bool canMeetObjective(const Job&, Milliseconds now) const;
    bool isStepOpen(const Job&, const DispatchStep&) const;
    bool waitsForEndedJob(const Job&) const;
    std::int64_t expectedSlots(const TaskNeeds& capacity) const;
    std::int64_t acceptingCpuMillis(const std::string& service) const;
    bool needsEcho(const Link&, Milliseconds now) const;
    void place(Milliseconds now);
    std::vector<PlacementCandidate> candidates(const std::string& service, Milliseconds now);
    // What is free there by the last report, less what was sent since.
    static TaskNeeds freeAt(const Link&);
    // Asks sidecars to tell of room as soon as there is some, a few for each task that waits. Answers the load at which no
    // minion is known to have room: news that come by themselves are as old as most tasks are long.
    void requestStateUpdates(const std::string& service);
    // Whether more is free than what is left to jobs of priority 0.
    bool exceedsReserve(const std::vector<PlacementCandidate>&) const;
    bool placeJob(std::uint64_t id, Job&, std::vector<PlacementCandidate>&, Milliseconds now);
    void send(std::uint64_t id, Job&, std::uint32_t step, std::uint32_t index, const std::string& sidecar, Milliseconds now);
    void applyEnd(Link&, const std::string& sidecar, const RunEnd&, Milliseconds now);
    void runEnded(const std::string& sidecar, const TaskPlace&, const RunEnd&, Milliseconds now);
    // The task waits for a minion again.
    void requeueTask(std::uint64_t id, Job&, Task&);
    void learnRunTime(const Job&, const DispatchStep&, Milliseconds ranFor);
    // Learns from a run that was ended as stuck while it made progress.
    void learnFromSlowRun(const Job&, const DispatchStep&, Task&, const std::string& sidecar, Milliseconds projected);
    void endLostRuns(const std::string& sidecar, Link&, Milliseconds now);
    // Calls with the name of each run of the job that is at a sidecar, and the link to it.
    template <typename Visit>
    void forEachRunAtSidecar(std::uint64_t id, const Job&, Visit);
    // Ends a job that cannot be finished: as refused while nothing of it has begun.
    void giveUp(std::uint64_t id, std::string_view whenBegun, std::string_view otherwise, Milliseconds now);
    void endJob(std::uint64_t id, DispatchEndKind, std::string reason, Milliseconds retryAfter);
    // Gives up what was held before the process stood still.
    void detectPause(Milliseconds now);
    void checkJobs(Milliseconds now);
    // Takes back runs of a job that no sidecar has started yet.
    void recall(std::uint64_t id, Job&);
    void checkLinks(Milliseconds now);
    void flush(Milliseconds now);

    JobDispatcherOptions m_options;
    mutable std::mt19937_64 m_random;
    std::uint64_t m_lastId { 0 };
    std::map<std::uint64_t, Job> m_jobs;
    // Waiting jobs in their order.
    std::set<std::pair<Milliseconds, std::uint64_t>> m_queue;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_byName;
    std::map<std::uint64_t, std::uint64_t> m_submissions;
    // Runs of ended jobs that may still be under way, by name of the job.
    std::map<std::string, std::size_t> m_runsOfEndedJobs;
    std::map<std::string, Link> m_links;
    std::map<std::string, MinionHealth> m_health;
    // Run time over estimate, in thousandths, by queue.
    std::map<std::string, RunTimes> m_estimateError;
    std::set<std::string> m_dataCentresOut;
    // Mean processor need of the tasks that were placed, in thousandths of a core.
    std::int64_t m_meanCpu { 1'000 };
    Milliseconds m_lastCallAt {};
    // What acceptingCpuMillis() found; emptied when a minion begins or ceases to take work.
    mutable std::map<std::string, std::int64_t> m_acceptingCpuMillis;
    DispatchActions m_actions;
};

} // namespace oleanderport
