#pragma once

#include "Records.h"

#include <string>
#include <vector>

namespace oleanderport::soak {

// Times within which a change takes effect at every connected process, and service recovers. These are the bounds that
// the users' platform sets for its deployments.
struct Bounds {
    // A process counts as connected when no fault was injected into the deployment for this long.
    Milliseconds settleTime { 3'000 };
    // From the acknowledgement of a configuration.
    Milliseconds configApply { 2'000 };
    // From the acknowledgement that a data centre is evacuated.
    Milliseconds evacuation { 5'000 };
    // From the acknowledgement that a minion is draining.
    Milliseconds drain { 1'000 };
    // From the end of the last fault.
    Milliseconds recovery { 12'000 };
    // A stopping process may leave a request unanswered that was sent no longer than this before the connection closed.
    Milliseconds lossTolerance { 200 };
};

// One guarantee that the run broke, with the evidence.
struct Violation {
    // Short name of the guarantee, as in docs/SOAK.md.
    std::string guarantee;
    std::string detail;
};

// Jobs of the steady queue that were first sent after the recovery time.
std::vector<const JobRecord*> jobsAfterRecovery(const Record&, const Bounds&);
// Whether an attempt was answered with 200.
bool isServed(const JobRecord&);

// Checks a run against the guarantees of docs/SOAK.md. A pure function of the record and the bounds.
std::vector<Violation> judge(const Record&, const Bounds&);

} // namespace oleanderport::soak
