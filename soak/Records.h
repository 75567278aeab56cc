#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport::soak {

// Everything that callers, minions and operators observed in one soak run, and the faults that were injected. All times
// are Clock::now() of one machine.

// One run of a task, as its minion recorded it.
struct RunRecord {
    // JOB.0.STEP.INDEX.
    std::string task;
    std::string minion;
    std::string zone;
    // The minion's incarnation, from 1. A minion that starts anew has no record of the runs before.
    int incarnation { 1 };
    std::uint64_t number { 0 };
    std::string spec;
    // The start was sent to a former incarnation of the minion and carried out by the next one.
    bool isOfFormer { false };
    // When the start that was carried out had arrived at the minion.
    Milliseconds ordered {};
    Milliseconds start {};
    // The run's end as the minion recorded it, or else the end of the minion's incarnation.
    Milliseconds end {};
    // The service that the minion worked for when it took the start.
    std::string service { "s1" };
    // When the minion's word that it drains had been acknowledged first; empty when that was not before the start's arrival.
    std::optional<Milliseconds> draining;
    // done, failed, stopped, lapsed, left or killed.
    std::string how;
    // Until when a run that was stopped might have gone on if its stop had not been carried out. Zero for others.
    Milliseconds leaseEnd {};
};

// One attempt to send a job to an entry, over a connection that may have carried earlier requests.
struct AttemptRecord {
    std::string entry;
    Milliseconds sent {};
    // Empty while the attempt is in flight.
    std::optional<Milliseconds> ended;
    // Zero when the connection closed, or the caller's timeout expired, before a complete answer.
    int status { 0 };
    std::string body;
    // The caller's timeout expired.
    bool timedOut { false };
};

struct JobRecord {
    std::string id;
    std::string queue;
    std::string spec;
    int tasks { 0 };
    // How long a caller waits for the answer to one attempt.
    Milliseconds timeout {};
    // Run time of a task as declared by the caller.
    Milliseconds estimate {};
    std::vector<AttemptRecord> attempts;
};

// One request of the operator, resent until it is acknowledged.
struct OperatorRequest {
    enum class Kind {
        Config,
        // A configuration that the control group must reject.
        InvalidConfig,
        EvacuationStart,
        EvacuationFinish,
    };

    Kind kind { Kind::Config };
    std::uint64_t version { 0 };
    std::string zone;
    // The body as it was sent.
    std::string body;
    // Whether the configuration contains the optional queue.
    bool hasOptionalQueue { false };
    Milliseconds sent {};
    // Time of the first acknowledgement.
    std::optional<Milliseconds> acknowledged;
    // Status of the first definite refusal.
    std::optional<int> refused;
};

// One read of the configuration, at any control instance.
struct ReadRecord {
    std::string instance;
    Milliseconds sent {};
    int status { 0 };
    std::string body;
};

// A fault injected into a process or into the connections through its relay.
struct FaultRecord {
    std::string process;
    std::string kind;
    Milliseconds from {};
    Milliseconds until {};
    // SIGTERM or SIGHUP: the process must not lose requests in flight.
    bool planned { false };
    // When the process exited after a planned stop.
    std::optional<Milliseconds> exited;
};

// A time during which the soak process itself could not run: the machine was busy or paused.
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
    // Processes that exited without an injected fault, with their exit codes.
    std::vector<std::string> unexpectedExits;
    // Largest resident set of each process that ran at the end, in bytes.
    std::map<std::string, std::size_t> peakResidentBytes;
    // End of the last fault, and of the whole run.
    Milliseconds lastFaultEnd {};
    Milliseconds finished {};
    // For information only; no guarantee depends on it.
    Stall longestStall;
};

// Queues of the run. Only some versions of the configuration contain the optional one.
inline constexpr const char* steadyQueue = "/a/";
inline constexpr const char* optionalQueue = "/b/";
// Service of both queues, and one without queues.
inline constexpr const char* steadyService = "s1";
inline constexpr const char* otherService = "s2";

} // namespace oleanderport::soak
