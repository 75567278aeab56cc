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
    // Of each minion.
    TaskNeeds capacity { .cpuMillis = 64'000, .memoryMb = 131'072 };
    // Every so many minions one has half as much again; 0 for none.
    int largerEvery { 0 };
    // One way, between any two processes.
    Milliseconds delay { 1 };
    // Between a sidecar and its minion.
    Milliseconds localDelay { 0 };
    // Longest that an order to a minion waits for its answer, as in the adapter.
    Milliseconds orderTimeout { 35 };
    std::uint64_t seed { 1 };
    JobDispatcherOptions dispatcher;
    RunTableOptions runs;
};

// How calls between a sidecar and its minion fare on a machine with much else to do. Each call and each answer has its
// own delay, so that they overtake each other; shares are hundredths of all calls.
struct BusyMinions {
    // Take 10 to 300 ms on their way, and two seconds or more; all others up to 4 ms.
    int slowPercent { 0 };
    int verySlowPercent { 0 };
    // Never reach the minion, or are carried out without an answer.
    int lostCallPercent { 0 };
    int lostAnswerPercent { 0 };
    // Starts that an unhealthy minion turns down, and lists of which rows cannot be read.
    int unhealthyPercent { 0 };
    int partialListPercent { 0 };
    // Calls on their way to one life of a minion are carried out by the next.
    bool callsOutliveMinions { false };
    // Longest time that a stop takes.
    Milliseconds stopGrace { 50 };
};

// Kinds of work, as the deployments of the users describe theirs.
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
    // Absent while the job is under way, and for a caller that left.
    std::optional<DispatchEndKind> kind;
    // The caller did not wait for the answer, or its connection broke at `endedAt`.
    bool left { false };
    int entry { 0 };
    std::string reason;
    Milliseconds retryAfter {};
    // Time within which an ideal system would have ended it.
    Milliseconds ideal {};
    Milliseconds objective {};
};

// Entries, sidecars and minions around the real decisions, under a virtual clock. Minions keep the rules of
// sidecar/MinionPort.h: leases, run numbers, room, ends that are listed until they are seen. Faults are injected from
// outside. While it runs it checks that no task runs twice at the same time on minions that are up, and notes which jobs
// were answered as refused although a task of theirs started.
class DispatchModel {
public:
    explicit DispatchModel(const DispatchModelOptions&);
    ~DispatchModel();
    DispatchModel(const DispatchModel&) = delete;
    DispatchModel& operator=(const DispatchModel&) = delete;

    Milliseconds now() const { return m_now; }
    void runFor(Milliseconds);
    // Calls back at that time.
    void at(Milliseconds, std::function<void()>);

    // Submits a job at an entry; its outcome is at the index returned.
    std::size_t submit(int entry, const ModelQueue&, const std::string& job, Milliseconds patience);
    void abandon(std::size_t outcome);
    void cancel(int entry, const ModelQueue&, const std::string& job);
    const std::vector<ModelOutcome>& outcomes() const { return m_outcomes; }
    const ModelOutcome& outcome(std::size_t index) const { return m_outcomes.at(index); }

    // A process stands still, then goes on with all that has arrived meanwhile.
    void freezeEntry(int, Milliseconds duration);
    void freezeSidecar(int, Milliseconds duration);
    // A process ends and starts again with nothing.
    void restartEntry(int);
    void restartSidecar(int);
    // Messages between both are lost for a time; streams fail only by silence.
    void cut(int entry, int sidecar, Milliseconds duration);
    // Both sides see the stream fail, and what was on its way is lost.
    void reset(int entry, int sidecar);
    void crashMinion(int, Milliseconds duration);
    // Every run takes so many times as long.
    void slowMinion(int, std::int64_t times);
    // Runs fail with this probability.
    void failMinion(int, double share);
    // Runs that begin stand still.
    void hangMinion(int, bool hangs);
    // Orders with this probability get no answer and are carried out seconds later.
    void delayOrders(double share);
    // From now on, instead of what delayOrders() does.
    void busyMinions(const BusyMinions&);
    // The minion takes in and answers nothing, while its runs and its lease go on. With busyMinions() only.
    void pauseMinion(int, Milliseconds duration);
    // The minion ends and starts again at once, with nothing, under the same address.
    void restartMinion(int);
    void takeOut(int sidecar, bool out);

    // Times at which one task ran twice, each in a line.
    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t starts() const { return m_starts; }
    // Jobs of which every submission was answered as refused and a task has started, before or after.
    std::vector<std::string> refusedButStarted() const;
    // What became of a job, a line for each order, answer and end. Kept with busyMinions() only.
    std::string story(const std::string& job) const;
    // Processor time of runs that did not end well, in core milliseconds.
    double wastedCoreMs() const { return m_wastedCoreMs; }
    std::size_t running(int sidecar) const;
    std::size_t runsAt(int entry, int sidecar) const;
    // Jobs that an entry still holds, and runs that a sidecar does.
    std::size_t jobsAt(int entry) const;
    std::size_t liveRunsAt(int sidecar) const;
    std::size_t queuedRunsAt(int sidecar) const;
    // Callers that wait at an entry for an answer.
    std::size_t waitingCallersAt(int entry) const;
    // What is taken at the minion, as its sidecar told entries last.
    TaskNeeds usedAt(int sidecar) const;

private:
    struct Entry;
    struct Sidecar;
    struct Minion;
    struct Link;
    // A list that waits for an end. `open` until the sidecar has the answer or no longer waits for it; only with
    // busyMinions().
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
    void order(int sidecar, const std::function<void(bool answer)>& carryOut);
    // Calls and answers with busyMinions().
    Milliseconds way();
    bool drawn(int percent);
    void atSidecar(int sidecar, int generation, const std::function<void()>&);
    void callMinion(int sidecar, const std::function<void()>& carryOut);
    void answerFrom(int sidecar, int generation, const std::function<void()>& take);
    void listBusy(int sidecar, const ListRuns&);
    // Adds a line to the story of a job, with busyMinions() only.
    template <typename... Args>
    void tell(const std::string& job, fmt::format_string<Args...> text, Args&&... args)
    {
        if (m_busy)
            m_stories[job] += fmt::format("{} ms: {}\n", m_now.count, fmt::format(text, std::forward<Args>(args)...));
    }
    StartAnswer start(int sidecar, const StartRun&, Milliseconds leaseEnd);
    bool stop(int sidecar, const StopRun&);
    void list(int sidecar, const ListRuns&, Milliseconds askedAt);
    void answerList(int sidecar, const WaitingList&);
    RunList runList(int sidecar);
    void dropRows(RunList&);
    void endRun(int sidecar, const RunName&, ListedEndKind);
    void checkTwice(int sidecar, const RunName&);
    void lapse(int sidecar);

    DispatchModelOptions m_options;
    Milliseconds m_now { 100'000 };
    std::uint64_t m_lastOrder { 0 };
    std::uint64_t m_lives { 0 };
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
    double m_delayedOrders { 0 };
    std::optional<BusyMinions> m_busy;
    std::set<std::string> m_started;
    std::map<std::string, std::string> m_stories;
};

} // namespace oleanderport
