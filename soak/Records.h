#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport::soak {

// Everything that callers, minions and operators saw in one run, and what was done to the processes. All times are on
// Clock::now() of one machine.

// One run of a task, as its minion recorded it.
struct RunRecord {
    // JOB.0.STEP.INDEX.
    std::string task;
    std::string minion;
    std::string zone;
    // The minion's life: a further life knows nothing of the runs before it.
    int incarnation { 1 };
    std::uint64_t number { 0 };
    std::string spec;
    Milliseconds start {};
    // The run's end by the minion's own record, or the moment at which its life was killed.
    Milliseconds end {};
    // done, failed, stopped, lapsed, left or killed.
    std::string how;
};

// One sending of a job to an entry, over a connection that may have served others before.
struct AttemptRecord {
    std::string entry;
    Milliseconds sent {};
    // Nothing while the attempt is under way.
    std::optional<Milliseconds> ended;
    // Zero when the channel ended, or the caller's time was up, before a whole answer.
    int status { 0 };
    std::string body;
    // The caller's time was up.
    bool timedOut { false };
};

struct JobRecord {
    std::string id;
    std::string queue;
    std::string spec;
    int tasks { 0 };
    // How long a caller waits for the answer of one attempt.
    Milliseconds timeout {};
    // Run time of a task as the caller declares it.
    Milliseconds estimate {};
    std::vector<AttemptRecord> attempts;
};

// One order of the operator, sent again until it was acknowledged.
struct OperatorRequest {
    enum class Kind {
        Config,
        // A configuration that must not be accepted.
        InvalidConfig,
        EvacuationStart,
        EvacuationFinish,
    };

    Kind kind { Kind::Config };
    std::uint64_t version { 0 };
    std::string zone;
    // The body as it was sent.
    std::string body;
    // Whether the queue that comes and goes is in it.
    bool hasOptionalQueue { false };
    Milliseconds sent {};
    // First acknowledgement; nothing while there is none.
    std::optional<Milliseconds> acknowledged;
    // First clear refusal.
    std::optional<int> refused;
};

// One read of the configuration, at any control instance.
struct ReadRecord {
    std::string instance;
    Milliseconds sent {};
    int status { 0 };
    std::string body;
};

// Something that was done to a process or to the connections through its relay.
struct FaultRecord {
    std::string process;
    std::string kind;
    Milliseconds from {};
    Milliseconds until {};
    // SIGTERM or SIGHUP: the process may not lose what it has in hand.
    bool planned { false };
    // Of a planned stop: when the process had gone.
    std::optional<Milliseconds> exited;
};

// Time for which the soak itself did nothing although it wanted to: the machine was busy or stood still.
struct Stall {
    Milliseconds at {};
    Milliseconds duration {};
};

struct Record {
    std::vector<JobRecord> jobs;
    std::vector<RunRecord> runs;
    std::vector<OperatorRequest> operatorRequests;
    std::vector<ReadRecord> reads;
    std::vector<FaultRecord> faults;
    // Processes that ended although nothing was done to them, with their exit codes.
    std::vector<std::string> unexpectedExits;
    // The end of the last fault, and of the whole run.
    Milliseconds lastFaultEnd {};
    Milliseconds finished {};
    // For the reader; no promise depends on it.
    Stall longestStall;
};

// Queues of the run. The optional one comes and goes with the versions of the configuration.
inline constexpr const char* steadyQueue = "/a/";
inline constexpr const char* optionalQueue = "/b/";

} // namespace oleanderport::soak
