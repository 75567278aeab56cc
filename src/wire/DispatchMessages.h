#pragma once

#include "oleanderport/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// What entries and sidecars tell each other about best-effort jobs, over one stream for each pair. Unlike a job with a
// claim, a best-effort job is stored nowhere: its tasks may run again after an end that is known, never twice at the
// same time. wire/DispatchCodec.h turns the frames into bytes.
namespace oleanderport {

// Names one run of one task. Runs of the same task have rising numbers.
struct RunName {
    std::string job;
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };
    std::uint64_t run { 0 };
    // Tells runs of a job that was submitted again at the same entry from the former ones. Zero where minions are spoken to.
    std::uint64_t submission { 0 };

    auto operator<=>(const RunName&) const = default;
};

// One task of a RunRequest.
struct RequestedTask {
    std::uint32_t index { 0 };
    std::uint64_t run { 0 };
};

// Tasks of one step of one job that a sidecar is to run.
struct RunRequest {
    std::string job;
    std::uint64_t submission { 0 };
    std::uint32_t step { 0 };
    std::vector<RequestedTask> tasks;
    std::string payload;
    // What each task needs; its run time is the entry's estimate.
    TaskNeeds needs;
    // How long the run may wait behind others: the one whose arrival and rank add up to the least starts first.
    Milliseconds rank {};
    // Nothing of the order runs after this time on the sidecar's clock.
    Milliseconds endBy {};
    // A task for which there is no room waits at the sidecar. Otherwise it is given back at once, to be placed elsewhere.
    bool mayWait { true };
};

// Entry to sidecar.
struct EntryFrame {
    // Life of the entry and the runs that it believes to be at this sidecar. Set in the first frame of a stream.
    std::string entry;
    std::vector<RunName> outstanding;
    // Least time between two frames that only tell of the minion's room. Set in the first frame of a stream.
    Milliseconds stateGap {};
    // Latest `clock` that the entry has seen from this life of the sidecar. It proves how old the frame is at most.
    Milliseconds echo {};
    // Ends up to this number have arrived.
    std::uint64_t endsSeen { 0 };
    std::vector<RunRequest> requests;
    std::vector<RunName> stops;
    // Runs to be ended only if they have not started yet.
    std::vector<RunName> recalls;
    // The entry has tasks that wait for room. It is told of the minion's state, once, as soon as this much of a processor
    // is free, in thousandths of a core; 0 when it does not ask.
    std::int64_t wantedCpuMillis { 0 };
};

// How a run ended at a sidecar.
enum class RunEndKind {
    Done,
    // The minion ran it and it failed.
    Failed,
    // It never began, and no longer can: its StartEvidence proves that.
    NotStarted,
    // It never began, since the minion had no room and the order was not to wait.
    NoRoom,
    // It was ended early, or its minion is gone. It no longer runs.
    Stopped,
    // It was ended early because it ran far longer than expected.
    Stuck,
};

std::string_view runEndKindName(RunEndKind);

// What is known of whether a minion began a run.
enum class StartEvidence {
    // No order to start it was given to the minion.
    NotRequested,
    // The minion answered that it did nothing, or the order is known not to have been sent.
    Declined,
    // It was ordered, and nothing further is known.
    Requested,
    // The order got no answer in time. It may have been carried out, or may be yet: also by a later incarnation of the
    // minion, which knows of no stop. So nothing that the minion lists or answers afterwards proves that it was not.
    Unanswered,
    // The minion has answered the order, or listed the run or its end.
    Started,
};

std::string_view startEvidenceName(StartEvidence);

// Whether it proves that the run never started and never will.
bool provesNotStarted(StartEvidence);

struct RunEnd {
    // Counts the ends of one life of an entry at one life of a sidecar, from 1.
    std::uint64_t number { 0 };
    RunName run;
    RunEndKind kind { RunEndKind::Stopped };
    // Of a stuck run: how long it would have run in all by its progress, zero when it stood still.
    Milliseconds ranFor {};
    StartEvidence evidence { StartEvidence::Requested };
};

// A minion as its sidecar knows it.
struct MinionState {
    // False where only `used` and `accepting` are told; the rest is as it was told before on the same stream.
    bool isWhole { true };
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    TaskNeeds capacity;
    // What runs or waits there, for all entries.
    TaskNeeds used;
    // False while nothing further is taken.
    bool accepting { false };
};

// Sidecar to entry.
struct SidecarFrame {
    // Life of the sidecar; set in the first frame of a stream.
    std::string sidecar;
    Milliseconds clock {};
    // Frames of this stream that have been taken in, so that the entry knows which orders `state` counts.
    std::uint64_t framesSeen { 0 };
    std::optional<MinionState> state;
    std::vector<RunEnd> ends;
};

} // namespace oleanderport
