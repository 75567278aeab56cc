#pragma once

#include "Records.h"

#include <string>
#include <vector>

namespace oleanderport::soak {

// Times within which a change is in force at every process in touch, and service is back. They are the bounds that
// the users' platform sets for its deployments, not measured figures.
struct Bounds {
    // A process is in touch when nothing was done to the deployment for this long.
    Milliseconds settleTime { 3'000 };
    // From the acknowledgement of a configuration.
    Milliseconds configApply { 2'000 };
    // From the acknowledgement that a data centre is out.
    Milliseconds evacuation { 5'000 };
    // From the end of the last fault.
    Milliseconds recovery { 12'000 };
    // A stopping process may leave a request unanswered that it was sent this shortly before.
    Milliseconds lossTolerance { 200 };
};

// One promise that was broken, with what shows it.
struct Violation {
    // Short name of the promise, as in docs/SOAK.md.
    std::string guarantee;
    std::string detail;
};

// Jobs of the steady queue that were first sent after the time by which service has to be back.
std::vector<const JobRecord*> jobsAfterRecovery(const Record&, const Bounds&);
// Its last attempt was answered with 200.
bool isServed(const JobRecord&);

// Checks a run against the promises of docs/SOAK.md. Pure: the same record has the same verdict.
std::vector<Violation> judge(const Record&, const Bounds&);

} // namespace oleanderport::soak
