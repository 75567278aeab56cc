#pragma once

#include "wire/DispatchMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderport {

// What a minion says of itself. `born` is the unix time of its start and tells its lives apart.
struct MinionReport {
    Milliseconds born {};
    // Rises with each report of one life.
    std::uint64_t sequence { 0 };
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    TaskNeeds capacity;
    // It takes nothing further and ends when what it runs has ended.
    bool leaving { false };
};

// How a minion took an order to start a run.
enum class StartAnswer {
    Started,
    // Nothing was done; the same run may be tried again.
    NoRoom,
    Unhealthy,
    // Nothing was done, since the minion has seen a run of this task with this or a higher number.
    Superseded,
    // Nothing was done, for another reason.
    Refused,
    // No answer came: the order may be carried out later.
    Unknown,
};

enum class ListedEndKind {
    Done,
    Failed,
    // Stopped by order, by a lapsed lease, or by another cause outside the task.
    Stopped,
};

struct ListedRun {
    RunName run;
    int percent { 0 };
};

struct ListedEnd {
    // Counts the ends of one life of the minion.
    std::uint64_t number { 0 };
    RunName run;
    ListedEndKind kind { ListedEndKind::Stopped };
};

// What a minion runs and what has ended there.
struct RunList {
    Milliseconds born {};
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    // False when there may be runs or ends that it does not show. Nothing follows from what is absent then.
    bool isRunningWhole { true };
    bool isEndedWhole { true };
};

// Orders to the minion. `lease` is how long from now on the minion may go on running without hearing again.
struct StartRun {
    RunName run;
    std::string payload;
    Milliseconds lease {};
};

struct StopRun {
    RunName run;
};

struct ListRuns {
    // Renews the lease of everything that runs there when set.
    std::optional<Milliseconds> lease;
    // Ends up to this number are forgotten by the minion.
    std::uint64_t endsSeen { 0 };
    // The answer may wait so long for an end.
    Milliseconds wait {};
};

struct OutgoingFrame {
    std::string entry;
    SidecarFrame frame;
};

// What became of an order to start a run that the minion had not answered in time.
struct SettledStart {
    RunName run;
    StartEvidence evidence { StartEvidence::Requested };
};

struct RunActions {
    std::vector<StartRun> starts;
    std::vector<StopRun> stops;
    std::optional<ListRuns> list;
    std::vector<OutgoingFrame> frames;
    // For the log.
    std::vector<SettledStart> settledStarts;
};

struct RunTableOptions {
    // Life of this sidecar, unlike any other.
    std::string incarnation;
    std::string dataCentre;
    // An entry that has not been heard for this long is taken as gone: its runs are stopped. With the minion's lease it
    // bounds how long a run outlives its entry, which must be less than a caller waits before it submits again.
    Milliseconds entryLease { 700 };
    // Lease that each order gives to the minion. At most what the minion allows.
    Milliseconds minionLease { 800 };
    // Longest that a list of runs waits for an end. Several fit in one lease, so that a lost answer costs no run.
    Milliseconds listWait { 60 };
    // A second list is asked for once the first has not been answered for this long: when its answer is lost, ends are
    // learned from the second.
    Milliseconds secondListAfter { 30 };
    // For this long after a list without an answer, lists wait only `minListInterval` for an end, and so many may be open: what is lost is asked for sooner.
    Milliseconds listLossPeriod { 500 };
    int maxOpenListsAfterLoss { 4 };
    Milliseconds nextListAfterLoss { 10 };
    // Least time between two lists, so that ends are gathered.
    Milliseconds minListInterval { 6 };
    // A stop without an answer is sent again after this time; one that is known not to be answered, this long after it was sent.
    Milliseconds stopRetryDelay { 150 };
    Milliseconds failedStopRetryDelay { 30 };
    // A run whose stop was answered this long before a list was asked for has ended if that does not show it as running,
    // also when the list is not whole.
    Milliseconds stopSettleTime { 1'000 };
    // An entry with runs here hears at least this often.
    Milliseconds heartbeatInterval { 200 };
    // The same for an entry without runs. Shorter than `entryLease`, so that an order after a pause is never stale.
    Milliseconds idleHeartbeatInterval { 450 };
    // Room that an entry was told of is not offered to another for this long: a round trip.
    Milliseconds offerTimeout { 5 };
    // Wait before a run is tried again at a minion that had no room or was unhealthy.
    Milliseconds startRetryDelay { 40 };
    // A minion that has answered nothing for this long since a first call was not answered is silent: no run starts there, and orders are not sent again.
    Milliseconds unresponsiveAfter { 250 };
    // An order without an answer is sent again at once so many times, then with a pause that doubles up to the longest.
    int immediateResends { 8 };
    Milliseconds initialResendBackoff { 20 };
    Milliseconds maxResendBackoff { 160 };
    // A run is stuck once it is expected to take this many times its estimate, and `minStuckTime` at least.
    std::int64_t stuckFactor { 4 };
    Milliseconds minStuckTime { 300 };
};

// Decides what runs on one minion for the best-effort jobs of all entries. A run starts only for an entry that was
// heard within its lease, and ends when the entry is gone, the job's time is over or the entry says so. The end of a run
// is told only once the minion can no longer be running it. Time is an argument and never goes back.
class RunTable {
public:
    RunTable(RunTableOptions, Milliseconds now);

    // The first frame of a new stream of this entry, and each later one.
    void opened(const EntryFrame&, Milliseconds now);
    void received(const std::string& entry, const EntryFrame&, Milliseconds now);
    void closed(const std::string& entry);

    // False when the report is older than one that was taken in.
    bool reported(const MinionReport&, Milliseconds now);
    // The minion is about to leave for good: stops what runs there and takes nothing further.
    void minionLeaves(Milliseconds now);
    // The minion has ended.
    void minionGone(Milliseconds now);

    void startAnswered(const RunName&, StartAnswer, Milliseconds now);
    void stopAnswered(const RunName&, bool answered, Milliseconds now);
    // `asked` is the request that was answered, `askedAt` when it was made.
    void listed(const RunList&, const ListRuns& asked, Milliseconds askedAt, Milliseconds now);
    void listFailed(Milliseconds now);

    // Until when this sidecar may start anything, and whether its data centre is in service.
    void permit(Milliseconds until, bool inService) { m_permittedUntil = until, m_inService = inService; }
    // Nothing further is taken.
    void beginLeaving() { m_leaving = true; }

    // Whether what permitted an order to start this run still holds. An order may have waited since, or its process been paused.
    bool mayStillStart(const RunName&, Milliseconds now) const;

    // What to do now. Call after any of the above.
    RunActions act(Milliseconds now);
    // When act() has to be called again at the latest; nothing while nothing is due.
    std::optional<Milliseconds> nextDue(Milliseconds now) const;

    std::size_t liveRuns() const { return m_byMinionName.size(); }
    std::size_t queuedRuns() const { return m_runs.size() - m_byMinionName.size(); }
    bool isReady() const { return m_phase == Phase::Ready; }
    // Every end has been taken in by its entry.
    bool isSettled() const;

private:
    enum class Phase {
        // No minion is known.
        Absent,
        // Runs of a former life of this sidecar may still be there.
        Clearing,
        Ready,
    };
    enum class State {
        Queued,
        Starting,
        Running,
        Stopping,
    };
    // A run as its entry names it.
    using RunKey = std::pair<std::string, RunName>;
    struct TaskKey {
        std::string job;
        std::uint32_t step { 0 };
        std::uint32_t index { 0 };
        auto operator<=>(const TaskKey&) const = default;
    };
    struct StopRequest {
        std::optional<Milliseconds> sentAt;
        // It is known not to be answered.
        bool hasFailed { false };
    };
    struct Run {
        State state { State::Queued };
        RunRequest request;
        // The name under which the minion runs it; its number may be higher than the entry's.
        RunName minionName;
        Milliseconds queuedAt {};
        Milliseconds notBefore {};
        Milliseconds startedAt {};
        // The minion has said then that it runs.
        Milliseconds confirmedAt {};
        Milliseconds listedAt {};
        int percent { 0 };
        StartEvidence evidence { StartEvidence::NotRequested };
        // Orders for this run that got no answer in time. Each may still be carried out, until a stop is answered.
        int unansweredStarts { 0 };
        // When the order is sent again.
        std::optional<Milliseconds> resendAt;
        // Of a run that is being stopped: Stopped or Stuck, if it had started.
        RunEndKind endAs { RunEndKind::Stopped };
        StopRequest stopRequest;
        std::optional<Milliseconds> stopAnsweredAt;
    };
    struct LastRun {
        std::uint64_t run { 0 };
        Milliseconds at {};
    };
    struct Entry {
        bool connected { false };
        Milliseconds echo {};
        std::uint64_t framesSeen { 0 };
        std::uint64_t lastEnd { 0 };
        std::deque<RunEnd> unseenEnds;
        // Runs that the entry believes to be here and that this life does not know.
        std::vector<RunName> unknownRuns;
        // Number of the last end that was sent on the present stream.
        std::uint64_t sentEnd { 0 };
        Milliseconds sentAt {};
        std::size_t runs { 0 };
        bool handshakeSent { false };
        bool stateChanged { true };
        // The whole state was sent on the present stream, and only `used` and `accepting` may differ since.
        bool hasWholeState { false };
        Milliseconds stateGap {};
        // It wants to hear once so much of a processor is free, and since when; see EntryFrame.
        std::int64_t wantedCpuMillis { 0 };
        Milliseconds wantedSince {};
        // It hears of the room at once.
        bool isOffered { false };
    };
    // Room that an entry was told of and may be sending a task for.
    struct Offer {
        std::string entry;
        std::int64_t cpuMillis { 0 };
        Milliseconds until {};
    };

    void applyStops(const std::string& entry, const EntryFrame&, Milliseconds now);
    void endUnknownRuns(Milliseconds now);
    static TaskKey taskOf(const RunName& run) { return { run.job, run.step, run.index }; }
    bool mayStart(Milliseconds now) const;
    // A call to the minion was answered, or not in time.
    void recordAnswer(bool answered, Milliseconds now);
    bool isUnresponsive(Milliseconds now) const { return m_unansweredSince && now >= *m_unansweredSince + m_options.unresponsiveAfter; }
    bool isStale(const Entry&, Milliseconds now) const;
    // `isFresh` tells that the order is no older than the entry's lease.
    void take(const std::string& entry, const RunRequest&, const RequestedTask&, bool isFresh, Milliseconds now);
    // Ends a run as not started when that is proven, otherwise as given.
    void end(const RunKey&, RunEndKind whenStarted, Milliseconds now);
    // The run is over and its entry hears so.
    void conclude(const RunKey&, RunEndKind, Milliseconds now);
    static void stop(Run&, RunEndKind);
    void stopOtherSubmissions(const RunKey&);
    // The minion has answered the order, or lists the run or its end.
    static void recordStarted(Run&);
    void stopRunsOfFormerIncarnation();
    void endAllLive(Milliseconds now);
    void endQueued(Milliseconds now);
    void checkRun(const RunKey&, Run&, Milliseconds now) const;
    bool isStuck(const Run&, Milliseconds now) const;
    // Its time is up or its entry is gone.
    bool isOver(const RunKey&, const Run&, Milliseconds now) const;
    // How long the run takes in all, by its progress when it was listed last.
    static Milliseconds projectedRun(const Run&);
    void startQueued(RunActions&, Milliseconds now);
    void start(const RunKey&, Run&, RunActions&, Milliseconds now);
    // Orders the start of a run that the minion has not confirmed, under its name there.
    void requestStart(Run&, RunActions&, Milliseconds now);
    void resendStarts(RunActions&, Milliseconds now);
    Milliseconds resendBackoff(const Run&) const;
    void startUnanswered(Run&, Milliseconds now);
    bool fits(const TaskNeeds&) const;
    // Whether a task fits beside what runs and what waits.
    bool fitsAtOnce(const TaskNeeds&) const;
    // Tells entries that wait for room of what is free, those that have waited longest first.
    void offerRoom(Milliseconds now);
    void sendStops(RunActions&, Milliseconds now);
    Milliseconds dueAt(const StopRequest&) const;
    void listRuns(RunActions&, Milliseconds now);
    void sendFrames(RunActions&, Milliseconds now);
    bool needsList() const;
    // When the next list may be asked for; nothing while none is needed.
    std::optional<Milliseconds> nextListAt(Milliseconds now) const;
    // A list went unanswered lately.
    bool wasListLostRecently(Milliseconds now) const;
    void takeListedRuns(const RunList&, Milliseconds askedAt, Milliseconds now);
    // Whether the run has ended or never began, by a list that does not show it as running.
    bool hasEndedAtMinion(const Run&, bool listIsWhole, Milliseconds askedAt) const;
    void endRunsMissingFromList(bool listIsWhole, Milliseconds askedAt, Milliseconds now);
    // The minion may run something until the lease that it is given now ends.
    void recordLeaseGranted(Milliseconds now);
    // How often the entry hears at least.
    Milliseconds heartbeatOf(const Entry&) const;
    bool frameDue(const Entry&, Milliseconds now) const;
    MinionState state(Milliseconds now) const;
    TaskNeeds queuedNeeds() const;
    void markStateChanged();
    // What entries know of the minion itself is no longer true.
    void markMinionChanged();

    RunTableOptions m_options;
    Milliseconds m_startedAt;
    Phase m_phase { Phase::Absent };
    bool m_leaving { false };
    bool m_inService { true };
    Milliseconds m_permittedUntil {};
    MinionReport m_report;
    bool m_reachable { false };
    // Latest time at which the minion may still be running something without having heard again.
    Milliseconds m_leaseMayEndAt {};
    std::uint64_t m_endsSeen { 0 };
    std::uint64_t m_endsForgotten { 0 };
    // When a call was not answered, and none has been since.
    std::optional<Milliseconds> m_unansweredSince;
    // As entries were told.
    bool m_wasUnresponsive { false };
    // When a list that was not answered was given up last.
    std::optional<Milliseconds> m_listLostAt;
    // Lists that are not answered yet, and when the last one was asked for.
    int m_openLists { 0 };
    Milliseconds m_listAskedAt {};
    // When the newest list that was taken in had been asked for. An older one may overtake it.
    Milliseconds m_newestListAskedAt {};
    Milliseconds m_listedAt {};
    std::map<std::string, Entry> m_entries;
    std::map<RunKey, Run> m_runs;
    std::map<RunName, RunKey> m_byMinionName;
    // Runs at the minion that belong to no entry, with the stop that was sent last.
    std::map<RunName, StopRequest> m_orphans;
    std::map<TaskKey, LastRun> m_lastRuns;
    std::vector<SettledStart> m_settledStarts;
    std::vector<Offer> m_offers;
    TaskNeeds m_used;
};

} // namespace oleanderport
