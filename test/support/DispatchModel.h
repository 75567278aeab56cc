#pragma once

#include "policy/JobDispatcher.h"
#include "policy/RunTable.h"

#include <fmt/format.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleanderport {

struct DispatchModelOptions {
    int entries { 3 };
    int sidecars { 4 };
    // Capacity of each minion.
    TaskNeeds capacity { .cpuMillis = 64'000, .memoryMb = 131'072 };
    // Every n-th minion has one and a half times the CPU capacity; 0 for none.
    int largerEvery { 0 };
    // Run times on the minions in percent of those of the queue, by number modulo the length; alike when empty.
    std::vector<std::int64_t> runTimePercents;
    // Runs of `queue` take this many percent of their time when a task of `beside` runs on the minion as they start.
    struct Interference {
        std::string queue;
        std::string beside;
        std::int64_t runTimePercent { 100 };
    };
    std::vector<Interference> interference;
    // One-way network latency between an entry and a sidecar.
    Milliseconds delay { 1 };
    // Latency between a sidecar and its minion.
    Milliseconds localDelay { 0 };
    // Maximum wait for a minion's answer to a request, as in the adapter.
    Milliseconds orderTimeout { 35 };
    std::uint64_t seed { 1 };
    JobDispatcherOptions dispatcher;
    RunTableOptions runs;
};

// Faults of calls between a sidecar and its minion on a heavily loaded machine. Each call and each answer has its own delay,
// so they can overtake each other. Percentages are of all calls.
struct BusyMinions {
    // Calls or answers that are delayed by 10 to 300 ms, and by two seconds or more. All others take up to 4 ms.
    int slowPercent { 0 };
    int verySlowPercent { 0 };
    // Calls that never reach the minion, and calls that are carried out but whose answer is lost.
    int lostCallPercent { 0 };
    int lostAnswerPercent { 0 };
    // Start requests that the minion refuses as unhealthy, and lists with unreadable rows.
    int unhealthyPercent { 0 };
    int partialListPercent { 0 };
    // Calls in flight to one incarnation of a minion are carried out by the next.
    bool callsOutliveMinions { false };
    // Maximum time that a stopped run takes to end.
    Milliseconds stopGrace { 50 };
};

// A queue and the tasks of its jobs, as the users describe those of their deployments.
struct ModelQueue {
    QueueConfig config;
    std::uint32_t tasks { 1 };
    TaskNeeds needs;
    // Real run time of a task in thousandths of its estimate.
    std::int64_t realRunThousandths { 1'000 };
    // Every run of the queue's jobs fails.
    bool failing { false };
};

struct ModelOutcome {
    std::string job;
    std::string queue;
    Milliseconds arrived {};
    Milliseconds endedAt {};
    // Absent while the job is in progress, and when the caller left.
    std::optional<DispatchEndKind> kind;
    // The caller abandoned the job or lost its connection at `endedAt`.
    bool left { false };
    int entry { 0 };
    std::string reason;
    Milliseconds retryAfter {};
    // Time that an ideal system would have needed.
    Milliseconds ideal {};
    Milliseconds objective {};
};

// Simulates entries, sidecars and minions with the production JobDispatcher and RunTable under a virtual clock. Minions follow
// the rules of sidecar/MinionPort.h: leases, run numbers, capacity, and ends that are listed until acknowledged. Tests inject
// the faults. The model checks that no task runs twice at the same time on minions that are up, and records jobs that
// were answered as refused although one of their tasks started.
class DispatchModel {
public:
    explicit DispatchModel(const DispatchModelOptions&);
    ~DispatchModel();
    DispatchModel(const DispatchModel&) = delete;
    DispatchModel& operator=(const DispatchModel&) = delete;

    Milliseconds now() const { return m_now; }
    void runFor(Milliseconds);
    // Schedules a call at that time.
    void at(Milliseconds, std::function<void()>);

    // Submits a job at an entry and returns the index of its outcome.
    std::size_t submit(int entry, const ModelQueue&, const std::string& job, Milliseconds patience);
    PlacementExplanation explain(int entry, const ModelQueue&, Milliseconds patience);
    void abandon(std::size_t outcome);
    void cancel(int entry, const ModelQueue&, const std::string& job);
    const std::vector<ModelOutcome>& outcomes() const { return m_outcomes; }
    const ModelOutcome& outcome(std::size_t index) const { return m_outcomes.at(index); }

    // Pauses a process; afterwards it handles everything that arrived meanwhile.
    void freezeEntry(int, Milliseconds duration);
    void freezeSidecar(int, Milliseconds duration);
    // Restarts a process; its state is lost.
    void restartEntry(int);
    void restartSidecar(int);
    // Interrupts the network between both. Streams report no error, only silence; they deliver held messages after the cut
    // unless they were closed meanwhile.
    void cut(int entry, int sidecar, Milliseconds duration);
    // Breaks the stream: both sides see the failure, and messages in flight are lost.
    void reset(int entry, int sidecar);
    void crashMinion(int, Milliseconds duration);
    // Multiplies the run time of each run that starts from now on.
    void slowMinion(int, std::int64_t times);
    // Runs fail with this probability.
    void failMinion(int, double share);
    // Runs that start while set never finish by themselves.
    void hangMinion(int, bool hangs);
    // Requests get no answer and are carried out seconds later, with this probability.
    void delayOrders(double share);
    // Takes effect from now on and replaces delayOrders().
    void busyMinions(const BusyMinions&);
    // Pauses the minion's handling of calls; its runs and its lease continue. Only with busyMinions().
    void pauseMinion(int, Milliseconds duration);
    // Restarts the minion immediately under the same address; its state is lost.
    void restartMinion(int);
    void takeOut(int sidecar, bool out);

    // Cases in which a task ran twice at the same time, one line each.
    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t starts() const { return m_starts; }
    // Jobs of which a task started, before or after the answers, although every submission was answered as refused.
    std::vector<std::string> refusedButStarted() const;
    // Trace of a job: one line for each request, answer and end. Recorded only with busyMinions().
    std::string story(const std::string& job) const;
    // CPU time of runs that did not succeed, in core milliseconds.
    double wastedCoreMs() const { return m_wastedCoreMs; }
    std::size_t running(int sidecar) const;
    std::size_t runsAt(int entry, int sidecar) const;
    // Pairs of queues that an entry keeps apart.
    std::size_t pairsKeptApart(int entry) const;
    // Number of jobs that an entry still tracks, and of runs that a sidecar does.
    std::size_t jobsAt(int entry) const;
    std::size_t liveRunsAt(int sidecar) const;
    std::size_t queuedRunsAt(int sidecar) const;
    // Number of callers that wait at an entry for an answer.
    std::size_t waitingCallersAt(int entry) const;
    // Capacity in use at the minion, as last reported by its sidecar to entries.
    TaskNeeds usedAt(int sidecar) const;

private:
    struct Entry;
    struct Sidecar;
    struct Minion;
    struct Link;
    // A list request that waits for a run to end. `open` is true until the sidecar has received the answer or timed out;
    // set only with busyMinions().
    struct WaitingList {
        ListRuns asked;
        Milliseconds askedAt {};
        std::shared_ptr<bool> open;
    };
    struct Event {
        Milliseconds at {};
        std::uint64_t order { 0 };
        std::function<void()> call;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    Link& link(int entry, int sidecar);
    void connect(int entry, int sidecar);
    void disconnect(int entry, int sidecar);
    void actEntry(int);
    void actSidecar(int);
    void perform(int entry, const DispatchActions&);
    void perform(int sidecar, RunActions);
    void toSidecar(int entry, int sidecar, const EntryFrame&);
    void toEntry(int sidecar, int entry, const SidecarFrame&);
    void report(int sidecar);
    TaskNeeds capacityOf(int minion) const;
    void sendRequest(int sidecar, const std::function<void(bool answer)>& carryOut);
    // Delays and losses of calls and answers with busyMinions().
    Milliseconds drawDelay();
    bool drawPercent(int percent);
    void atSidecar(int sidecar, int generation, const std::function<void()>&);
    void callMinion(int sidecar, const std::function<void()>& carryOut);
    void answerFrom(int sidecar, int generation, const std::function<void()>& take);
    void listBusy(int sidecar, const ListRuns&);
    // Adds a line to the trace of a job, only with busyMinions().
    template <typename... Args>
    void trace(const std::string& job, fmt::format_string<Args...> text, Args&&... args)
    {
        if (m_busy)
            m_traces[job] += fmt::format("{} ms: {}\n", m_now.count, fmt::format(text, std::forward<Args>(args)...));
    }
    StartAnswer start(int sidecar, const StartRun&, Milliseconds leaseEnd);
    bool stop(int sidecar, const StopRun&);
    void list(int sidecar, const ListRuns&, Milliseconds askedAt);
    void answerList(int sidecar, const WaitingList&);
    RunList runList(int sidecar);
    void dropRows(RunList&);
    void endRun(int sidecar, const RunName&, ListedEndKind);
    void recordDoubleRuns(int sidecar, const RunName&);
    void expireLease(int sidecar);

    DispatchModelOptions m_options;
    Milliseconds m_now { 100'000 };
    std::uint64_t m_lastOrder { 0 };
    std::uint64_t m_lastIncarnation { 0 };
    std::mt19937_64 m_random;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<Sidecar>> m_sidecars;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::map<std::pair<int, int>, Link> m_links;
    std::vector<ModelOutcome> m_outcomes;
    std::map<std::string, ModelQueue> m_queueOfJob;
    std::vector<std::string> m_violations;
    std::size_t m_starts { 0 };
    double m_wastedCoreMs { 0 };
    double m_delayedRequestShare { 0 };
    std::optional<BusyMinions> m_busy;
    std::set<std::string> m_started;
    std::map<std::string, std::string> m_traces;
};

} // namespace oleanderport
