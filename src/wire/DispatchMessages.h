#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Messages between entries and sidecars about best-effort jobs, over one stream per pair. Unlike a job with a claim, a
// best-effort job is not stored: its tasks may be rerun after a known end, but never run twice at the same time.
// wire/DispatchCodec.h encodes the frames.
namespace oleanderport {

// Names one run of one task. Runs of the same task have increasing numbers.
struct RunName {
    std::string job;
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };
    std::uint64_t run { 0 };
    // Distinguishes the runs of a job resubmitted at the same entry from earlier ones. Zero in calls to minions.
    std::uint64_t submission { 0 };

    auto operator<=>(const RunName&) const = default;
};

// One task of a RunRequest.
struct RequestedTask {
    std::uint32_t index { 0 };
    std::uint64_t run { 0 };
};

// Tasks of one job step for a sidecar to run.
struct RunRequest {
    std::string job;
    std::uint64_t submission { 0 };
    std::uint32_t step { 0 };
    std::vector<RequestedTask> tasks;
    std::string payload;
    // Needs of each task; the run time is the entry's estimate.
    TaskNeeds needs;
    // Queueing priority: the run with the lowest sum of arrival time and rank starts first.
    Milliseconds rank {};
    // Deadline of the runs on the sidecar's clock.
    Milliseconds endBy {};
    // Whether a task waits at the sidecar when there is no room. Otherwise it is returned at once, to be placed elsewhere.
    bool mayWait { true };
    // Digest of the job's queue, for which the sidecar compares run times; 0 when it need not.
    std::uint64_t queue { 0 };
};

// Digest by which messages name a queue. Never 0, which stands for no queue.
std::uint64_t nameDigest(const std::string& queue);

// Runs of a queue take this many percent of their time beside tasks of the neighbour, 100 when they aren't slowed down.
struct QueueSlowdown {
    std::uint64_t queue { 0 };
    std::uint64_t neighbour { 0 };
    std::int64_t percent { 100 };

    bool operator==(const QueueSlowdown&) const = default;
};

// What an entry asks of a registrar, a sidecar that grants jobs; see GrantTable.
enum class GrantRequestKind {
    Ask,
    // The registrar has granted the job to this entry, and can't have let it go since. Sent with the first frame of a stream.
    Renew,
    // No task of the job runs, and none will be started.
    Release,
};

struct GrantRequest {
    std::string job;
    // Rises with each request of an entry. An answer to an earlier one counts no more.
    std::uint64_t number { 0 };
    GrantRequestKind kind { GrantRequestKind::Ask };
};

enum class GrantState {
    // The entry alone may place tasks of the job.
    Granted,
    // Another entry holds the job. The answer changes once that one has released it or is lost.
    Held,
    // The registrar has just started. No other entry has asked since, but one of before may hold the job. The answer changes.
    Provisional,
};

struct GrantAnswer {
    std::string job;
    // That of the request.
    std::uint64_t number { 0 };
    GrantState state { GrantState::Held };
};

// Entry to sidecar.
struct EntryFrame {
    // Incarnation of the entry and the runs it believes to be at this sidecar. Set in the first frame of a stream.
    std::string entry;
    std::vector<RunName> outstanding;
    // Minimum interval between frames that only report the minion's state. Set in the first frame of a stream.
    Milliseconds stateGap {};
    // Latest `clock` that the entry has received from this incarnation of the sidecar. It bounds the age of the frame.
    Milliseconds echo {};
    // Acknowledges ends up to this number.
    std::uint64_t endsSeen { 0 };
    std::vector<RunRequest> requests;
    std::vector<RunName> stops;
    // Runs to be cancelled only if they have not started yet.
    std::vector<RunName> recalls;
    // In the first frame of a stream all jobs that the entry holds or asks for at this sidecar.
    std::vector<GrantRequest> grants;
    // Entries of the deployment, those included that have left it lately; 0 when not known. How long ago this one started. Set in the first
    // frame of a stream.
    std::uint64_t entries { 0 };
    Milliseconds startedFor {};
    // CPU that the entry's waiting tasks need, in thousandths of a core; 0 when none wait. The sidecar sends the minion's
    // state once, as soon as this much is free.
    std::int64_t wantedCpuMillis { 0 };
};

// How a run ended at a sidecar.
enum class RunEndKind {
    Done,
    // The minion ran it and it failed.
    Failed,
    // It never started and no longer can, as its StartEvidence proves.
    NotStarted,
    // It never started: the minion had no room and the request was not to wait.
    NoRoom,
    // It was stopped early, or its minion is gone. It no longer runs.
    Stopped,
    // It was stopped because it ran far longer than expected.
    Stuck,
};

std::string_view runEndKindName(RunEndKind);

// Evidence of whether a minion started a run.
enum class StartEvidence {
    // No start request was issued.
    NotRequested,
    // The minion declined the start request, or the request is known not to have been sent.
    Declined,
    // A start request was issued; nothing further is known.
    Requested,
    // The start request was not answered in time. It may have been carried out or may be later, even by a later
    // incarnation of the minion, which knows of no stop. So no later list or answer proves that the run did not start.
    Unanswered,
    // The minion confirmed the start, or listed the run or its end.
    Started,
};

std::string_view startEvidenceName(StartEvidence);

// Whether the evidence proves that the run never started and never will.
bool provesNotStarted(StartEvidence);

struct RunEnd {
    // Counts the ends of one incarnation of an entry at one incarnation of a sidecar, from 1.
    std::uint64_t number { 0 };
    RunName run;
    RunEndKind kind { RunEndKind::Stopped };
    // For a stuck run, the total run time projected from its progress; zero without progress.
    Milliseconds ranFor {};
    StartEvidence evidence { StartEvidence::Requested };
};

// State of a minion as known to its sidecar.
struct MinionState {
    // False when only `used` and `accepting` are set; the rest is unchanged since the last whole state on this stream.
    bool isWhole { true };
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    TaskNeeds capacity;
    // Needs of all running and queued tasks there, for all entries.
    TaskNeeds used;
    // False while no further tasks are accepted.
    bool accepting { false };
};

// How late a start that was not answered may be carried out.
constexpr Milliseconds maxStartDelay { 12'000 };

// Longest time for which runs may go on anywhere after the entry that ordered them was lost. Not below maxAbandonedRunTime().
constexpr Milliseconds maxLostEntryRunTime { 1'250 };

// A task that the minion may run although no connected entry wants it: its entry is lost or has given the run up, the run belongs to
// none, or a start or a stop of it was not answered. After an unanswered start also the next incarnation of the minion may start it, which knows neither
// of a stop nor of a fencing token. So no other minion may start the task.
struct UnsettledTask {
    std::string job;
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };
    // For how long this holds; zero when it no longer does.
    Milliseconds remaining {};
};

// Sidecar to entry.
struct SidecarFrame {
    // Incarnation of the sidecar. Set in the first frame of a stream.
    std::string sidecar;
    Milliseconds clock {};
    // Frames of this stream processed so far, so that the entry knows which requests `state` includes.
    std::uint64_t framesSeen { 0 };
    std::optional<MinionState> state;
    std::vector<RunEnd> ends;
    // For all entries, since a caller may resubmit the job at any of them.
    std::vector<UnsettledTask> unsettledTasks;
    // For how long the minion may run tasks, ordered by a former incarnation of the sidecar, that are not told yet; zero when there are none.
    Milliseconds unknownRunsFor {};
    // For how long runs of a lost entry may go on, wherever they are; zero when no loss is news on this stream.
    Milliseconds lostEntryRunsFor {};
    // The sidecar grants jobs. Set in the first frame of a stream; sidecars of earlier versions don't.
    bool isRegistrar { false };
    std::vector<GrantAnswer> grants;
    // All slowdowns that the sidecar has found, when they are news on this stream.
    std::vector<QueueSlowdown> slowdowns;
};

} // namespace oleanderport
