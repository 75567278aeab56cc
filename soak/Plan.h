#pragma once

#include "oleanderport/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderport::soak {

// Sizes of one run's deployment.
struct Shape {
    int controls { 3 };
    int entries { 2 };
    int sidecars { 4 };
    int dataCentres { 3 };
    int callers { 6 };
    // Control instances that are replaced by new ones at other addresses; needs five control instances or more.
    int replacements { 0 };
    // Minions delay calls, and pause repeatedly, for the whole run.
    bool lateMinions { false };
    // Faults of minions and of single paths beside the others; see docs/SOAK.md.
    bool minionFaults { false };
    // Slow entries, and late news of callers that left, during the faults of minions; see docs/SOAK.md.
    bool entryFaults { false };
    // Callers come back at once or later, entries and sidecars are lost together, and minions take their grace; see docs/SOAK.md.
    bool impatientCallers { false };
    // Entries place by speed, keep interfering tasks apart and accept jobs until the end of their grace.
    bool hardLoad { false };
    // Clients outside the limits at every address; see HostileClients.
    bool hostileClients { false };
    // Some requests are sent twice at the same moment.
    bool twinRequests { false };
    // Reports that overtake each other, and reports of other writers.
    bool oddReports { false };
    // Minions that crash more often, and are followed by others at their address; needs minionFaults.
    bool successors { false };
};

enum class FaultKind {
    // SIGKILL; the process restarts after `duration`.
    Kill,
    // SIGKILL of a control instance whose data folder is removed before it restarts.
    Wipe,
    // SIGKILL of a control instance that never returns; a successor starts at another address after `duration`.
    Replace,
    // SIGKILL of all control instances.
    KillAllControl,
    // SIGKILL of several processes at the same moment; they restart together.
    KillTogether,
    // SIGSTOP, then SIGCONT.
    Pause,
    // SIGTERM; the process restarts after it has exited.
    Stop,
    // SIGHUP after a change of the settings file.
    Reload,
    // The relay in front of the process drops the traffic of both directions.
    Partition,
    // The relay drops the traffic to the process.
    PartitionInbound,
    // The relay drops the traffic from the process.
    PartitionOutbound,
    // Connections are reset and new ones refused.
    Reset,
    // The same on the clients' side; the process learns of it after `delay`.
    LateReset,
    // The process is stopped and continued by turns.
    Slow,
    // The relay delays every byte.
    Delay,
    // A minion leaves most calls unanswered and carries them out late.
    LateOrders,
    // A minion is cut off from its sidecar, crashes after `delay` and starts again behind the cut. Calls that wait there to be
    // carried out late stay on the way.
    CrashBehindCut,
    // The path between one entry and one sidecar drops or holds the traffic, of both directions, towards the sidecar or from
    // it. What is held arrives together in the end.
    PathCut,
    PathCutTowards,
    PathCutFrom,
    PathHold,
    PathHoldTowards,
    PathHoldFrom,
    // The operator evacuates a data centre and returns it to service after `duration`.
    EvacuateDataCentre,
};

struct PlannedFault {
    // Relative to the start of the load.
    Milliseconds at {};
    FaultKind kind { FaultKind::Kill };
    // Name of a process, of one of its listeners (PROCESS/LISTENER), of a path (ENTRY>SIDECAR) or of a data centre, or several
    // processes (PROCESS+PROCESS).
    std::string target;
    Milliseconds duration {};
    // How long each byte is delayed; drawn independently of the duration.
    Milliseconds delay {};
};

struct Plan {
    Shape shape;
    // Sorted by time; they overlap.
    std::vector<PlannedFault> faults;
    // Length of the load; the last fault ends well before it.
    Milliseconds length {};
};

// Draws a run from its seed. The same seed, shape and standard library give the same plan. At most one control instance
// is down at a time, except for KillAllControl, which keeps all data folders.
Plan makePlan(std::uint64_t seed, const Shape&);

// Draws a deployment of ordinary size from the seed.
Shape makeShape(std::uint64_t seed);

const char* faultKindName(FaultKind);

} // namespace oleanderport::soak
