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
    // Minions serve calls late, and stand still again and again, for the whole run.
    bool lateMinions { false };
};

enum class FaultKind {
    // SIGKILL; the process starts again after `lasts`.
    Kill,
    // SIGKILL of a control instance whose data folder is emptied before it starts again.
    Wipe,
    // SIGKILL of all control instances.
    KillAllControl,
    // SIGSTOP, then SIGCONT.
    Pause,
    // SIGTERM; the process starts again once it has gone.
    Stop,
    // SIGHUP after a change of the settings file.
    Reload,
    // Nothing passes the relay in front of the process.
    Partition,
    // Nothing passes towards the process.
    PartitionInbound,
    // Nothing passes from the process.
    PartitionOutbound,
    // Connections are reset and new ones refused.
    Reset,
    // Every byte is held.
    Delay,
    // A data centre is taken out and back after `lasts`.
    EvacuateDataCentre,
};

struct PlannedFault {
    // From the start of the load.
    Milliseconds at {};
    FaultKind kind { FaultKind::Kill };
    // Name of a process, or of a data centre.
    std::string target;
    // How long it lasts; how long each byte is held is drawn apart.
    Milliseconds duration {};
    Milliseconds delay {};
};

struct Plan {
    Shape shape;
    // In the order of their times. They overlap.
    std::vector<PlannedFault> faults;
    // Length of the load; the last fault ends well before.
    Milliseconds length {};
};

// Draws a run from its seed. The same seed, shape and library have the same plan. At most one control instance is lost
// at a time, but for KillAllControl, after which all disks are there.
Plan makePlan(std::uint64_t seed, const Shape&);

// Draws a shape of the usual size.
Shape makeShape(std::uint64_t seed);

const char* faultKindName(FaultKind);

} // namespace oleanderport::soak
