#pragma once

#include "policy/GrantTable.h"
#include "policy/RunDiagnostics.h"
#include "policy/TaskInterference.h"
#include "wire/DispatchMessages.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderport {

// Self-description of a minion. Name, address and `born`, the unix time of its start, identify its incarnation. They do not
// order incarnations: the clock of the machine may have been set back between two starts.
struct MinionReport {
    std::string name;
    std::string address;
    Milliseconds born {};
    // Increases with each report of one incarnation.
    std::uint64_t sequence { 0 };
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    TaskNeeds capacity;
    // The minion accepts no further runs and exits once its current runs have ended.
    bool leaving { false };
};

// Whether both name the same service, rack, labels and capacity. These don't change within an incarnation.
bool hasSameDescription(const MinionReport&, const MinionReport&);

// How a report relates to the incarnation that a RunTable works with.
enum class ReportStanding {
    // The same incarnation, later than all reports accepted.
    Newer,
    // The same incarnation, an earlier report that was delayed.
    Late,
    // The same incarnation, described otherwise than in a recent report: one of the two comes from another writer.
    Contradicting,
    // Another incarnation, or the first one: a former one's report may have been delayed as well. Whether the minion is there
    // now is known only from itself.
    OtherIncarnation,
};

// A minion's answer to a start request.
enum class StartAnswer {
    Started,
    // Not started; the same run may be retried.
    NoRoom,
    Unhealthy,
    // Not started: the minion has seen a run of this task with this or a higher number.
    Superseded,
    // Not started: the minion has seen a higher fencing token. The same run may be retried if this sidecar has raised it meanwhile.
    Fenced,
    // Not started, for another reason.
    Refused,
    // No answer arrived: the request may still be carried out later.
    Unknown,
};

enum class ListedEndKind {
    Done,
    Failed,
    // Stopped by a stop request, an expired lease, or another cause outside the task.
    Stopped,
};

struct ListedRun {
    RunName run;
    int percent { 0 };
};

struct ListedEnd {
    // Counts the ended runs of one incarnation of the minion.
    std::uint64_t number { 0 };
    RunName run;
    ListedEndKind kind { ListedEndKind::Stopped };
};

// Running and ended runs as listed by a minion.
struct RunList {
    Milliseconds born {};
    // When the list was made, by the minion's clock, which starts anew with each incarnation.
    std::optional<Milliseconds> madeAt;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    // False when the list may be incomplete. A run's absence from it proves nothing then.
    bool isRunningWhole { true };
    bool isEndedWhole { true };
};

// Requests to the minion. `leaseEnd` is until when, on the sidecar's clock, the minion may keep running without a renewal: a
// point in time, so that a request that is sent late grants nothing more.
struct StartRun {
    RunName run;
    std::string payload;
    Milliseconds leaseEnd {};
};

struct StopRun {
    RunName run;
};

struct ListRuns {
    // When set, renews the lease of every run at the minion.
    std::optional<Milliseconds> leaseEnd;
    // Acknowledges ended runs up to this number; the minion forgets them.
    std::uint64_t endsSeen { 0 };
    // How long the minion may hold the answer back until a run ends.
    Milliseconds wait {};
};

struct OutgoingFrame {
    std::string entry;
    SidecarFrame frame;
};

// Outcome of a run with a start request that the minion did not answer in time.
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
    RunDiagnostics diagnostics;
    std::vector<FreedGrants> freedGrants;
};

struct RunTableOptions {
    // Unique name of this sidecar's incarnation.
    std::string incarnation;
    std::string dataCentre;
    // The runs of an entry are stopped after it has been silent for this long.
    Milliseconds entryLease { 700 };
    // Longest lease granted to the minion with a start request or renewal. At most the minion's own limit.
    Milliseconds minionLease { 800 };
    // Longest lease that a minion takes from any call. A call that names a time on the clock of a former incarnation grants this.
    Milliseconds longestMinionLease { 1'000 };
    // An entry with runs here that was not heard for this long may be lost. Exceeds the longest time between its echoes: a heartbeat, and
    // the minimum interval of frames that carry only an echo.
    Milliseconds entryLateAfter { 400 };
    // No lease ends later than this after the last sign of life of any entry with runs at the minion, or after a run there was
    // abandoned, until the minion has answered its stop. Exceeds entryLease by the time that stopping a run may take, so that the
    // runs of other entries do not end with it.
    Milliseconds abandonedRunLimit { 1'150 };
    // For this long after a report, none of the same incarnation is taken that describes the minion otherwise. Spans two periods of
    // reports, so that what is reported all along prevails.
    Milliseconds descriptionHold { 4'000 };
    // Time that the minion takes to end a run.
    Milliseconds minionStopTime { 50 };
    // How long a list request may wait for a run to end. Several fit into one lease, so that a lost answer ends no run.
    Milliseconds listWait { 60 };
    // A second list is requested when the first has not been answered for this long, so that ends are still learned
    // when the first answer is lost.
    Milliseconds secondListAfter { 30 };
    // For this long after a list request went unanswered, lists wait only `minListInterval` for an end, and more of them
    // may be in flight, so that lost ends are requested sooner.
    Milliseconds listLossPeriod { 500 };
    int maxOpenListsAfterLoss { 4 };
    Milliseconds nextListAfterLoss { 10 };
    // A minion that has answered no list for this long gets no renewal: another incarnation, to which the end of a lease means
    // another time, may be there.
    Milliseconds renewalsWithoutAnswer { 150 };
    // Minimum time between two lists, to batch ended runs.
    Milliseconds minListInterval { 6 };
    // Delay before an unanswered stop request is resent, and the shorter one when the request is known to have failed.
    // Both count from when it was sent.
    Milliseconds stopRetryDelay { 150 };
    Milliseconds failedStopRetryDelay { 30 };
    // A run whose stop was answered this long before a list was requested has ended if the list does not show it as
    // running, even when the list is incomplete.
    Milliseconds stopSettleTime { 1'000 };
    // Longest time between frames to an entry with runs here.
    Milliseconds heartbeatInterval { 200 };
    // The same for an entry without runs. Shorter than `entryLease`, so that a request after an idle time is never stale.
    Milliseconds idleHeartbeatInterval { 450 };
    // Capacity offered to one entry is withheld from others for this long: a round trip.
    Milliseconds offerTimeout { 5 };
    // Delay before a start is retried at a minion that had no room.
    Milliseconds startRetryDelay { 40 };
    // A minion counts as unresponsive when it has answered nothing for this long since its first unanswered call. Nothing
    // starts there then, and start requests are not resent.
    Milliseconds unresponsiveAfter { 250 };
    // An unanswered start request is resent immediately this many times, then with exponential backoff.
    int immediateResends { 8 };
    Milliseconds initialResendBackoff { 20 };
    Milliseconds maxResendBackoff { 160 };
    // A run is stuck when it is projected to take this many times its estimate, and at least `minStuckTime`.
    std::int64_t stuckFactor { 4 };
    Milliseconds minStuckTime { 300 };
};

// Longest time for which a run may go on after its entry's last sign of life, or after its entry has given it up, whichever of
// entry, sidecar and connections fail. It must be less than a caller waits before it submits a job again.
Milliseconds maxAbandonedRunTime(const RunTableOptions&);

// Schedules the runs of one minion for the best-effort jobs of all entries. A run starts only for an entry whose lease is
// valid, and ends when that lease expires, the job's deadline passes or the entry requests it. The end of a run is
// reported only once the minion can no longer be running it. Time is passed in and must not go backwards.
class RunTable {
public:
    RunTable(RunTableOptions, Milliseconds now);

    // opened() takes the first frame of a new stream, received() each later one.
    void opened(const EntryFrame&, Milliseconds now);
    void received(const std::string& entry, const EntryFrame&, Milliseconds now);
    void closed(const std::string& entry);

    ReportStanding standingOf(const MinionReport&, Milliseconds now) const;
    // Takes a report. One of another incarnation must have been confirmed by the minion itself since the present incarnation
    // was taken. Returns false for a late or contradicting one; of a late one only that the minion is leaving is heeded.
    bool reported(const MinionReport&, Milliseconds now);
    // The minion is shutting down: stops its runs and accepts no further ones.
    void minionLeaves(Milliseconds now);
    // Nothing runs at the minion any more, and it exits.
    void minionGone(Milliseconds now);

    void startAnswered(const RunName&, StartAnswer, Milliseconds now);
    void stopAnswered(const RunName&, bool answered, Milliseconds now);
    // `asked` is the answered request and `askedAt` the time it was sent.
    void listed(const RunList&, const ListRuns& asked, Milliseconds askedAt, Milliseconds now);
    void listFailed(Milliseconds now);

    // Sets until when this sidecar may start runs, and whether its data centre is in service.
    void permit(Milliseconds until, bool inService) { m_permittedUntil = until, m_inService = inService; }
    // Accepts no further runs.
    void beginLeaving() { m_leaving = true; }

    // Whether the run may still be started. Its start request may have waited, or this process may have been paused, since
    // act() returned it.
    bool mayStillStart(const RunName&, Milliseconds now) const;

    // Returns the actions due now. Call after any of the above.
    RunActions act(Milliseconds now);
    // Latest time for the next call of act(); empty while nothing is due.
    std::optional<Milliseconds> nextDue(Milliseconds now) const;

    std::size_t liveRuns() const { return m_byMinionName.size(); }
    // Runs that the minion lists and that belong to no entry.
    std::size_t runsWithoutEntry() const { return m_diagnostics.runsWithoutEntry(); }
    // What the run of this name at the minion was concluded on, if it is among the latest.
    std::optional<EndProof> proofOf(const RunName& run) const { return m_diagnostics.proofOf(run); }
    // Tasks that the minion may run although it has not answered; see UnsettledTask.
    std::size_t unsettledTasks() const { return m_unsettled.size(); }
    std::size_t queuedRuns() const { return m_runs.size() - m_byMinionName.size(); }
    // Whether this is the start time of the incarnation taken.
    bool isPresent(Milliseconds born) const { return m_phase != Phase::Absent && m_report.born == born; }
    bool isReady() const { return m_phase == Phase::Ready; }
    // Whether no run is left and each connected entry has acknowledged the ends of its runs.
    bool isSettled() const;

private:
    enum class Phase {
        // No minion has reported.
        Absent,
        // Runs started by an earlier incarnation of this sidecar may still be at the minion.
        Clearing,
        Ready,
    };
    enum class State {
        Queued,
        Starting,
        Running,
        Stopping,
    };
    // The entry and its name for the run.
    using RunKey = std::pair<std::string, RunName>;
    struct TaskKey {
        std::string job;
        std::uint32_t step { 0 };
        std::uint32_t index { 0 };
        auto operator<=>(const TaskKey&) const = default;
    };
    struct StopRequest {
        std::optional<Milliseconds> sentAt;
        // The request is known to have failed.
        bool hasFailed { false };
    };
    struct Orphan {
        StopRequest stopRequest;
        bool isStopAnswered { false };
    };
    struct Run {
        State state { State::Queued };
        RunRequest request;
        // Name of the run at the minion; its number may be higher than the entry's.
        RunName minionName;
        Milliseconds queuedAt {};
        Milliseconds notBefore {};
        Milliseconds startedAt {};
        // When the minion confirmed the start.
        Milliseconds confirmedAt {};
        Milliseconds listedAt {};
        int percent { 0 };
        StartEvidence evidence { StartEvidence::NotRequested };
        // Start requests without an answer in time. Each may still be carried out until a stop is answered.
        int unansweredStarts { 0 };
        // When the start request is resent.
        std::optional<Milliseconds> resendAt;
        // End to report for a run that is being stopped, if it had started: Stopped or Stuck.
        RunEndKind endAs { RunEndKind::Stopped };
        StopRequest stopRequest;
        std::optional<Milliseconds> stopAnsweredAt;
        // Set while it is being stopped: a time at which its entry still wanted it, or when this table gave it up. Its caller has
        // not left before.
        Milliseconds abandonedAt {};
        // When it began to be stopped.
        Milliseconds stoppingSince {};
        // Its entry, or a later submission of its job, has given it up.
        bool isGivenUp { false };
        // Its task was told to all entries because its entry may be lost, or because it was given up.
        bool isToldAsLost { false };
        bool isToldAsGivenUp { false };
        StopCause stopCause { StopCause::None };
    };
    struct LastRun {
        std::uint64_t run { 0 };
        Milliseconds at {};
    };
    struct Entry {
        bool connected { false };
        // Its stream has closed, and the others are not told yet.
        bool isLossNews { false };
        // As the others were told last.
        bool isLate { false };
        Milliseconds echo {};
        std::uint64_t framesSeen { 0 };
        std::uint64_t lastEnd { 0 };
        std::deque<RunEnd> unseenEnds;
        // Runs that the entry believes to be here but this incarnation does not know.
        std::vector<RunName> unknownRuns;
        // Number of the last end, and of the last news of unsettled tasks, sent on the current stream.
        std::uint64_t sentEnd { 0 };
        std::uint64_t sentUnsettled { 0 };
        // Version of the slowdowns sent on the current stream.
        std::uint64_t sentSlowdowns { 0 };
        Milliseconds sentAt {};
        std::size_t runs { 0 };
        // When its first run came while it had none.
        Milliseconds busySince {};
        bool handshakeSent { false };
        bool stateChanged { true };
        // The whole state was sent on the current stream; only `used` and `accepting` may have changed since.
        bool hasWholeState { false };
        Milliseconds stateGap {};
        // CPU that the entry waits for, and since when; see EntryFrame.
        std::int64_t wantedCpuMillis { 0 };
        Milliseconds wantedSince {};
        // Capacity was offered to the entry; the next frame is due immediately.
        bool isOffered { false };
    };
    // See UnsettledTask.
    struct Unsettled {
        // Rises with each news for entries.
        std::uint64_t number { 0 };
        // Number of the news by which it became unsettled.
        std::uint64_t firstNumber { 0 };
        // As entries were told.
        Milliseconds until {};
        // It is no longer unsettled; kept until entries have been told.
        bool isSettled { true };
        // Until when a start may be carried out.
        Milliseconds startsUntil {};
        // Run time projected for the last run that was stopped here as stuck although it made progress; zero when none was.
        Milliseconds slowRun {};
        // At least this long by two such runs.
        Milliseconds estimate {};
    };
    // Capacity offered to an entry, which may be sending a task for it.
    struct Offer {
        std::string entry;
        std::int64_t cpuMillis { 0 };
        Milliseconds until {};
    };

    // `heardBefore` is the latest echo received before the frame. An entry that was paused may send newer ones with its stops, but not
    // before these.
    void applyStops(const std::string& entry, const EntryFrame&, Milliseconds heardBefore, Milliseconds now);
    void endUnknownRuns(Milliseconds now);
    static TaskKey taskOf(const RunName& run) { return { run.job, run.step, run.index }; }
    bool mayStart(Milliseconds now) const;
    // Records whether a call to the minion was answered in time.
    void recordAnswer(bool answered, Milliseconds now);
    bool isUnresponsive(Milliseconds now) const { return m_unansweredSince && now >= *m_unansweredSince + m_options.unresponsiveAfter; }
    bool isStale(const Entry&, Milliseconds now) const;
    // Whether the entry may be lost, and its callers may submit their jobs at another one.
    bool mayBeLost(const Entry&, Milliseconds now) const;
    // An entry without runs here sends back no clocks, so it is late no sooner than it could have sent one back since its first run.
    Milliseconds lateAt(const Entry& entry) const { return std::max(entry.echo, entry.busySince) + m_options.entryLateAfter; }
    bool isLate(const Entry& entry, Milliseconds now) const { return entry.runs > 0 && now > lateAt(entry); }
    // Lets entries know of the losses of others, and of the tasks that the minion may run and that no connected entry wants.
    void noteLosses(Milliseconds now);
    void noteAbandonedRuns(Milliseconds now);
    // Until when anything at the minion may run if no lease is granted any more.
    Milliseconds runsEndBy() const;
    // For how long the minion may run tasks that a former incarnation of this sidecar ordered and that are not known here.
    Milliseconds unknownRunsFor(Milliseconds now) const;
    // `isFresh` means that the request is no older than the entry's lease.
    void take(const std::string& entry, const RunRequest&, const RequestedTask&, bool isFresh, Milliseconds now);
    // Ends a run as NotStarted when that is proven, otherwise as given.
    void end(const RunKey&, RunEndKind whenStarted, Milliseconds now);
    // Compares the run time of a run that ended well, where its entry asks for it.
    void recordInterference(const RunKey&, const Run&, Milliseconds ranFor, Milliseconds now);
    // Removes the run and queues its end for the entry.
    void conclude(const RunKey&, RunEndKind, Milliseconds now);
    // Begins to stop the run, which its caller may have left at `abandonedAt`. That can be long before now, when the news was late.
    static void stop(Run&, RunEndKind, Milliseconds abandonedAt, Milliseconds now);
    void stopOtherSubmissions(const RunKey&, Milliseconds now);
    // Call when the minion has confirmed the start, or lists the run or its end.
    static void recordStarted(Run&);
    void stopRunsOfFormerIncarnation(Milliseconds now);
    void endAllLive(EndProof, Milliseconds now);
    void endQueued(Milliseconds now);
    void checkRun(const RunKey&, Run&, Milliseconds now);
    // For a run whose deadline has passed or whose entry is silent: since when.
    Milliseconds overSince(const RunKey&, const Run&, Milliseconds now) const;
    bool isStuck(const Run&, Milliseconds now) const;
    // Expected run time: the entry's, or a longer one once a task that may be started at no other minion was slow here twice.
    Milliseconds estimateOf(const Run&, Milliseconds now) const;
    void learnFromSlowRun(const Run&, Milliseconds now);
    // Whether the run's deadline has passed or its entry's lease has expired.
    bool isOver(const RunKey&, const Run&, Milliseconds now) const;
    // Total run time projected from the progress in the last list.
    static Milliseconds projectedRun(const Run&);
    void startQueued(RunActions&, Milliseconds now);
    void start(const RunKey&, Run&, RunActions&, Milliseconds now);
    // Requests the start of a run that the minion has not confirmed, under its name there.
    void requestStart(Run&, RunActions&, Milliseconds now);
    void resendStarts(RunActions&, Milliseconds now);
    Milliseconds resendBackoff(const Run&) const;
    // Delay before a start that was declined is retried.
    Milliseconds startRetryDelay(StartAnswer) const;
    void startUnanswered(Run&, Milliseconds now);
    // Lets entries know that the minion may run the task until then, whatever becomes of the run here.
    void noteUnsettled(const TaskKey&, Milliseconds until);
    void noteUnansweredStart(const RunName&, Milliseconds now);
    // No run of the task is abandoned at the minion any more: only a start that was not answered leaves it unsettled.
    void settle(const TaskKey&, Milliseconds now);
    // The minion reports under another name, and calls that name the former one are refused.
    void withdrawUnsettled(Milliseconds now);
    // Those with higher numbers, as told to entries.
    std::vector<UnsettledTask> unsettledAfter(std::uint64_t number, bool isFirstFrame, Milliseconds now) const;
    bool fits(const TaskNeeds&) const;
    // Whether a task fits beside the running and queued ones.
    bool fitsAtOnce(const TaskNeeds&) const;
    // Offers free capacity to the entries that wait for it, longest-waiting first.
    void offerRoom(Milliseconds now);
    void sendStops(RunActions&, Milliseconds now);
    Milliseconds dueAt(const StopRequest&) const;
    void listRuns(RunActions&, Milliseconds now);
    void sendFrames(RunActions&, Milliseconds now);
    // Whether a start request without an answer may still be carried out, by the next incarnation of the minion as well.
    bool mayBeStartedLate(Milliseconds now) const;
    bool needsList(Milliseconds now) const;
    // When the next list may be requested; empty while none is needed.
    std::optional<Milliseconds> nextListAt(Milliseconds now) const;
    bool wasListLostRecently(Milliseconds now) const;
    // Whether a run without an entry, of which a stop has not been answered, is at the minion.
    bool hasUnstoppedOrphan() const;
    bool hasOrphanOf(const TaskKey&) const;
    // Whether a run of the task, with or without an entry, is at the minion.
    bool isAtMinion(const TaskKey&) const;
    // Whether the list shows a later state than the newest one taken. One that was asked for later may have been made earlier.
    bool isNewest(const RunList&, Milliseconds askedAt) const;
    void takeListedRuns(const RunList&, Milliseconds askedAt, Milliseconds now);
    // Whether a list that does not show the run as running proves that it has ended or never started.
    bool hasEndedAtMinion(const Run&, bool listIsWhole, Milliseconds askedAt) const;
    void endRunsMissingFromList(bool listIsWhole, Milliseconds askedAt, Milliseconds now);
    // Until when the minion may be granted a lease now. In the past when a run there has to end first.
    Milliseconds leaseEnd(Milliseconds now) const;
    // Records that a lease is granted now.
    void recordLeaseGranted(Milliseconds now);
    // For the log. noteCause() comes before stop(), noteEnd() before end().
    static void noteCause(Run&, StopCause);
    void noteEnd(const RunKey&, EndProof, Milliseconds now);
    void noteLease(Milliseconds end, Milliseconds now);
    void noteRunsWithoutEntry(bool isWhole, Milliseconds now);
    // The run for which leaseEnd() is earliest; the one named last if several are.
    std::optional<RunDiagnosticsCollector::Bound> leaseBound() const;
    Milliseconds heartbeatOf(const std::string& name, const Entry&) const;
    bool frameDue(const std::string& name, const Entry&, Milliseconds now) const;
    MinionState state(Milliseconds now) const;
    TaskNeeds queuedNeeds() const;
    void markStateChanged();
    // Makes the next frame to each entry describe the whole minion.
    void markMinionChanged();

    RunTableOptions m_options;
    Milliseconds m_startedAt;
    // Of this sidecar as a registrar, for all entries, whichever minions run the jobs.
    GrantTable m_grants;
    Phase m_phase { Phase::Absent };
    bool m_leaving { false };
    bool m_inService { true };
    Milliseconds m_permittedUntil {};
    MinionReport m_report;
    Milliseconds m_reportedAt {};
    // When the incarnation of m_report was taken.
    Milliseconds m_incarnationSince {};
    bool m_reachable { false };
    // When the newest list was requested that came from another incarnation than the one taken.
    Milliseconds m_otherSeenBy { -1 };
    // Latest time at which the minion may still be running something without a renewal.
    Milliseconds m_leaseMayEndAt {};
    std::uint64_t m_endsSeen { 0 };
    std::uint64_t m_endsForgotten { 0 };
    // Time of the first unanswered call since the last answer.
    std::optional<Milliseconds> m_unansweredSince;
    // As last reported to entries.
    bool m_wasUnresponsive { false };
    // A time by which the last start request without an answer had been sent.
    std::optional<Milliseconds> m_unansweredStartBy;
    // When a list request last timed out.
    std::optional<Milliseconds> m_listLostAt;
    // List requests in flight, and when the last one was sent.
    int m_openLists { 0 };
    // When the first list was requested since the last answer to one by the incarnation taken.
    std::optional<Milliseconds> m_listsUnansweredSince;
    Milliseconds m_listAskedAt {};
    // When the newest accepted list was requested, was made by the minion's clock, and arrived. Answers may arrive out of order.
    Milliseconds m_newestListAskedAt {};
    std::optional<Milliseconds> m_newestListMadeAt;
    Milliseconds m_newestListAt {};
    Milliseconds m_listedAt {};
    std::map<std::string, Entry> m_entries;
    std::map<RunKey, Run> m_runs;
    std::map<RunName, RunKey> m_byMinionName;
    // Runs at the minion that belong to no entry.
    std::map<RunName, Orphan> m_orphans;
    std::map<TaskKey, LastRun> m_lastRuns;
    std::map<TaskKey, Unsettled> m_unsettled;
    std::uint64_t m_lastUnsettled { 0 };
    // Number of the last news for which frames are due at once, and of the last loss of an entry; when that one was last heard.
    std::uint64_t m_urgentNews { 0 };
    std::uint64_t m_lossNews { 0 };
    Milliseconds m_entryLostAt {};
    // The minion has told this incarnation of the sidecar all that it runs.
    bool m_isMinionKnown { false };
    std::vector<SettledStart> m_settledStarts;
    TaskInterference m_interference;
    RunDiagnosticsCollector m_diagnostics;
    std::vector<Offer> m_offers;
    TaskNeeds m_used;
};

} // namespace oleanderport
